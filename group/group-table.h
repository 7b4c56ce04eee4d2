// What an entry knows about the groups of engines: which endpoint is a rank of which group, and the state of each.
#pragma once

#include "base/types.h"

#include <map>
#include <span>

namespace orioletrail {

enum class GroupState : uint8_t {
    Open,
    // The ranks copy experts or switch to another map. The group runs passes.
    Changing,
    // The group has been held at a pass for so long that its streams get no events.
    Held,
    // Ranks are missing or have not joined the present epoch, so the group runs no passes.
    Forming,
    // Ranks take requests only at the rate of a cold endpoint. Known from the endpoint's record, never reported.
    Cold
};

// Name of the state in messages, metrics and logs. These names never change.
std::string_view groupStateName(GroupState);

// True if a group may have the name: it is a label of metrics, and comes from other processes.
bool isValidGroupName(std::string_view);

// An endpoint that is a rank of a group.
struct GroupMember {
    std::string endpoint;
    // Start of its process as in EndpointRecord, 0 if unknown.
    uint64_t processStartMs = 0;

    bool operator==(const GroupMember&) const = default;
};

// One group as the leader of the expert maps reports it.
struct GroupReport {
    std::string name;
    std::string service;
    // Rises each time the group is formed.
    uint64_t epoch = 0;
    GroupState state = GroupState::Open;
    // Expert load of the most loaded rank relative to the mean, 0 if unknown.
    double mapUnevenness = 0;
    std::vector<GroupMember> members {};

    bool operator==(const GroupReport&) const = default;
};

// The groups that the leader has reported. Addresses that an entry may hear from no leader, and that a leader may be
// replaced by one that has no reports yet: each group stays known for a time after it was last heard of.
class GroupTable {
public:
    // A group that was not reported for this long is unknown: ten reports.
    static constexpr Millis validity { 10'000 };
    // Two reports and a half.
    static constexpr Millis stateValidity { 2500 };

    // Takes in a report. It need not contain all groups. A group of an earlier epoch than the one known is ignored,
    // since two processes may lead for a moment.
    void onReport(std::vector<GroupReport>, TimePoint);

    // The group of the endpoint's process, or null if it belongs to none or its group is unknown. The result is valid
    // until the next onReport().
    const GroupReport* groupOf(std::string_view endpoint, uint64_t processStartMs, TimePoint) const;

    // The group of that name, or null if it is unknown.
    const GroupReport* find(const std::string& name, TimePoint) const;

    // State of a known group; Open if it is unknown. That it runs no passes holds for stateValidity only: the leader that
    // reported it may be gone, and the group may have been formed since.
    GroupState stateOf(const std::string& name, TimePoint) const;

    // True if at least two groups of the service are known. A service with one group is treated as a whole.
    bool isGrouped(std::string_view service, TimePoint) const;

private:
    struct KnownGroup {
        GroupReport report;
        TimePoint heard;
    };
    struct Membership {
        std::string group;
        uint64_t processStartMs = 0;
    };

    const KnownGroup* findValid(const std::string& name, TimePoint) const;

    std::map<std::string, KnownGroup> m_groups;
    // By endpoint.
    std::map<std::string, Membership, std::less<>> m_members;
};

} // namespace orioletrail
