// Finds the requests that were running when an endpoint crashed and may have caused the crash.
#pragma once

#include "base/types.h"

#include <deque>

namespace orioletrail {

// A lost connection alone does not prove a crash, since the network loses connections too. Lost
// requests become suspects only once the endpoint's process is known to have ended. All requests
// that it was running are then suspects, because the one at fault can't be told apart; the others
// are cleared when they complete at another endpoint.
class CrashEvidence {
public:
    // An attempt that was lost before its answer was complete.
    struct LostRequest {
        std::string endpoint;
        // Hash of the endpoint and the start of its process.
        uint64_t process = 0;
        // Identifies the request's content.
        std::string digest;
        TimePoint sentAt;
        TimePoint lostAt;
    };

    void onLost(LostRequest);

    // The endpoint's process has ended. Returns and removes its recently lost requests, sorted by digest,
    // and for each digest the one that was sent last.
    std::vector<LostRequest> onEnded(std::string_view endpoint, TimePoint);

    // Number of lost requests on record.
    size_t size() const { return m_lost.size(); }

private:
    std::deque<LostRequest> m_lost;
};

} // namespace orioletrail
