#include "group/group-watch.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Groups and ranks beyond these are ignored: reports come from other processes.
    constexpr size_t maxGroups = 64;
    constexpr uint32_t maxRanks = 1024;
    // Bytes of a group and of a member in a message, besides their names.
    constexpr size_t groupBytes = 100;
    constexpr size_t memberBytes = 20;

    size_t bytesOf(const GroupReport& report)
    {
        size_t bytes = groupBytes + report.name.size() + report.service.size();
        for (const GroupMember& member : report.members)
            bytes += memberBytes + member.endpoint.size();
        return bytes;
    }

} // namespace detail

void GroupWatch::startLeading(TimePoint now)
{
    *this = GroupWatch();
    m_started = now;
}

void GroupWatch::onRank(const RankObservation& report, TimePoint now)
{
    if (!isValidGroupName(report.group) || report.rank >= report.groupSize || report.groupSize > detail::maxRanks || (m_groups.size() >= detail::maxGroups && !m_groups.contains(report.group)))
        return;
    Group& group = m_groups[report.group];
    if (group.size != report.groupSize)
        group = Group {};
    if (report.epoch < group.epoch)
        return;
    group.service = report.service;
    group.size = report.groupSize;
    group.epoch = report.epoch;
    Rank& rank = group.ranks[report.rank];
    rank.epoch = report.epoch;
    rank.open = report.open;
    if (!report.held)
        rank.heldSince.reset();
    else if (!rank.heldSince)
        rank.heldSince = now;
    if (!report.endpoint.empty())
        rank.member = { report.endpoint, report.processStartMs };
}

void GroupWatch::onMap(const std::string& name, bool isChanging, double unevenness)
{
    const auto group = m_groups.find(name);
    if (group == m_groups.end())
        return;
    group->second.isChanging = isChanging;
    group->second.mapUnevenness = unevenness;
}

GroupState GroupWatch::stateOf(const Group& group, TimePoint now)
{
    const auto hasJoined = [&](const auto& rank) { return rank.second.open && rank.second.epoch == group.epoch; };
    if (group.ranks.size() < group.size || !std::all_of(group.ranks.begin(), group.ranks.end(), hasJoined))
        return GroupState::Forming;
    const auto isHeldLong = [&](const auto& rank) { return rank.second.heldSince && now - *rank.second.heldSince > longHold; };
    if (std::any_of(group.ranks.begin(), group.ranks.end(), isHeldLong))
        return GroupState::Held;
    return group.isChanging ? GroupState::Changing : GroupState::Open;
}

bool GroupWatch::isComplete(const Group& group)
{
    return group.ranks.size() == group.size && std::none_of(group.ranks.begin(), group.ranks.end(), [](const auto& rank) { return rank.second.member.endpoint.empty(); });
}

std::vector<GroupReport> GroupWatch::reports(TimePoint now) const
{
    std::vector<GroupReport> reports;
    for (const auto& [name, group] : m_groups) {
        GroupReport report { name, group.service, group.epoch, stateOf(group, now), group.mapUnevenness };
        for (const auto& [number, rank] : group.ranks)
            if (!rank.member.endpoint.empty())
                report.members.push_back(rank.member);
        reports.push_back(std::move(report));
    }
    return reports;
}

bool GroupWatch::isReady(TimePoint now)
{
    const bool areComplete = !m_groups.empty() && std::all_of(m_groups.begin(), m_groups.end(), [](const auto& group) { return isComplete(group.second); });
    m_isReady = m_isReady || areComplete || now - m_started >= startTime;
    return m_isReady;
}

std::vector<GroupReport> GroupWatch::due(TimePoint now)
{
    if (!isReady(now))
        return {};
    std::vector<GroupReport> all = reports(now);
    std::vector<GroupReport> compared = all;
    for (GroupReport& report : compared)
        report.mapUnevenness = 0;
    if (all.empty() || (compared == m_sent && now - m_sentAt < interval))
        return {};
    m_sent = std::move(compared);
    m_sentAt = now;
    std::vector<GroupReport> due;
    size_t bytes = 0;
    for (size_t count = 0; count < all.size(); ++count) {
        GroupReport& report = all[(m_next + count) % all.size()];
        bytes += detail::bytesOf(report);
        if (!due.empty() && bytes > messageBytes)
            break;
        due.push_back(std::move(report));
    }
    m_next = (m_next + due.size()) % all.size();
    return due;
}

} // namespace orioletrail
