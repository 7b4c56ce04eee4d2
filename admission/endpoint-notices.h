// Keeps what endpoints announce in their answers about taking further requests of this instance.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// A notice holds for the process that gave it: an endpoint that has restarted takes requests again. Later
// answers do not withdraw one.
class EndpointNotices {
public:
    // The endpoint is leaving and takes no new requests. Returns whether that is new.
    bool onLeaving(std::string_view endpoint, uint64_t process);

    // The endpoint takes no requests until `end`; the latest end counts.
    void onPause(std::string_view endpoint, uint64_t process, TimePoint end);

    bool isLeaving(std::string_view endpoint, uint64_t process) const;

    // Time until the endpoint takes requests again, 0 if it does.
    Millis pauseLeft(std::string_view endpoint, uint64_t process, TimePoint now) const;

    // Drops the notices of an endpoint that is gone.
    void removeEndpoint(std::string_view endpoint);

private:
    struct Notice {
        uint64_t process = 0;
        bool isLeaving = false;
        TimePoint pauseEnd;
    };

    Notice& noticeOf(std::string_view endpoint, uint64_t process);
    // Null if the process has given none.
    const Notice* find(std::string_view endpoint, uint64_t process) const;

    std::map<std::string, Notice, std::less<>> m_notices;
};

} // namespace orioletrail
