#include "direct/live-peers.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Five missed status messages.
    constexpr Millis peerTimeout { 500 };

} // namespace detail

void LivePeers::onStatus(const InstanceProcess& peer, bool isStopping, TimePoint now)
{
    m_peers.insert_or_assign(peer.instance, LastStatus { now, peer.incarnation, isStopping });
}

std::optional<InstanceProcess> LivePeers::firstLivePeer(TimePoint now) const
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) { return !peer.second.isStopping && now - peer.second.receivedAt < detail::peerTimeout; });
    return found == m_peers.end() ? std::nullopt : std::optional(InstanceProcess { found->first, found->second.incarnation });
}

bool LivePeers::isPreferredLeader(std::string_view instance, TimePoint now) const
{
    const auto other = firstLivePeer(now);
    return !other || instance < other->instance;
}

} // namespace orioletrail
