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
    // The connection of a request was lost before the answer was complete. `digest` identifies the
    // request's content.
    void onLost(std::string_view endpoint, std::string_view digest, TimePoint);

    // The endpoint's process has ended. Returns and removes the digests of its recently lost
    // requests, sorted and without duplicates.
    std::vector<std::string> onEnded(std::string_view endpoint, TimePoint);

    // Number of lost requests on record.
    size_t size() const { return m_lost.size(); }

private:
    struct LostRequest {
        std::string endpoint;
        std::string digest;
        TimePoint lostAt;
    };

    std::deque<LostRequest> m_lost;
};

} // namespace orioletrail
