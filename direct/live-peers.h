// Tracks which other entries are alive and decides which entry should lead the expert maps next.
#pragma once

#include "direct/handover.h"

#include <map>

namespace orioletrail {

// Entries agree on the next leader without an election: it is the one with the smallest name among
// those that are alive and not stopping. A stopping entry still sends its status for some seconds.
class LivePeers {
public:
    // A status message of another entry was received.
    void onStatus(const InstanceProcess&, bool isStopping, TimePoint);

    // The peer with the smallest name that is alive and not stopping.
    std::optional<InstanceProcess> firstLivePeer(TimePoint) const;

    // True if `instance`, which is this entry, sorts before all peers that are alive and not
    // stopping.
    bool isPreferredLeader(std::string_view instance, TimePoint) const;

private:
    struct LastStatus {
        TimePoint receivedAt;
        uint64_t incarnation = 0;
        bool isStopping = false;
    };

    std::map<std::string, LastStatus, std::less<>> m_peers;
};

} // namespace orioletrail
