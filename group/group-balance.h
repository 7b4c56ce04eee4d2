// Chooses among the groups of engines of one service, and limits the streams of each.
#pragma once

#include "admission/pace-limit.h"
#include "group/group-table.h"
#include "group/shares.h"

namespace orioletrail {

// Load and state of one group.
struct GroupLoad {
    std::string name;
    GroupState state = GroupState::Open;
    // Cost of a stream that the expert map alone explains, relative to an even load; 0 if unknown.
    double mapCost = 0;
    double endpoints = 0;
    // Streams that its endpoints take at most.
    double limit = 0;
    // Streams in flight, of all instances and of this one.
    double streams = 0;
    double own = 0;
    // Differs between instances, so that not all of them start with the same group; 0 to 1.
    double preference = 0;
};

// What is known of a group, for metrics and logs.
struct GroupView {
    GroupLoad load;
    // Share of the service's streams that the group should have.
    double share = 0;
    double predictedGapMs = 0;
    // Moving average, 0 if none was measured.
    double measuredGapMs = 0;
    // Most streams within the objective of the gaps.
    double capacity = 0;
};

// Addresses a service whose groups differ in speed, in the unevenness of their expert maps or in the ranks that run:
// an instance sends each request to the group that lacks most to its share. The share is computed from the load of all
// instances, which is known late; what the instance itself has at each group it knows at once. Therefore instances do
// not all choose the same group between two reports.
class GroupBalance {
public:
    // Replaces the cost model of a group.
    void setProfile(const std::string& group, const PaceProfile&);

    // A gap between two events of a stream at the group, while its endpoints had `streamsPerEndpoint` on average.
    void onEventGap(const std::string& group, double gapMs, double streamsPerEndpoint, TimePoint);

    // The groups that may get requests, as indices, in the order in which a request should try them.
    std::vector<size_t> order(std::span<const GroupLoad>, TimePoint) const;

    // True if one more stream would exceed the group's limit.
    bool isFull(const GroupLoad&) const;

    // A request was placed at this group.
    void onPlaced(const std::string& group);

    // Most streams per endpoint of the group.
    double maxStreamsPerEndpoint(const std::string& group) const;

    // Streams that the group can handle in its present state.
    double capacityOf(const GroupLoad&) const;

    std::vector<GroupView> view(std::span<const GroupLoad>, TimePoint) const;

    // The cost model of the group, or null if none has been set.
    const PaceProfile* profileOf(const std::string& group) const;

    // Drops all groups that are not among these.
    void keepOnly(std::span<const GroupLoad>);

private:
    struct Group {
        PaceLimit pace;
        PaceProfile profile;
        double measuredGapMs = 0;
        // Mean of the measured cost of a stream, over a longer time than the pace limit's.
        double cost = 0;
        TimePoint firstGap;
        TimePoint lastGap;
        // Requests placed there, where earlier ones count less. It decides for instances that have too few streams to
        // express a share.
        double placed = 0;
    };

    const Group* find(const std::string& name) const;
    GroupPass passOf(const GroupLoad&, TimePoint) const;
    std::vector<double> sharesOf(std::span<const GroupLoad>, TimePoint) const;
    double placedAt(const GroupLoad&) const;

    std::map<std::string, Group> m_groups;
};

} // namespace orioletrail
