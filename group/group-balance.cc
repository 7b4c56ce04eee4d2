#include "group/group-balance.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace orioletrail {

namespace detail {

    // The map's unevenness is used while no gap has been measured for this long.
    constexpr Millis measuredFor { 5000 };
    // Weight of earlier placements after each new one: about the last five count.
    constexpr double placedWeight = 0.8;
    constexpr double gapWeight = 0.02;
    // Time constant of the costs that shares are computed from. With the pace limit's, of a second, the load of a group
    // with few streams changed by up to 0.4 of itself in a second.
    constexpr double costSeconds = 5;

    double secondsBetween(TimePoint from, TimePoint to)
    {
        return std::chrono::duration<double>(to - from).count();
    }

} // namespace detail

const GroupBalance::Group* GroupBalance::find(const std::string& name) const
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : &found->second;
}

const PaceProfile* GroupBalance::profileOf(const std::string& name) const
{
    const Group* group = find(name);
    return group ? &group->profile : nullptr;
}

void GroupBalance::setProfile(const std::string& name, const PaceProfile& profile)
{
    m_groups[name].profile = profile;
}

void GroupBalance::onEventGap(const std::string& name, double gapMs, double streamsPerEndpoint, TimePoint now)
{
    Group& group = m_groups[name];
    group.pace.onEventGap(gapMs, streamsPerEndpoint, group.profile, now);
    if (group.cost <= 0 || detail::secondsBetween(group.lastGap, now) > detail::costSeconds) {
        group.cost = group.pace.unevenness();
        group.firstGap = now;
    }
    // A plain mean until the time constant has passed.
    const double window = std::clamp(detail::secondsBetween(group.firstGap, now), 0.1, detail::costSeconds);
    group.cost += (1 - std::exp(-detail::secondsBetween(group.lastGap, now) / window)) * (group.pace.unevenness() - group.cost);
    group.lastGap = now;
    group.measuredGapMs = group.measuredGapMs > 0 ? group.measuredGapMs + detail::gapWeight * (gapMs - group.measuredGapMs) : gapMs;
}

double GroupBalance::maxStreamsPerEndpoint(const std::string& name) const
{
    const Group* group = find(name);
    return group ? group->pace.maxStreamsPerEndpoint(group->profile) : std::numeric_limits<double>::max();
}

double GroupBalance::capacityOf(const GroupLoad& load) const
{
    if (load.state == GroupState::Forming)
        return 0;
    const double capacity = std::min(load.limit, load.endpoints * maxStreamsPerEndpoint(load.name));
    // A held group ends no streams, so it gets no more than it has.
    return load.state == GroupState::Held ? std::min(capacity, load.streams) : capacity;
}

bool GroupBalance::isFull(const GroupLoad& load) const
{
    return load.streams + 1 > load.endpoints * maxStreamsPerEndpoint(load.name);
}

GroupPass GroupBalance::passOf(const GroupLoad& load, TimePoint now) const
{
    const Group* group = find(load.name);
    if (!group)
        return { 0, 0, load.endpoints, capacityOf(load) };
    const PaceProfile& profile = group->profile;
    const bool isMeasured = now - group->pace.lastGap() <= detail::measuredFor;
    const double cost = isMeasured || load.mapCost <= 0 ? (group->cost > 0 ? group->cost : group->pace.unevenness()) : std::max(1.0, load.mapCost);
    return { profile.stepsPerPass * profile.stepMs * std::max(1.0, profile.slowestFactor), profile.stepsPerPass * profile.perStreamMs * cost, load.endpoints, capacityOf(load) };
}

std::vector<double> GroupBalance::sharesOf(std::span<const GroupLoad> loads, TimePoint now) const
{
    std::vector<GroupPass> passes;
    double streams = 1;
    for (const GroupLoad& load : loads) {
        passes.push_back(passOf(load, now));
        if (load.state != GroupState::Forming)
            streams += load.streams;
    }
    return groupShares(passes, streams);
}

double GroupBalance::placedAt(const GroupLoad& load) const
{
    const Group* group = find(load.name);
    return load.preference + (group ? group->placed : 0);
}

std::vector<size_t> GroupBalance::order(std::span<const GroupLoad> loads, TimePoint now) const
{
    const std::vector<double> shares = sharesOf(loads, now);
    double total = 1;
    for (const GroupLoad& load : loads)
        if (load.state != GroupState::Forming)
            total += load.own + placedAt(load);
    std::vector<size_t> order;
    std::vector<double> lacking;
    for (size_t index = 0; index < loads.size(); ++index) {
        lacking.push_back(shares[index] * total - loads[index].own - placedAt(loads[index]));
        if (loads[index].state != GroupState::Forming && loads[index].endpoints > 0)
            order.push_back(index);
    }
    const auto isHeld = [&](size_t index) { return loads[index].state == GroupState::Held; };
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) { return isHeld(a) != isHeld(b) ? isHeld(b) : lacking[a] > lacking[b]; });
    return order;
}

void GroupBalance::onPlaced(const std::string& name)
{
    for (auto& [other, group] : m_groups)
        group.placed *= detail::placedWeight;
    ++m_groups[name].placed;
}

std::vector<GroupView> GroupBalance::view(std::span<const GroupLoad> loads, TimePoint now) const
{
    const std::vector<double> shares = sharesOf(loads, now);
    std::vector<GroupView> views;
    for (size_t index = 0; index < loads.size(); ++index) {
        const GroupLoad& load = loads[index];
        const GroupPass pass = passOf(load, now);
        const Group* group = find(load.name);
        views.push_back({ load, shares[index], pass.fixedMs + pass.perStreamMs * load.streams / std::max(1.0, load.endpoints), group ? group->measuredGapMs : 0, pass.capacity });
    }
    return views;
}

void GroupBalance::keepOnly(std::span<const GroupLoad> loads)
{
    std::erase_if(m_groups, [&](const auto& group) {
        return std::none_of(loads.begin(), loads.end(), [&](const GroupLoad& load) { return load.name == group.first; });
    });
}

} // namespace orioletrail
