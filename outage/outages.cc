#include "outage/outages.h"

#include "base/digest.h"

#include <algorithm>

namespace orioletrail {

bool Outages::isActive(const Outage& outage, TimePoint now) const
{
    return outage.failed() > outage.served() && now - outage.failed() < m_settings.expiry;
}

bool Outages::onFailed(std::string_view group, TimePoint sent, TimePoint now)
{
    removeExpired(now);
    const auto found = m_outages.find(group);
    if (found == m_outages.end()) {
        m_outages.emplace(std::string(group), Outage { now, {}, {}, {}, now + m_settings.probeInterval });
        return true;
    }
    Outage& outage = found->second;
    // A request that was sent before the group served again says nothing about its present state.
    if (sent <= outage.served())
        return false;
    const bool isNew = !isActive(outage, now);
    outage.ownFailed = now;
    if (isNew)
        outage.nextProbe = now + m_settings.probeInterval;
    return isNew;
}

bool Outages::onRejected(std::string_view group, std::string_view endpoint, TimePoint sent, TimePoint now)
{
    std::erase_if(m_rejections, [&](const auto& item) { return now - item.second.at >= m_settings.confirmWithin; });
    const auto known = m_outages.find(group);
    const auto earlier = m_rejections.find(group);
    const bool isConfirmed = (known != m_outages.end() && isActive(known->second, now)) || (earlier != m_rejections.end() && earlier->second.endpoint != endpoint);
    m_rejections.insert_or_assign(std::string(group), Rejection { std::string(endpoint), now });
    return isConfirmed && onFailed(group, sent, now);
}

bool Outages::onServed(std::string_view group, TimePoint sent, TimePoint now)
{
    if (const auto rejection = m_rejections.find(group); rejection != m_rejections.end())
        m_rejections.erase(rejection);
    const auto found = m_outages.find(group);
    // An answer to a request that was sent before the failure may still be on its way.
    if (found == m_outages.end() || !isActive(found->second, now) || sent < found->second.failed())
        return false;
    found->second.ownServed = now;
    return true;
}

void Outages::onSent(std::string_view group, TimePoint now)
{
    const auto found = m_outages.find(group);
    if (found != m_outages.end() && isActive(found->second, now))
        found->second.nextProbe = now + m_settings.probeInterval;
}

bool Outages::isOut(std::string_view group, TimePoint now) const
{
    const auto found = m_outages.find(group);
    if (found == m_outages.end() || !isActive(found->second, now))
        return false;
    return now < found->second.nextProbe || !isProber(group, now);
}

bool Outages::isProber(std::string_view group, TimePoint now) const
{
    const uint64_t own = rendezvousScore(group, m_instance);
    const auto isBefore = [&](const auto& peer) { return now - peer.second < m_settings.reportMaxAge && rendezvousScore(group, peer.first) > own; };
    return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), isBefore)) < m_settings.probers;
}

OutageReports Outages::report(TimePoint now) const
{
    OutageReports reports;
    const auto ageOf = [&](TimePoint time) {
        const bool isRecent = time > TimePoint() && now - time < m_settings.reportMaxAge;
        return isRecent ? std::optional(std::chrono::duration_cast<Millis>(now - time)) : std::nullopt;
    };
    for (const auto& [group, outage] : m_outages) {
        const OutageReport report { ageOf(outage.ownFailed), ageOf(outage.ownServed) };
        if (report != OutageReport {})
            reports.emplace(group, report);
    }
    return reports;
}

void Outages::onPeerReport(std::string_view peer, const OutageReports& reports, TimePoint now)
{
    if (const auto known = m_peers.find(peer); known != m_peers.end())
        known->second = now;
    else
        m_peers.emplace(std::string(peer), now);
    std::erase_if(m_peers, [&](const auto& item) { return now - item.second >= m_settings.expiry; });
    removeExpired(now);
    for (const auto& [group, report] : reports) {
        auto found = m_outages.find(group);
        if (found == m_outages.end()) {
            if (!report.failedAgo || m_outages.size() >= m_settings.maxGroups)
                continue;
            found = m_outages.emplace(group, Outage { {}, {}, {}, {}, now + m_settings.probeInterval }).first;
        }
        Outage& outage = found->second;
        if (report.failedAgo && *report.failedAgo < m_settings.reportMaxAge)
            outage.peerFailed = std::max(outage.peerFailed, now - *report.failedAgo - m_settings.reportDelay);
        if (report.servedAgo && *report.servedAgo < m_settings.reportMaxAge)
            outage.peerServed = std::max(outage.peerServed, now - *report.servedAgo);
    }
}

size_t Outages::count(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_outages.begin(), m_outages.end(), [&](const auto& item) { return isActive(item.second, now); }));
}

void Outages::removeExpired(TimePoint now)
{
    std::erase_if(m_outages, [&](const auto& item) { return now - std::max(item.second.served(), item.second.failed()) >= m_settings.expiry; });
}

} // namespace orioletrail
