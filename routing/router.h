// Chooses the endpoint for an attempt.
#pragma once

#include "base/types.h"

#include <span>

namespace orioletrail {

// What an entry knows of one endpoint at the moment of choice.
struct Candidate {
    std::string_view endpoint;
    std::string_view zone;
    // Attempts that this entry has in flight there.
    uint32_t inFlight = 0;
    // Credits that this entry holds for it.
    uint32_t credits = 0;
    // The configuration, the endpoint or a lost connection rules it out.
    bool closed = false;
    // An earlier attempt at the same request failed there.
    bool tried = false;
};

struct RouteRequest {
    // Requests with the same affinity prefer the same endpoint; 0 for none.
    uint64_t affinity = 0;
    std::string_view zone;
    // Choose the least loaded endpoint, whatever the affinity; its sidecar will run nothing beside.
    bool alone = false;
};

struct RouteSettings {
    // An endpoint is passed over when its load exceeds this multiple of the mean.
    double loadBound = 2.0;
};

// Index of the chosen candidate, or nothing if none is open with a credit. Endpoints are ranked
// by rendezvous hash of the affinity; the first within the load bound is taken. Without
// affinity the least loaded one is taken, the local zone first among equals.
std::optional<size_t> chooseEndpoint(std::span<const Candidate>, const RouteRequest&, const RouteSettings& = {});

} // namespace orioletrail
