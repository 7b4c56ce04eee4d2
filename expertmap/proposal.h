// Proposes changes of an expert map whose benefit outweighs their cost.
#pragma once

#include "base/types.h"
#include "expertmap/engine-map.h"

namespace orioletrail {

struct ProposalSettings {
    // How long the popularity of the experts is assumed to last. A change has to pay off within it.
    Millis horizon { 2500 };
    // Time from one change to the next: copying, orders to the ranks and their reports.
    Millis changeInterval { 600 };
    // Cost of copying during one second on all ranks, in addition to the longer passes. One copy costs
    // its part of that: its duration, divided by the number of ranks. Costs and gains are in units of
    // unevenness times seconds: 1 is one second in which each pass takes longer by the duration of a
    // pass with an even load.
    double copyCost = 0.75;
    // Minimum net gain of a change over the horizon, in the same unit.
    double minGain = 0.1;
};

// A change of a map and its estimated cost and benefit.
struct MapProposal {
    // The map after the change, and its unevenness.
    ExpertMap map;
    double unevenness = 1;
    // Experts copied by all ranks.
    uint32_t copies = 0;
    // Time that the rank with the most copies takes for them.
    Millis copyTime { 0 };
    // Net gain over the horizon, in unevenness times seconds.
    double gain = 0;
};

// Of the changes that pay off over the horizon, returns the one that gains the most until the next
// change can follow; nothing if none pays off. Choosing by the early gain serves an abrupt shift of
// popularity: many copies lead to a more even load, but all streams are late until they are complete,
// so a change with few copies comes first. `copyTime` is the time in which a rank copies one expert;
// passes take somewhat longer meanwhile. MapLimits::maxAddedPerRank is ignored.
std::optional<MapProposal> proposeMap(const ExpertMap&, const ExpertCounts&, const RankSlowness&, const MapLimits&, Millis copyTime, const ProposalSettings& = {});

} // namespace orioletrail
