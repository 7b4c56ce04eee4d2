#include "routing/placer.h"

#include <limits>

namespace orioletrail {

namespace detail {

    // A failing endpoint is quick, and would draw all requests: its failures count as if each
    // took so many times as long as an answer.
    constexpr double failureCost = 8;
    // Another zone costs a little, so that it is chosen only for a lower load.
    constexpr double otherZoneCost = 0.25;
    // Below any difference in load.
    constexpr double avoidedCost = 1e3;
    constexpr double triedCost = 1e6;

    double costOf(const PlaceOption& option, std::string_view zone)
    {
        double cost = (option.load + 1) * option.slowness * (1 + failureCost * option.failureShare);
        if (option.zone != zone)
            cost += otherZoneCost;
        if (option.avoided)
            cost += avoidedCost;
        if (option.tried)
            cost += triedCost;
        return cost;
    }

} // namespace detail

PlaceChoice placeRequest(std::span<const PlaceOption> options, std::string_view zone)
{
    PlaceChoice best { PlaceFailure::NoneOpen, 0 };
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index = 0; index < options.size(); ++index) {
        const PlaceOption& option = options[index];
        if (option.closed)
            continue;
        if (option.load + 1 > option.limit) {
            if (best.failure == PlaceFailure::NoneOpen)
                best.failure = PlaceFailure::AllFull;
            continue;
        }
        const double cost = detail::costOf(option, zone);
        if (best.failure != PlaceFailure::None || cost < bestCost) {
            best = { PlaceFailure::None, index };
            bestCost = cost;
        }
    }
    return best;
}

} // namespace orioletrail
