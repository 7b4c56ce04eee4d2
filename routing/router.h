// Chooses the endpoint for an attempt by affinity, load and zone.
#pragma once

#include "base/types.h"

#include <span>

namespace orioletrail {

// An endpoint to choose from, as an entry currently sees it.
struct Candidate {
    std::string_view endpoint;
    std::string_view zone;
    // Attempts that this entry has in flight there.
    uint32_t inFlight = 0;
    // Credits that this entry holds for the endpoint.
    uint32_t credits = 0;
    // It may not get requests, because of the configuration, its own state or a lost connection.
    bool closed = false;
    // An earlier attempt of the same request failed there.
    bool tried = false;
};

// The request to choose an endpoint for.
struct RouteRequest {
    // Requests with the same affinity prefer the same endpoint; 0 for none.
    uint64_t affinity = 0;
    // The entry's own zone.
    std::string_view zone;
    // The request may crash its endpoint: ignore the affinity and choose the least loaded endpoint,
    // where the sidecar runs no other request at the same time.
    bool runAlone = false;
};

struct RouteSettings {
    // The preferred endpoint is skipped if its load has reached this multiple of the mean.
    double loadBound = 2.0;
};

// Returns the index of the chosen candidate, or nothing if all are closed, were tried or have no
// credits. With an affinity, candidates are ranked by rendezvous hashing, and the first one below
// the load bound is chosen. Without one, the least loaded is chosen, and one in the local zone
// among equals.
std::optional<size_t> chooseEndpoint(std::span<const Candidate>, const RouteRequest&, const RouteSettings& = {});

} // namespace orioletrail
