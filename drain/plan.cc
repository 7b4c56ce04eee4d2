#include "drain/plan.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Kept of the grace period for requests that are cut off, and for the process to end. The longer ones apply to
    // grace periods of some seconds or more.
    constexpr Millis maxCutOffTime { 500 };
    constexpr Millis maxExitTime { 250 };
    constexpr int cutOffShare = 5;
    constexpr int exitShare = 10;

} // namespace detail

DrainPlan::DrainPlan(TimePoint stopped, const DrainSettings& settings)
    : m_acceptUntil(stopped + settings.acceptFor)
    , m_answerBy(stopped + settings.grace - std::min(detail::maxCutOffTime, settings.grace / detail::cutOffShare))
    , m_closeBy(stopped + settings.grace - std::min(detail::maxExitTime, settings.grace / detail::exitShare))
{
}

bool DrainPlan::mayTake(const DrainRequest& request, TimePoint now) const
{
    return now <= m_acceptUntil && maySend(request, now);
}

bool DrainPlan::maySend(const DrainRequest& request, TimePoint now) const
{
    if (now >= m_answerBy)
        return false;
    if (request.deadline <= m_answerBy)
        return true;
    return request.isIdempotent && request.expected && now + *request.expected <= m_answerBy;
}

} // namespace orioletrail
