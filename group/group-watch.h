// The groups of engines as their ranks report them to the leader of the expert maps.
#pragma once

#include "group/group-table.h"

#include <optional>
#include <set>

namespace orioletrail {

// A rank's report of its group.
struct RankObservation {
    std::string group;
    std::string service;
    // Number of ranks of the group.
    uint32_t groupSize = 0;
    uint32_t rank = 0;
    uint64_t epoch = 0;
    // False while the group is broken.
    bool open = false;
    // The rank holds the group at a pass.
    bool held = false;
    // Endpoint that is the rank and the start of its process; empty if the report came through a sidecar.
    std::string endpoint {};
    uint64_t processStartMs = 0;
};

// Collects the reports of the ranks and determines what the leader sends to other entries, and when. Addresses that
// reports arrive one by one: a leader that has just started would otherwise report groups that seem to lack ranks.
class GroupWatch {
public:
    // Time between two messages with the same content.
    static constexpr Millis interval { 1000 };
    // A new leader reports nothing before all groups that it knows are complete, or this time has passed: several
    // rounds of reports from the engines.
    static constexpr Millis startTime { 3000 };
    // Shorter holds are part of each change of a map and are not reported.
    static constexpr Millis longHold { 300 };
    // Size of the reports in one message. If all groups are larger, they take turns.
    static constexpr size_t messageBytes = 20'000;

    // This process now leads: what it knew from an earlier leadership is dropped.
    void startLeading(TimePoint);
    void onRank(const RankObservation&, TimePoint);
    // The map of the group is or is not being changed, and its unevenness; 0 if that is unknown.
    void onMap(const std::string& group, bool isChanging, double unevenness);

    // True if a new leader has heard enough to report.
    bool isReady(TimePoint);

    // The groups to send to other entries now: all at first, then on a change and at each interval.
    std::vector<GroupReport> due(TimePoint);
    // All groups as they are known now.
    std::vector<GroupReport> reports(TimePoint) const;

private:
    struct Rank {
        uint64_t epoch = 0;
        bool open = false;
        std::optional<TimePoint> heldSince;
        GroupMember member;
    };

    struct Group {
        std::string service;
        uint32_t size = 0;
        uint64_t epoch = 0;
        bool isChanging = false;
        double mapUnevenness = 0;
        std::map<uint32_t, Rank> ranks;
    };

    static GroupState stateOf(const Group&, TimePoint);
    // True if the endpoint of each rank is known.
    static bool isComplete(const Group&);

    std::map<std::string, Group> m_groups;
    TimePoint m_started;
    bool m_isReady = false;
    // The last reports that were sent, without the unevenness, which changes all the time.
    std::vector<GroupReport> m_sent;
    TimePoint m_sentAt;
    // Index of the group that is first in the next message.
    size_t m_next = 0;
};

} // namespace orioletrail
