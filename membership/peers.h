// Chooses which instances watch the platform and which peers an instance gossips with.
#pragma once

#include "config/objects.h"

namespace orioletrail {

// Instances of one zone that watch the platform; the others learn from peers.
inline constexpr size_t watchersPerZone = 2;

// Position of an instance among those of its zone in rendezvous order, from 0. Ranks below
// watchersPerZone watch. Instances that are not listed rank last.
size_t watchRank(const ConfigView&, std::string_view self, std::string_view zone);

// Peers to gossip with: one in each other zone, then others up to `count`, all by rendezvous
// hash, so that the choice is stable while the list is. Leaving instances are left out.
std::vector<std::string> chooseNeighbours(const ConfigView&, std::string_view self, size_t count);

// The endpoints that an entry connects to, at most `count` for each service; 0 means all.
std::vector<std::string> chooseSubset(const ConfigView&, std::string_view self, size_t count);

} // namespace orioletrail
