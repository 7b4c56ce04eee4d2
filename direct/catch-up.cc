#include "direct/catch-up.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Ten times the interval at which entries send their status.
    constexpr Millis peerMaxAge { 1000 };
    // An entry that hears no other that answers requests for this long, after it has learnt of them or after
    // its start, answers without them: they may all have stopped. The former leaves time for three messages.
    constexpr Millis maxWaitForPeers { 400 };
    constexpr Millis maxWaitForList { 1000 };
    // How long an entry that knows that it is behind waits for the newer version.
    constexpr Millis maxWaitForVersion { 3000 };
    // The store reports a new version to all entries within this time of each other.
    constexpr Millis watchSpread { 300 };
    // Operators close a zone again within this time after the store has come back from an older copy.
    constexpr Millis closedZoneGrace { 4000 };

} // namespace detail

void CatchUp::onJoined(std::set<std::string, std::less<>> others, TimePoint now)
{
    m_others = std::move(others);
    m_joinedAt = now;
}

bool CatchUp::hasHeardAll() const
{
    return std::all_of(m_others.begin(), m_others.end(), [this](const std::string& name) { return m_peers.contains(name); });
}

void CatchUp::onPeer(std::string_view instance, std::string_view address, uint64_t version, std::set<std::string, std::less<>> closedZones, TimePoint now)
{
    m_peers.insert_or_assign(std::string(instance), Peer { std::string(address), version, std::move(closedZones), now });
}

const CatchUp::Peer* CatchUp::newestPeer(TimePoint now) const
{
    const Peer* newest = nullptr;
    for (const auto& [instance, peer] : m_peers)
        if (peer.version && now - peer.received < detail::peerMaxAge && (!newest || peer.version > newest->version))
            newest = &peer;
    return newest;
}

bool CatchUp::hasWaitedForPeers(TimePoint now) const
{
    return now - m_started >= detail::maxWaitForList || (m_joinedAt && (hasHeardAll() || now - *m_joinedAt >= detail::maxWaitForPeers));
}

bool CatchUp::isReady(uint64_t version, TimePoint now)
{
    if (m_isReady || !version)
        return m_isReady;
    const Peer* newest = newestPeer(now);
    const auto running = now - m_started;
    if (newest)
        m_isReady = newest->version <= version || running >= detail::maxWaitForVersion;
    else
        m_isReady = hasWaitedForPeers(now);
    return m_isReady;
}

std::optional<std::string> CatchUp::fetchSource(uint64_t version, TimePoint now)
{
    const Peer* newest = newestPeer(now);
    if (!newest || newest->version <= version) {
        m_behindSince.reset();
        return std::nullopt;
    }
    m_behindSince = m_behindSince.value_or(now);
    if (m_isFetching || (m_isReady && now - *m_behindSince < detail::watchSpread))
        return std::nullopt;
    m_isFetching = true;
    return newest->address;
}

std::set<std::string, std::less<>> CatchUp::closedZones(TimePoint now) const
{
    std::set<std::string, std::less<>> zones;
    if (now - m_started >= detail::closedZoneGrace)
        return zones;
    for (const auto& [instance, peer] : m_peers)
        if (now - peer.received < detail::peerMaxAge)
            zones.insert(peer.closedZones.begin(), peer.closedZones.end());
    return zones;
}

} // namespace orioletrail
