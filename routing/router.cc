#include "routing/router.h"

#include "base/digest.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    bool isUsable(const Candidate& candidate)
    {
        return !candidate.closed && !candidate.tried && candidate.credits;
    }

    // The load that bounds affinity: mean over usable endpoints, and at least one attempt.
    double boundOf(std::span<const Candidate> candidates, double factor)
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
    const double bound = detail::boundOf(candidates, settings.loadBound);
    std::optional<size_t> best;
    auto better = [&](const Candidate& a, const Candidate& b) {
        if (request.affinity && !request.alone) {
            const bool aFits = a.inFlight < bound;
            const bool bFits = b.inFlight < bound;
            if (aFits != bFits)
                return aFits;
            if (aFits)
                return hash64(a.endpoint, request.affinity) > hash64(b.endpoint, request.affinity);
        }
        if (a.inFlight != b.inFlight)
            return a.inFlight < b.inFlight;
        if ((a.zone == request.zone) != (b.zone == request.zone))
            return a.zone == request.zone;
        return a.credits > b.credits;
    };
    for (size_t i = 0; i < candidates.size(); ++i)
        if (detail::isUsable(candidates[i]) && (!best || better(candidates[i], candidates[*best])))
            best = i;
    return best;
}

} // namespace orioletrail
