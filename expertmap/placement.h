// Places the experts of one layer on ranks, and splits their tokens among copies.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace orioletrail {

// The ranks of a group and their capacity for one layer.
struct RankTopology {
    uint32_t ranks = 0;
    // Experts of one layer that a rank can hold.
    uint32_t slotsPerRank = 0;
    // Index of the instance of each rank. Empty if no two ranks share an instance.
    std::vector<uint32_t> instanceByRank;
    // Minimum number of copies of each expert, each on a different instance.
    uint32_t minCopies = 1;
};

// One copy of an expert.
struct ExpertCopy {
    uint32_t rank = 0;
    // Share of the expert's tokens that go to this copy, 0 to 1.
    double share = 0;
};

// The placement of the experts of one layer.
struct Placement {
    // Copies by expert.
    std::vector<std::vector<ExpertCopy>> copies;
};

// Returns false and sets `reason` if there are too few slots or instances for the experts.
bool isFeasible(uint32_t experts, const RankTopology&, std::string& reason);

// Computes a placement from scratch: the hottest experts get additional copies in the spare slots, and
// copies are assigned to the least loaded rank, those with the most tokens first. `loads` holds token
// counts by expert. Returns nothing and sets `reason` if the experts do not fit.
std::optional<Placement> placeGreedily(std::span<const double> loads, const RankTopology&, std::string& reason);

// Adjusts the shares of all copies to minimize the largest rank load, within a small tolerance. Does
// not move copies.
void splitShares(Placement&, std::span<const double> loads, const RankTopology&);

// Token counts by rank.
std::vector<double> rankLoads(const Placement&, std::span<const double> loads, const RankTopology&);

double largestRankLoad(const Placement&, std::span<const double> loads, const RankTopology&);

// Lower bound of the largest rank load of any placement: the mean load of the ranks, or the load of the
// hottest expert divided by the largest number of ranks that could hold a copy, whichever is larger.
double largestRankLoadLowerBound(std::span<const double> loads, const RankTopology&);

// Number of copies in `after` on ranks that did not hold the expert in `before`. Each is one load of
// weights.
uint32_t countMoves(const Placement& before, const Placement& after);

// Replaces the copy of the expert `evicted` on a rank by a copy of `expert`.
struct CopyMove {
    uint32_t expert = 0;
    uint32_t evicted = 0;
    uint32_t rank = 0;
};

// Imbalance of the rank loads: their power mean with exponent 16 over their mean. The largest load
// dominates it, and unlike a maximum it also falls when only one of several equally large loads falls.
double unevenness(const Placement&, std::span<const double> loads, const RankTopology&);

// Tries the most promising moves and returns the one that reduces the unevenness most. Sets `after` to
// the placement with the move and new shares. Returns nothing if no move that was tried reduces it.
std::optional<CopyMove> findBestMove(const Placement&, std::span<const double> loads, const RankTopology&, Placement& after);

} // namespace orioletrail
