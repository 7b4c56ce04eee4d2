#include "admission/wait-queue.h"

#include <algorithm>
#include <cmath>

namespace orioletrail {

namespace detail {

    // Time constant of the completion rate; about ten requests complete in this time.
    constexpr double rateTimeConstantSeconds = 1.0;
    // Lower bound of the completion rate, which bounds the expected wait if nothing was measured.
    constexpr double minCompletionRate = 1.0;
    // Share of the time before an answer would be late that a request may spend waiting. Under
    // overload all requests wait as long as they may, and the time to first byte can be several
    // times its average, which needs headroom.
    constexpr double waitShare = 0.3;
    // Bounds of the retry delay: at least one round trip, and no longer than callers are willing to
    // wait.
    constexpr Millis minRetryAfter { 100 };
    constexpr Millis maxRetryAfter { 2000 };

    WaitQueue::Ticket makeTicket(const WaitRequest& request, uint64_t number)
    {
        return { { request.isRetry ? 0 : 1, request.priority }, number };
    }

} // namespace detail

void WaitQueue::onCompletion(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastCompletion).count();
    m_completionRate = m_completionRate * std::exp(-elapsed / detail::rateTimeConstantSeconds) + 1 / detail::rateTimeConstantSeconds;
    m_lastCompletion = now;
}

double WaitQueue::completionRate(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_lastCompletion).count();
    return m_completionRate * std::exp(-elapsed / detail::rateTimeConstantSeconds);
}

Millis WaitQueue::expectedWait(const Ticket& ticket, double completionRate) const
{
    const auto requestsAhead = std::distance(m_waiting.begin(), m_waiting.lower_bound(ticket));
    constexpr double millisPerSecond = 1000;
    return Millis(static_cast<Millis::rep>(millisPerSecond * static_cast<double>(requestsAhead + 1) / completionRate));
}

Millis WaitQueue::longestWait(const WaitRequest& request)
{
    const Millis timeForWaiting = request.timeToObjective - request.expectedFirstByte;
    return std::max(Millis(0), Millis(static_cast<Millis::rep>(detail::waitShare * static_cast<double>(timeForWaiting.count()))));
}

WaitDecision WaitQueue::decide(const WaitRequest& request, TimePoint now) const
{
    const double rate = std::max({ detail::minCompletionRate, request.estimatedCompletionRate, completionRate(now) });
    const Millis wait = expectedWait(detail::makeTicket(request, m_nextNumber), rate);
    WaitDecision decision;
    decision.mayWait = wait <= longestWait(request);
    const Millis timeToDrain = expectedWait({ { 2, 0 }, m_nextNumber }, rate);
    decision.retryAfter = std::clamp(timeToDrain, detail::minRetryAfter, detail::maxRetryAfter);
    return decision;
}

WaitQueue::Ticket WaitQueue::push(const WaitRequest& request, std::function<void()> wake)
{
    const Ticket ticket = detail::makeTicket(request, m_nextNumber++);
    m_waiting.emplace(ticket, std::move(wake));
    return ticket;
}

void WaitQueue::remove(const Ticket& ticket)
{
    m_waiting.erase(ticket);
}

bool WaitQueue::wakeFirst()
{
    if (m_waiting.empty())
        return false;
    const std::function<void()> wake = std::move(m_waiting.begin()->second);
    m_waiting.erase(m_waiting.begin());
    wake();
    return true;
}

} // namespace orioletrail
