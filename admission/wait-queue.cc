#include "admission/wait-queue.h"

#include <algorithm>
#include <cmath>

namespace orioletrail {

namespace detail {

    // Time constant of the rate at which places become free; a second holds some ten of them.
    constexpr double rateSeconds = 1.0;
    // Bounds the expected wait where nothing is known of the service.
    constexpr double leastRate = 1.0;
    // Share of the time until a request would be late that it may wait. Under overload all wait for
    // as long as they may, and first bytes vary by some times their usual time.
    constexpr double waitShare = 0.3;
    // A caller that is told to come back waits at least for one round trip, and no longer than
    // callers honour.
    constexpr Millis leastRetryAfter { 100 };
    constexpr Millis mostRetryAfter { 2000 };

    WaitQueue::Ticket ticketOf(const WaitRequest& request, uint64_t number)
    {
        return { { request.returned ? 0 : 1, request.priority }, number };
    }

} // namespace detail

void WaitQueue::onPlaceFreed(TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastFreed).count();
    m_freed = m_freed * std::exp(-elapsed / detail::rateSeconds) + 1 / detail::rateSeconds;
    m_lastFreed = now;
}

double WaitQueue::freedPerSecond(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_lastFreed).count();
    return m_freed * std::exp(-elapsed / detail::rateSeconds);
}

Millis WaitQueue::expectedWait(const Ticket& ticket, double freedPerSecond) const
{
    const auto ahead = std::distance(m_waiting.begin(), m_waiting.lower_bound(ticket));
    constexpr double millisPerSecond = 1000;
    return Millis(static_cast<Millis::rep>(millisPerSecond * static_cast<double>(ahead + 1) / freedPerSecond));
}

Millis WaitQueue::longestWait(const WaitRequest& request)
{
    const Millis inTime = request.untilLate - request.firstByte;
    return std::max(Millis(0), Millis(static_cast<Millis::rep>(detail::waitShare * static_cast<double>(inTime.count()))));
}

WaitDecision WaitQueue::decide(const WaitRequest& request, TimePoint now) const
{
    const double rate = std::max({ detail::leastRate, request.shareOfPlaces, freedPerSecond(now) });
    const Millis wait = expectedWait(detail::ticketOf(request, m_next), rate);
    WaitDecision decision;
    decision.mayWait = wait <= longestWait(request);
    const Millis drained = expectedWait({ { 2, 0 }, m_next }, rate);
    decision.retryAfter = std::clamp(drained, detail::leastRetryAfter, detail::mostRetryAfter);
    return decision;
}

WaitQueue::Ticket WaitQueue::push(const WaitRequest& request, std::function<void()> wake)
{
    const Ticket ticket = detail::ticketOf(request, m_next++);
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
