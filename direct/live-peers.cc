#include "direct/live-peers.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Some missed rounds of status messages.
    constexpr Millis peerAlive { 500 };

} // namespace detail

void LivePeers::onHeard(const InstanceRun& peer, bool isStopping, TimePoint now)
{
    m_heard.insert_or_assign(peer.instance, Heard { now, peer.run, isStopping });
}

std::optional<InstanceRun> LivePeers::first(TimePoint now) const
{
    const auto found = std::find_if(m_heard.begin(), m_heard.end(), [&](const auto& peer) { return !peer.second.isStopping && now - peer.second.at < detail::peerAlive; });
    return found == m_heard.end() ? std::nullopt : std::optional(InstanceRun { found->first, found->second.run });
}

bool LivePeers::isFirst(std::string_view instance, TimePoint now) const
{
    const auto other = first(now);
    return !other || instance < other->instance;
}

} // namespace orioletrail
