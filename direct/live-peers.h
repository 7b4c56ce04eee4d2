// Tracks which other entries are alive and decides which entry should lead the expert maps next.
#pragma once

#include "direct/handover.h"

#include <map>

namespace orioletrail {

// Entries agree on the next leader without an election: of those that are alive and not stopping it is
// the one with the most processor time, and of equals the one with the smallest name. A stopping entry
// still sends its status for some seconds.
class LivePeers {
public:
    // A status message of another entry was received.
    // `processorShare` is the processor time per second that the peer may use, in cores.
    void onStatus(const InstanceProcess&, bool isStopping, double processorShare, TimePoint);

    // The peer that should lead next.
    std::optional<InstanceProcess> nextLeader(TimePoint) const;

    // True if `instance`, which is this entry, should lead before all peers.
    bool isPreferredLeader(std::string_view instance, double processorShare, TimePoint) const;

private:
    struct LastStatus {
        TimePoint receivedAt;
        uint64_t incarnation = 0;
        bool isStopping = false;
        double processorShare = 0;
    };

    using PeersByName = std::map<std::string, LastStatus, std::less<>>;

    PeersByName::const_iterator findNextLeader(TimePoint) const;

    PeersByName m_peers;
};

} // namespace orioletrail
