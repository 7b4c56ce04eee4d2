// Tells requests that may have crashed an endpoint from those whose connection was merely lost.
#pragma once

#include "base/types.h"

#include <deque>

namespace orioletrail {

// A lost connection alone says little: networks lose them too, and all requests of a crashed
// endpoint are lost with the one at fault. It counts once it is known that the endpoint's process
// has ended, and then for each of the requests, since one that is innocent will complete elsewhere.
class CrashEvidence {
public:
    // The connection of a request was lost before its answer was whole.
    void onLost(std::string_view endpoint, std::string_view digest, TimePoint);

    // The endpoint's process has ended. Returns the digests of the requests that it held, each once.
    std::vector<std::string> onEnded(std::string_view endpoint, TimePoint);

    size_t size() const { return m_lost.size(); }

private:
    struct Lost {
        std::string endpoint;
        std::string digest;
        TimePoint at;
    };

    std::deque<Lost> m_lost;
};

} // namespace orioletrail
