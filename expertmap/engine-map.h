// Expert maps in the form that engines use: which experts each rank holds, by layer set. The ranks
// that hold an expert share its tokens evenly.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace orioletrail {

// Assigns the experts of each layer set to ranks. An expert may have copies on several ranks.
struct ExpertMap {
    // Experts by layer set and rank, in ascending order.
    std::vector<std::vector<std::vector<uint32_t>>> experts;

    bool operator==(const ExpertMap&) const = default;
};

// Limits on the size of a map and on a single change of it.
struct MapLimits {
    // Experts of one layer set that a rank can hold.
    uint32_t slotsPerRank = 0;
    // Experts of one layer set that one change may add to a rank.
    uint32_t maxAddedPerSet = 0;
    // Experts of all layer sets together that one change may add to a rank. Bounds the time that the
    // rank spends copying weights.
    uint32_t maxAddedPerRank = 0;
};

// Token counts by layer set and expert.
using ExpertCounts = std::vector<std::vector<double>>;

// The initial map of an engine group: expert e is on rank e modulo the number of ranks.
ExpertMap initialMap(uint32_t sets, uint32_t experts, uint32_t ranks);

// Processing time of each rank relative to normal: 2 for a rank that takes twice as long for the
// same tokens. Empty if all ranks run at normal speed.
using RankSlowness = std::vector<double>;

// Load imbalance of a map, which is the relative duration of a forward pass: the processing time of
// the slowest rank, divided by that of a rank at normal speed with an even share of the tokens,
// averaged over all layer sets. A layer set without counts is rated 1.
double mapUnevenness(const ExpertMap&, const ExpertCounts&, const RankSlowness& = {});

// Number of experts, by rank, that `after` adds to those of `before`: each is one copy of weights.
std::vector<uint32_t> countAddedExperts(const ExpertMap& before, const ExpertMap& after);

// Returns a map with a shorter processing time on the slowest ranks. Starts from the given map and
// greedily adds, moves and evicts single copies of experts within the limits.
ExpertMap improveMap(const ExpertMap&, const ExpertCounts&, const MapLimits&, const RankSlowness& = {});

// Returns false and sets `reason` if an expert is on no rank, or a rank holds more experts of a layer
// set than it has slots.
bool isValidMap(const ExpertMap&, uint32_t experts, const MapLimits&, std::string& reason);

} // namespace orioletrail
