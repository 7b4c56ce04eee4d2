// Chooses the endpoint of a request among those of its service, by load.
#pragma once

#include "base/types.h"

#include <span>

namespace orioletrail {

// One endpoint at the moment of choice.
struct PlaceOption {
    std::string_view endpoint;
    std::string_view zone;
    // Requests that it holds, from all instances.
    double load = 0;
    // Requests that it may hold.
    double limit = 1;
    // Time that it takes for a request, against the mean of its service.
    double slowness = 1;
    // Share of its answers that are failures.
    double failureShare = 0;
    // It may get nothing now: leaving, in a closed zone, or cold with its rate used up.
    bool closed = false;
    // It could not be reached a moment ago.
    bool avoided = false;
    // An earlier attempt at the request went there.
    bool tried = false;
};

enum class PlaceFailure : uint8_t {
    None,
    // No endpoint is open at all.
    NoneOpen,
    // Those that are open hold as much as they may.
    AllFull
};

struct PlaceChoice {
    PlaceFailure failure = PlaceFailure::None;
    // Index of the option, if there is no failure.
    size_t index = 0;
};

// Takes the endpoint that would be the least loaded with the request; among equals one in the
// caller's zone. Answers ranks that run in lock-step, where the fullest sets the pace of all, and
// plain services with one slow or failing endpoint. Endpoints that are avoided or were tried are
// taken only if there is no other.
PlaceChoice placeRequest(std::span<const PlaceOption>, std::string_view zone);

} // namespace orioletrail
