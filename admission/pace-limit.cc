#include "admission/pace-limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace orioletrail {

namespace detail {

    // Time constant of the unevenness estimate, about ten passes.
    constexpr double timeConstantSeconds = 1.0;
    // Target for the average gap as a share of the objective. The rest is headroom for the prefill
    // of prompts within a pass and for the network delay to the caller.
    constexpr double objectiveShare = 0.85;
    // Gaps longer than this multiple of the objective are stalls that the load doesn't cause.
    constexpr double stallFactor = 5;
    // With fewer streams than this, the duration of a pass is mostly its fixed part.
    constexpr double minStreams = 1;
    constexpr double maxUnevenness = 12;
    // Value of a late stream to its caller relative to one on time.
    constexpr double lateAnswerValue = 0.5;

    // The part of a step's duration that does not depend on streams. All ranks wait for the
    // slowest.
    double fixedStepMs(const PaceProfile& profile)
    {
        return profile.stepMs * std::max(1.0, profile.slowestFactor);
    }

} // namespace detail

void PaceLimit::onEventGap(double gapMs, double streams, const PaceProfile& profile, TimePoint now)
{
    if (streams < detail::minStreams || profile.perStreamMs <= 0 || gapMs > detail::stallFactor * profile.gapObjectiveMs)
        return;
    const double variableStepMs = gapMs / profile.stepsPerPass - detail::fixedStepMs(profile);
    const double measured = std::clamp(variableStepMs / (profile.perStreamMs * streams), 1.0, detail::maxUnevenness);
    // The gaps of many streams are reported together at the end of a pass, so each is weighted by
    // the time since the previous report.
    const double elapsed = std::chrono::duration<double>(now - m_lastGap).count();
    m_lastGap = now;
    const double weight = 1 - std::exp(-std::clamp(elapsed, 0.0, detail::timeConstantSeconds) / detail::timeConstantSeconds);
    m_unevenness += weight * (measured - m_unevenness);
}

double PaceLimit::maxStreamsPerEndpoint(const PaceProfile& profile) const
{
    if (profile.perStreamMs <= 0 || profile.gapObjectiveMs <= 0)
        return std::numeric_limits<double>::max();
    const double fixed = detail::fixedStepMs(profile);
    const double perStream = profile.perStreamMs * m_unevenness;
    // Streams per endpoint with which a pass lasts `gapMs`.
    const auto streamsForGap = [&](double gapMs) { return std::max(detail::minStreams, (gapMs / profile.stepsPerPass - fixed) / perStream); };
    // Proportional to the number of answers per second.
    const auto throughput = [&](double streams) { return streams / (fixed + perStream * streams); };
    const double onTimeStreams = streamsForGap(detail::objectiveShare * profile.gapObjectiveMs);
    const double lateStreams = std::min(profile.slots, streamsForGap(profile.maxUsefulGapMs));
    const bool isOnTime = profile.stepsPerPass * (fixed + perStream * onTimeStreams) <= profile.gapObjectiveMs;
    const double value = (isOnTime ? 1 : detail::lateAnswerValue) * throughput(onTimeStreams);
    return lateStreams > onTimeStreams && detail::lateAnswerValue * throughput(lateStreams) > value ? lateStreams : onTimeStreams;
}

} // namespace orioletrail
