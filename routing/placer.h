// Chooses the endpoint for a request among those of its service, by load.
#pragma once

#include "base/types.h"

#include <span>

namespace orioletrail {

// An endpoint to choose from, with its current state.
struct PlaceOption {
    std::string_view endpoint;
    std::string_view zone;
    // Requests in flight from all instances.
    double load = 0;
    // Most requests that it may have in flight.
    double limit = 1;
    // Its time for a request relative to the normal one, such as the mean of its service.
    double slowness = 1;
    // Share of its answers that are failures, 0 to 1.
    double failureShare = 0;
    // Among equally loaded endpoints those with a lower value are chosen first, 0 to 1.
    double preference = 0;
    // It may not get requests now: it is leaving, in a closed zone, or cold with its rate limit
    // reached.
    bool closed = false;
    // It was unreachable or silent recently.
    bool avoided = false;
    // An earlier attempt of the request was sent to it.
    bool tried = false;
    // Time to the first event that the endpoint saves for this request because it holds the beginning of its
    // prompt, as the number of requests of load that cost as much.
    double saving = 0;
};

enum class PlaceFailure : uint8_t {
    None,
    // All endpoints are closed, or there are none.
    NoneOpen,
    // All endpoints that are not closed have reached their limit.
    AllFull
};

struct PlaceChoice {
    PlaceFailure failure = PlaceFailure::None;
    // Index of the chosen option, if there is no failure.
    size_t index = 0;
    // Index of the option that would have been chosen if no endpoint saved anything.
    size_t indexWithoutSaving = 0;
};

// Cost by which options are compared, in requests of load, without the saving.
double placeCost(const PlaceOption&, std::string_view zone);

// The preference of an instance for an endpoint. Instances that know the load of others late would choose
// the same one of several equally loaded endpoints and overload it; each has an order of its own instead,
// and comes back to endpoints that it has connections to.
double endpointPreference(std::string_view instance, std::string_view endpoint);

// Chooses the endpoint with the lowest load after adding the request, weighted by its slowness and
// failures; among equals one in `zone`. This suits engines whose ranks run in lock-step, where the
// most loaded rank determines the speed of all, and plain services with one slow or failing
// endpoint. Endpoints that are avoided or were tried are chosen only if there is no other.
//
// An endpoint that saves time is chosen instead if the request is predicted to start there no later than at
// the one chosen without savings, and if its load is close to the mean of the endpoints.
PlaceChoice placeRequest(std::span<const PlaceOption>, std::string_view zone);

} // namespace orioletrail
