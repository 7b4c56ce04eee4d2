#include "direct/live-peers.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Five missed status messages.
    constexpr Millis peerTimeout { 500 };

} // namespace detail

void LivePeers::onStatus(const InstanceProcess& peer, bool isStopping, double processorShare, TimePoint now)
{
    m_peers.insert_or_assign(peer.instance, LastStatus { now, peer.incarnation, isStopping, processorShare });
}

LivePeers::PeersByName::const_iterator LivePeers::findNextLeader(TimePoint now) const
{
    auto best = m_peers.end();
    for (auto peer = m_peers.begin(); peer != m_peers.end(); ++peer) {
        const LastStatus& status = peer->second;
        if (!status.isStopping && now - status.receivedAt < detail::peerTimeout && (best == m_peers.end() || status.processorShare > best->second.processorShare))
            best = peer;
    }
    return best;
}

std::optional<InstanceProcess> LivePeers::nextLeader(TimePoint now) const
{
    const auto found = findNextLeader(now);
    return found == m_peers.end() ? std::nullopt : std::optional(InstanceProcess { found->first, found->second.incarnation });
}

bool LivePeers::isPreferredLeader(std::string_view instance, double processorShare, TimePoint now) const
{
    const auto other = findNextLeader(now);
    if (other == m_peers.end())
        return true;
    return processorShare > other->second.processorShare || (processorShare == other->second.processorShare && instance < other->first);
}

} // namespace orioletrail
