// Where the experts of one layer live, and how tokens are split among their copies.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace orioletrail {

// The ranks of a group and what they can hold of one layer.
struct RankTopology {
    uint32_t ranks = 0;
    // Experts that one rank holds of one layer.
    uint32_t slotsPerRank = 0;
    // The instance of each rank; empty if each rank is on an instance of its own.
    std::vector<uint32_t> instanceOf;
    // Instances that must hold a copy of each expert.
    uint32_t minCopies = 1;
};

// One copy of an expert, with the share of the expert's tokens that it takes, 0 to 1.
struct ExpertCopy {
    uint32_t rank = 0;
    double share = 0;
};

// The copies of each expert of one layer.
struct Placement {
    std::vector<std::vector<ExpertCopy>> copies;
};

// Checks that the experts fit. Returns false with `reason` set, which says what is short.
bool isFeasible(uint32_t experts, const RankTopology&, std::string& reason);

// A placement made from nothing: the hottest experts get the spare slots, and copies go to the
// least loaded rank, largest first. `loads` are token counts by expert.
std::optional<Placement> placeGreedily(std::span<const double> loads, const RankTopology&, std::string& reason);

// Splits each expert's tokens among its copies so that the largest rank load is as low as the
// places allow, within a small tolerance. Moves nothing.
void splitShares(Placement&, std::span<const double> loads, const RankTopology&);

// Token counts by rank.
std::vector<double> rankLoads(const Placement&, std::span<const double> loads, const RankTopology&);

double largestRankLoad(const Placement&, std::span<const double> loads, const RankTopology&);

// No placement has a smaller largest rank load: the mean, or the hottest expert's tokens over as
// many ranks as it could possibly be copied to.
double largestLoadBound(std::span<const double> loads, const RankTopology&);

// Copies in `after` on ranks that did not hold the expert in `before`: weights to be loaded.
uint32_t countMoves(const Placement& before, const Placement& after);

// One step of improvement: a copy of `expert` replaces one of `evicted` on a rank.
struct CopyMove {
    uint32_t expert = 0;
    uint32_t evicted = 0;
    uint32_t rank = 0;
};

// How uneven rank loads are: their 16-norm over their mean. It follows the largest load, and falls
// too when one of several equally large loads does.
double unevenness(const Placement&, std::span<const double> loads, const RankTopology&);

// The move that most lowers the unevenness, with the placement after it, or nothing if none of
// those tried lowers it.
std::optional<CopyMove> findMove(const Placement&, std::span<const double> loads, const RankTopology&, Placement& after);

} // namespace orioletrail
