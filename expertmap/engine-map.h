// Expert maps as engines take them: the experts of each rank, by set of layers. The ranks that
// hold an expert share its tokens evenly.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace orioletrail {

struct ExpertMap {
    // Experts by set and rank, in rising order.
    std::vector<std::vector<std::vector<uint32_t>>> experts;

    bool operator==(const ExpertMap&) const = default;
};

// What a change may do to a map.
struct MapLimits {
    // Experts that a rank holds of one set.
    uint32_t places = 0;
    // Experts of one set that are new to a rank in one change.
    uint32_t newPerChange = 0;
    // Experts of all sets together that are new to a rank in one change; bounds the time of copying.
    uint32_t newPerRank = 0;
};

// Token counts by set and expert.
using ExpertCounts = std::vector<std::vector<double>>;

// The map that engines start with: expert e on rank e modulo the number of ranks.
ExpertMap startingMap(uint32_t sets, uint32_t experts, uint32_t ranks);

// How many times longer than usual each rank takes for its work; empty if all are as usual.
using RankSlowness = std::vector<double>;

// Mean over all sets of the longest time that a rank takes, against that of an even load on usual
// ranks: what a pass costs. 1 for sets without counts.
double mapUnevenness(const ExpertMap&, const ExpertCounts&, const RankSlowness& = {});

// Experts that `after` adds to ranks of `before`: weights to be copied, by rank.
std::vector<uint32_t> countCopies(const ExpertMap& before, const ExpertMap& after);

// A map whose ranks take less time at the longest, made from the given one by single copies, moves
// and evictions within the limits.
ExpertMap improveMap(const ExpertMap&, const ExpertCounts&, const MapLimits&, const RankSlowness& = {});

// False, with `reason` set, if an expert is on no rank or a rank holds more than it has places for.
bool isValidMap(const ExpertMap&, uint32_t experts, const MapLimits&, std::string& reason);

} // namespace orioletrail
