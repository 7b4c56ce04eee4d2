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

    // The most loaded rank of a group determines the pace of all, so a saving may not raise the load of an
    // endpoint, with the new request, further above the mean than this.
    constexpr double savingLoadBound = 1.25;

    // A smaller saving does not decide: the preference, which keeps entries from choosing alike, is worth more
    // than it saves.
    constexpr double minSaving = preferenceWeight;

    // The part of the cost that delays the start of the request. The preference only spreads requests.
    double startCost(const PlaceOption& option, std::string_view zone)
    {
        const double cost = (option.load + 1) * option.slowness * (1 + failureWeight * option.failureShare);
        return option.zone == zone ? cost : cost + otherZonePenalty;
    }

    bool isUsable(const PlaceOption& option)
    {
        return !option.closed && option.load + 1 <= option.limit;
    }

    double meanUsableLoad(std::span<const PlaceOption> options)
    {
        double load = 0;
        size_t count = 0;
        for (const PlaceOption& option : options) {
            if (!isUsable(option))
                continue;
            load += option.load;
            ++count;
        }
        return count ? load / static_cast<double>(count) : 0;
    }

    // Returns the option with the lowest cost less saving of those at which the request starts no later than
    // at `base`, the option chosen without savings.
    size_t chooseBySaving(std::span<const PlaceOption> options, size_t base, std::string_view zone)
    {
        const PlaceOption& without = options[base];
        const double latestStart = startCost(without, zone) - without.saving;
        const double loadBound = savingLoadBound * (meanUsableLoad(options) + 1);
        size_t best = base;
        double bestCost = placeCost(without, zone) - without.saving;
        for (size_t index = 0; index < options.size(); ++index) {
            const PlaceOption& option = options[index];
            if (option.saving - without.saving < minSaving || !isUsable(option) || option.load + 1 > loadBound)
                continue;
            if (option.avoided != without.avoided || option.tried != without.tried || startCost(option, zone) - option.saving > latestStart)
                continue;
            const double cost = placeCost(option, zone) - option.saving;
            if (cost < bestCost) {
                best = index;
                bestCost = cost;
            }
        }
        return best;
    }

} // namespace detail

double placeCost(const PlaceOption& option, std::string_view zone)
{
    double cost = detail::startCost(option, zone) + detail::preferenceWeight * option.preference;
    if (option.avoided)
        cost += detail::avoidedPenalty;
    if (option.tried)
        cost += detail::triedPenalty;
    return cost;
}

double endpointPreference(std::string_view instance, std::string_view endpoint)
{
    constexpr double range = 18'446'744'073'709'551'616.0;
    return static_cast<double>(rendezvousScore(instance, endpoint)) / range;
}

PlaceChoice placeRequest(std::span<const PlaceOption> options, std::string_view zone)
{
    PlaceChoice best { PlaceFailure::NoneOpen, 0, 0 };
    bool hasSaving = false;
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
        hasSaving = hasSaving || option.saving >= detail::minSaving;
        const double cost = placeCost(option, zone);
        if (best.failure != PlaceFailure::None || cost < bestCost) {
            best = { PlaceFailure::None, index, index };
            bestCost = cost;
        }
    }
    if (hasSaving)
        best.index = detail::chooseBySaving(options, best.index, zone);
    return best;
}

} // namespace orioletrail
