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
    // What a stream that is late is worth to its caller, against one on time.
    constexpr double lateValue = 0.5;

    // Time of a step that does not depend on streams. All ranks wait for the slowest.
    double fixedPart(const PaceProfile& profile)
    {
        return profile.stepMs * std::max(1.0, profile.slowest);
    }

} // namespace detail

void PaceLimit::onGap(double gapMs, double streams, const PaceProfile& profile, TimePoint now)
{
    if (streams < detail::leastStreams || profile.perStreamMs <= 0 || gapMs > detail::stallFactor * profile.gapObjectiveMs)
        return;
    const double perStep = gapMs / profile.stepsPerPass - detail::fixedPart(profile);
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
    const double fixed = detail::fixedPart(profile);
    const double perStream = profile.perStreamMs * m_unevenness;
    // Streams with which a pass takes so long.
    const auto streamsFor = [&](double gapMs) { return std::max(detail::leastStreams, (gapMs / profile.stepsPerPass - fixed) / perStream); };
    // Answers a second are proportional to this.
    const auto rate = [&](double streams) { return streams / (fixed + perStream * streams); };
    const double inTime = streamsFor(detail::usedShare * profile.gapObjectiveMs);
    const double late = std::min(profile.slots, streamsFor(profile.bearableGapMs));
    const bool isInTime = profile.stepsPerPass * (fixed + perStream * inTime) <= profile.gapObjectiveMs;
    const double value = (isInTime ? 1 : detail::lateValue) * rate(inTime);
    return late > inTime && detail::lateValue * rate(late) > value ? late : inTime;
}

} // namespace orioletrail
