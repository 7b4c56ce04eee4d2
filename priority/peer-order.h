// The requests that wait at other entries, and the position of a request among them.
#pragma once

#include "priority/report.h"

#include <optional>

namespace orioletrail {

class PeerOrder {
public:
    // A request that waits at another entry.
    struct Waiting {
        std::string peer;
        Urgency urgency = 0;
        TimePoint since;
    };

    // Replaces what waits at the peer; valid for a second.
    void onPeer(std::string_view peer, const std::map<Urgency, WaitingRow>&, TimePoint);

    // A place was granted to the peer for a request of the urgency, or that grant has ended. Granted requests
    // count as no longer waiting, although the peer's next report may still hold them.
    void onGranted(std::string_view peer, Urgency);
    void onGrantEnded(std::string_view peer, Urgency);

    // Estimated number of requests at other entries that come before one of the urgency that has waited since
    // the time. Of each report only the age of the oldest is known; the others count as spread evenly.
    double ahead(Urgency, TimePoint since, TimePoint now) const;

    // The request at the position in the order of the other entries, or nothing if fewer wait.
    std::optional<Waiting> at(size_t position, TimePoint) const;

    size_t livePeers(TimePoint) const;

private:
    struct Row {
        uint32_t count = 0;
        TimePoint oldest;
    };

    struct Peer {
        std::map<Urgency, Row> rows;
        std::map<Urgency, uint32_t> granted;
        TimePoint received;
    };

    // Requests of the row for which no grant is under way.
    static uint32_t ungranted(const Peer&, Urgency, const Row&);

    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace orioletrail
