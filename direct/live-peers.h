// Which other entries are alive, and which entry comes first among them.
#pragma once

#include "direct/handover.h"

#include <map>

namespace orioletrail {

// Entries agree without messages on who leads next: the first by name of those that are alive and
// stay. One that is stopping still speaks for some seconds, but leads no more.
class LivePeers {
public:
    void onHeard(const InstanceRun&, bool isStopping, TimePoint);

    // The first by name of the others.
    std::optional<InstanceRun> first(TimePoint) const;

    // True if no other comes before this instance.
    bool isFirst(std::string_view instance, TimePoint) const;

private:
    struct Heard {
        TimePoint at;
        uint64_t run = 0;
        bool isStopping = false;
    };

    std::map<std::string, Heard, std::less<>> m_heard;
};

} // namespace orioletrail
