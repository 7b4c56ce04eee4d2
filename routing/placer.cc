#include "routing/placer.h"

#include "base/digest.h"

#include <limits>

namespace orioletrail {

namespace detail {

    // An endpoint that fails quickly has a low load and would attract all requests. A failure
    // therefore adds as much cost as this many answers.
    constexpr double failureWeight = 8;
    // Small, so that another zone is chosen only if the load there is lower.
    constexpr double otherZonePenalty = 0.25;
    // Less than one request together with the penalty for another zone.
    constexpr double preferenceWeight = 0.7;
    // Larger than any difference in load.
    constexpr double avoidedPenalty = 1e3;
    constexpr double triedPenalty = 1e6;

    double costOf(const PlaceOption& option, std::string_view zone)
    {
        double cost = (option.load + 1) * option.slowness * (1 + failureWeight * option.failureShare);
        if (option.zone != zone)
            cost += otherZonePenalty;
        cost += preferenceWeight * option.preference;
        if (option.avoided)
            cost += avoidedPenalty;
        if (option.tried)
            cost += triedPenalty;
        return cost;
    }

} // namespace detail

double endpointPreference(std::string_view instance, std::string_view endpoint)
{
    constexpr double range = 18'446'744'073'709'551'616.0;
    return static_cast<double>(rendezvousScore(instance, endpoint)) / range;
}

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
