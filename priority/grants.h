// Places that were passed on to other entries and are not known to be used yet.
#pragma once

#include "priority/report.h"

#include <optional>

namespace orioletrail {

class Grants {
public:
    struct Held {
        std::string peer;
        Grant grant;
        Urgency urgency = 0;
        TimePoint made;
    };

    // Makes an offer to the peer. The place counts as used until the offer has ended.
    AddressedGrant offer(std::string_view peer, std::string_view service, std::string_view endpoint, Urgency, TimePoint);

    // Ends the offer that the peer answers; nothing if it has expired.
    std::optional<Held> onAnswer(std::string_view peer, const Grant& answer);

    // Ends the offers that were not answered in time.
    std::vector<Held> expire(TimePoint);

    size_t size() const { return m_held.size(); }

private:
    std::map<uint64_t, Held> m_held;
    uint64_t m_nextId = 1;
};

// Recognizes that this process was paused: offers that arrive right after a pause may have expired.
class PauseDetector {
public:
    // Called at least every `maxGap` / 2 while the process runs.
    void onActive(TimePoint);
    bool hasJustResumed(TimePoint) const;

private:
    TimePoint m_active;
    std::optional<TimePoint> m_resumed;
};

} // namespace orioletrail
