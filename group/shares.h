// The share of each group of engines in a service's streams.
#pragma once

#include <span>
#include <vector>

namespace orioletrail {

// Predicted passes of a group. A pass takes `fixedMs`, plus `perStreamMs` for each stream that an endpoint of the group
// has on average.
struct GroupPass {
    double fixedMs = 0;
    double perStreamMs = 0;
    double endpoints = 0;
    // Most streams that the group can handle.
    double capacity = 0;
};

// Splits `streams` so that the longest pass is as short as possible: groups are filled up to the same length of a pass,
// each at most to its capacity (water-filling). Returns shares that add up to 1, or 0 for all if no group has capacity.
// Streams beyond all capacity are split in proportion to it.
std::vector<double> groupShares(std::span<const GroupPass>, double streams);

} // namespace orioletrail
