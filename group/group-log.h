// Metrics and log lines on the groups of engines.
#pragma once

#include "group/group-balance.h"
#include "telemetry/metrics.h"

namespace orioletrail {

// Publishes what an entry knows of the groups.
class GroupLog {
public:
    static constexpr Millis interval { 1000 };

    // True once in each interval.
    bool isDue(TimePoint);

    // Sets the gauges of all groups and logs each that is new, has another state or is not known any more.
    void update(std::span<const GroupView>, Metrics&);

private:
    TimePoint m_updated;
    // State by group.
    std::map<std::string, GroupState> m_states;
};

} // namespace orioletrail
