#include "routing/router.h"

#include "base/digest.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    bool isUsable(const Candidate& candidate)
    {
        return !candidate.closed && !candidate.tried && candidate.credits;
    }

    // Load at which an endpoint is skipped in spite of the affinity: `factor` times the mean load
    // of the usable endpoints including the new attempt, and at least one attempt.
    double affinityLoadBound(std::span<const Candidate> candidates, double factor)
    {
        uint32_t load = 0;
        uint32_t usable = 0;
        for (const Candidate& candidate : candidates) {
            if (!isUsable(candidate))
                continue;
            load += candidate.inFlight;
            ++usable;
        }
        return usable ? std::max(1.0, factor * (load + 1) / usable) : 0;
    }

} // namespace detail

std::optional<size_t> chooseEndpoint(std::span<const Candidate> candidates, const RouteRequest& request, const RouteSettings& settings)
{
    const double bound = detail::affinityLoadBound(candidates, settings.loadBound);
    std::optional<size_t> best;
    auto isBetter = [&](const Candidate& a, const Candidate& b) {
        if (request.affinity && !request.runAlone) {
            const bool aWithinBound = a.inFlight < bound;
            const bool bWithinBound = b.inFlight < bound;
            if (aWithinBound != bWithinBound)
                return aWithinBound;
            if (aWithinBound)
                return hash64(a.endpoint, request.affinity) > hash64(b.endpoint, request.affinity);
        }
        if (a.inFlight != b.inFlight)
            return a.inFlight < b.inFlight;
        if ((a.zone == request.zone) != (b.zone == request.zone))
            return a.zone == request.zone;
        return a.credits > b.credits;
    };
    for (size_t i = 0; i < candidates.size(); ++i)
        if (detail::isUsable(candidates[i]) && (!best || isBetter(candidates[i], candidates[*best])))
            best = i;
    return best;
}

} // namespace orioletrail
