// Chooses which instances watch the platform, which peers an instance gossips with and which
// endpoints an entry connects to. All choices use rendezvous hashing, so that they change little when
// the lists of instances and endpoints change.
#pragma once

#include "config/objects.h"

namespace orioletrail {

// Number of instances per zone that watch the platform. The others get updates from peers.
inline constexpr size_t watchersPerZone = 2;

// Rank of an instance by rendezvous hash among the instances of its zone, from 0. Instances of a rank
// below watchersPerZone watch the platform. Leaving instances are not counted, and an instance that
// is not listed ranks last.
size_t watcherRank(const ConfigView&, std::string_view self, std::string_view zone);

// Names of the peers that an instance gossips with: one in each other zone, then others up to a total
// of `count`. Leaving instances are excluded.
std::vector<std::string> chooseNeighbours(const ConfigView&, std::string_view self, size_t count);

// Names of the endpoints that an entry connects to, at most `count` of each service; 0 means all. Endpoints of services
// that are not configured are left out.
std::vector<std::string> chooseEndpointSubset(const ConfigView&, std::string_view self, size_t count);

} // namespace orioletrail
