#include "admission/pace-limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace orioletrail {

namespace detail {

    // Time constant of the estimate: some ten passes.
    constexpr double paceSeconds = 1.0;
    // Share of the objective that the usual pause may take; the rest is for prompts that are read
    // within a pass and for the way to the caller.
    constexpr double usedShare = 0.85;
    // A longer pause is a stall, which says nothing of the load.
    constexpr double stallFactor = 5;
    // With fewer streams a pass is mostly its fixed part.
    constexpr double leastStreams = 1;
    constexpr double mostUneven = 12;

} // namespace detail

void PaceLimit::onGap(double gapMs, double streams, const PaceProfile& profile, TimePoint now)
{
    if (streams < detail::leastStreams || profile.perStreamMs <= 0 || gapMs > detail::stallFactor * profile.gapObjectiveMs)
        return;
    const double perStep = gapMs / profile.stepsPerPass - profile.stepMs;
    const double seen = std::clamp(perStep / (profile.perStreamMs * streams), 1.0, detail::mostUneven);
    // Pauses of many streams arrive together, so the weight of each follows from the time between.
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    m_last = now;
    const double weight = 1 - std::exp(-std::clamp(elapsed, 0.0, detail::paceSeconds) / detail::paceSeconds);
    m_unevenness += weight * (seen - m_unevenness);
}

double PaceLimit::streamsPerEndpoint(const PaceProfile& profile) const
{
    if (profile.perStreamMs <= 0 || profile.gapObjectiveMs <= 0)
        return std::numeric_limits<double>::max();
    const double perStep = detail::usedShare * profile.gapObjectiveMs / profile.stepsPerPass - profile.stepMs;
    return std::max(detail::leastStreams, perStep / (profile.perStreamMs * m_unevenness));
}

} // namespace orioletrail
