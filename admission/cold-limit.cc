#include "admission/cold-limit.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Rates of cold endpoints are stated per second.
    constexpr Millis rateWindow { 1000 };

} // namespace detail

bool ColdRateLimiter::allows(std::string_view endpoint, double perSecond, size_t instances, TimePoint now)
{
    const auto found = m_sent.find(endpoint);
    if (found == m_sent.end())
        return true;
    std::deque<TimePoint>& sent = found->second;
    while (!sent.empty() && sent.front() + detail::rateWindow <= now)
        sent.pop_front();
    const double share = perSecond / static_cast<double>(std::max<size_t>(1, instances));
    return static_cast<double>(sent.size() + 1) <= std::max(1.0, share);
}

void ColdRateLimiter::onSent(std::string_view endpoint, TimePoint now)
{
    auto found = m_sent.find(endpoint);
    if (found == m_sent.end())
        found = m_sent.try_emplace(std::string(endpoint)).first;
    std::deque<TimePoint>& sent = found->second;
    sent.push_back(now);
    while (sent.front() + detail::rateWindow <= now)
        sent.pop_front();
}

void ColdRateLimiter::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_sent.find(endpoint);
    if (found != m_sent.end())
        m_sent.erase(found);
}

} // namespace orioletrail
