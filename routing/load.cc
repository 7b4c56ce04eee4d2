#include "routing/load.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Ten times the interval at which instances send their counts.
    constexpr Millis peerCountsHold { 1000 };
    // About the time that a streamed answer takes; then none of the reported requests is left.
    constexpr Millis reportHold { 2000 };

    uint32_t countIn(const InFlightCounts& counts, std::string_view endpoint)
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

void LoadTable::onReported(std::string_view endpoint, uint32_t held, TimePoint now)
{
    const double others = std::max(0.0, static_cast<double>(held) - own(endpoint));
    m_reports.insert_or_assign(std::string(endpoint), Report { others, now });
}

uint32_t LoadTable::own(std::string_view endpoint) const
{
    return detail::countIn(m_own, endpoint);
}

size_t LoadTable::livePeers(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(),
        [&](const auto& peer) { return now - peer.second.heard <= detail::peerCountsHold; }));
}

double LoadTable::estimate(std::string_view endpoint, TimePoint now) const
{
    double total = own(endpoint);
    bool heard = false;
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.heard > detail::peerCountsHold)
            continue;
        heard = true;
        total += detail::countIn(peer.counts, endpoint);
    }
    const auto report = m_reports.find(endpoint);
    if (!heard && report != m_reports.end() && now - report->second.received <= detail::reportHold)
        total += report->second.others;
    return total;
}

void LoadTable::forget(std::string_view endpoint)
{
    const auto report = m_reports.find(endpoint);
    if (report != m_reports.end())
        m_reports.erase(report);
}

} // namespace orioletrail
