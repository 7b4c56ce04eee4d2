#include "routing/load.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Counts of peers older than this are ignored: 2.5 times the interval at which they are sent. The requests of
    // a peer that has ended end with it, and no endpoint with room may stay closed for longer than 300 ms.
    constexpr Millis peerCountsMaxAge { 250 };
    // Peers that have not been heard for this long are not counted as live: ten intervals.
    constexpr Millis livePeerMaxAge { 1000 };
    // Reports of endpoints older than this are ignored. It is about the duration of a streamed
    // answer, so the reported requests have ended by then.
    constexpr Millis reportMaxAge { 2000 };

    uint32_t countOf(const InFlightCounts& counts, std::string_view endpoint)
    {
        const auto found = counts.find(endpoint);
        return found == counts.end() ? 0 : found->second;
    }

} // namespace detail

void LoadTable::onSent(std::string_view endpoint)
{
    const auto found = m_own.find(endpoint);
    if (found == m_own.end())
        m_own.emplace(std::string(endpoint), 1);
    else
        ++found->second;
}

void LoadTable::onEnded(std::string_view endpoint)
{
    const auto found = m_own.find(endpoint);
    if (found != m_own.end() && !--found->second)
        m_own.erase(found);
}

void LoadTable::onPeerCounts(std::string_view peer, InFlightCounts counts, TimePoint now)
{
    m_peers.insert_or_assign(std::string(peer), PeerCounts { std::move(counts), now });
}

void LoadTable::onReported(std::string_view endpoint, uint32_t inFlight, TimePoint now)
{
    const double others = std::max(0.0, static_cast<double>(inFlight) - ownCount(endpoint));
    m_reports.insert_or_assign(std::string(endpoint), Report { others, now });
}

uint32_t LoadTable::ownCount(std::string_view endpoint) const
{
    return detail::countOf(m_own, endpoint);
}

size_t LoadTable::livePeerCount(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(),
        [&](const auto& peer) { return now - peer.second.received <= detail::livePeerMaxAge; }));
}

uint32_t LoadTable::peerCount(std::string_view endpoint, TimePoint now) const
{
    uint32_t total = 0;
    for (const auto& [name, peer] : m_peers)
        if (now - peer.received <= detail::peerCountsMaxAge)
            total += detail::countOf(peer.counts, endpoint);
    return total;
}

Millis LoadTable::countsAge(TimePoint now) const
{
    Millis oldest { 0 };
    for (const auto& [name, peer] : m_peers)
        if (const auto age = std::chrono::duration_cast<Millis>(now - peer.received); age <= detail::peerCountsMaxAge)
            oldest = std::max(oldest, age);
    return oldest;
}

double LoadTable::estimate(std::string_view endpoint, TimePoint now) const
{
    double total = ownCount(endpoint);
    bool hasPeerCounts = false;
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.received > detail::peerCountsMaxAge)
            continue;
        hasPeerCounts = true;
        total += detail::countOf(peer.counts, endpoint);
    }
    const auto report = m_reports.find(endpoint);
    if (!hasPeerCounts && report != m_reports.end() && now - report->second.received <= detail::reportMaxAge)
        total += report->second.others;
    return total;
}

void LoadTable::removeEndpoint(std::string_view endpoint)
{
    const auto report = m_reports.find(endpoint);
    if (report != m_reports.end())
        m_reports.erase(report);
}

} // namespace orioletrail
