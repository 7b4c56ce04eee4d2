#include "admission/rate-limit.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Not less than twice the window of any rate.
    constexpr Millis sentRetention { 8000 };
    constexpr size_t maxReportedSent = 64;

} // namespace detail

size_t RateLimiter::countSince(const SentTimes& times, std::string_view endpoint, TimePoint since)
{
    const auto found = times.find(endpoint);
    if (found == times.end())
        return 0;
    return static_cast<size_t>(std::count_if(found->second.begin(), found->second.end(), [&](TimePoint sent) { return sent > since; }));
}

bool RateLimiter::allows(std::string_view endpoint, const Rate& rate, size_t instances, TimePoint now)
{
    constexpr double millisPerSecond = 1000;
    const double total = rate.perSecond * static_cast<double>(rate.window.count()) / millisPerSecond;
    const double share = total / static_cast<double>(std::max<size_t>(1, instances));
    // With less than one request for each instance, all of them could send one as soon as the window allows
    // the next, before they hear of each other's. So each one waits longer by another time.
    const auto window = share < 1 ? std::chrono::duration_cast<Millis>(rate.window * (1 + m_delay)) : rate.window;
    const size_t own = countSince(m_sent, endpoint, now - window);
    size_t all = own;
    for (const auto& [peer, sent] : m_peers)
        all += countSince(sent, endpoint, now - window);
    return static_cast<double>(own + 1) <= std::max(1.0, share) && static_cast<double>(all + 1) <= std::max(1.0, total);
}

double RateLimiter::drawDelay()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void RateLimiter::onSent(std::string_view endpoint, TimePoint now)
{
    auto found = m_sent.find(endpoint);
    if (found == m_sent.end())
        found = m_sent.try_emplace(std::string(endpoint)).first;
    std::deque<TimePoint>& sent = found->second;
    sent.push_back(now);
    m_delay = drawDelay();
    while (sent.front() + detail::sentRetention <= now)
        sent.pop_front();
}

void RateLimiter::onCancelled(std::string_view endpoint)
{
    const auto found = m_sent.find(endpoint);
    if (found != m_sent.end() && !found->second.empty())
        found->second.pop_back();
}

void RateLimiter::onPeerSent(std::string_view peer, const SentAges& ages, TimePoint now)
{
    SentTimes sent;
    for (const auto& [endpoint, list] : ages)
        for (const Millis age : list)
            if (age < detail::sentRetention)
                sent[endpoint].push_back(now - age);
    if (sent.empty())
        m_peers.erase(std::string(peer));
    else
        m_peers.insert_or_assign(std::string(peer), std::move(sent));
}

SentAges RateLimiter::sentAges(TimePoint now) const
{
    SentAges ages;
    for (const auto& [endpoint, sent] : m_sent) {
        std::vector<Millis> list;
        for (auto time = sent.rbegin(); time != sent.rend() && now - *time < detail::sentRetention && list.size() < detail::maxReportedSent; ++time)
            list.push_back(std::chrono::duration_cast<Millis>(now - *time));
        if (!list.empty())
            ages.emplace(endpoint, std::move(list));
    }
    return ages;
}

void RateLimiter::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_sent.find(endpoint);
    if (found != m_sent.end())
        m_sent.erase(found);
}

} // namespace orioletrail
