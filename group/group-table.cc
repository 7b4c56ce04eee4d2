#include "group/group-table.h"

#include <algorithm>

namespace orioletrail {

std::string_view groupStateName(GroupState state)
{
    switch (state) {
    case GroupState::Open:
        return "open";
    case GroupState::Changing:
        return "changing";
    case GroupState::Held:
        return "held";
    case GroupState::Forming:
        return "forming";
    case GroupState::Cold:
        return "cold";
    }
    return "";
}

bool isValidGroupName(std::string_view name)
{
    constexpr size_t maxBytes = 128;
    const auto isAllowed = [](char c) { return c > ' ' && c <= '~' && c != '"' && c != '\\'; };
    return !name.empty() && name.size() <= maxBytes && std::all_of(name.begin(), name.end(), isAllowed);
}

void GroupTable::onReport(std::vector<GroupReport> reports, TimePoint now)
{
    std::erase_if(m_groups, [&](const auto& group) { return now - group.second.heard > validity; });
    for (GroupReport& report : reports) {
        const auto known = m_groups.find(report.name);
        if (known != m_groups.end() && report.epoch < known->second.report.epoch)
            continue;
        std::erase_if(m_members, [&](const auto& member) { return member.second.group == report.name; });
        for (const GroupMember& member : report.members)
            m_members.insert_or_assign(member.endpoint, Membership { report.name, member.processStartMs });
        std::string name = report.name;
        m_groups.insert_or_assign(std::move(name), KnownGroup { std::move(report), now });
    }
    std::erase_if(m_members, [&](const auto& member) { return !m_groups.contains(member.second.group); });
}

const GroupTable::KnownGroup* GroupTable::findValid(const std::string& name, TimePoint now) const
{
    const auto group = m_groups.find(name);
    return group != m_groups.end() && now - group->second.heard <= validity ? &group->second : nullptr;
}

const GroupReport* GroupTable::find(const std::string& name, TimePoint now) const
{
    const KnownGroup* group = findValid(name, now);
    return group ? &group->report : nullptr;
}

const GroupReport* GroupTable::groupOf(std::string_view endpoint, uint64_t processStartMs, TimePoint now) const
{
    const auto member = m_members.find(endpoint);
    if (member == m_members.end() || (processStartMs && member->second.processStartMs && processStartMs != member->second.processStartMs))
        return nullptr;
    const KnownGroup* group = findValid(member->second.group, now);
    return group ? &group->report : nullptr;
}

GroupState GroupTable::stateOf(const std::string& name, TimePoint now) const
{
    const KnownGroup* group = findValid(name, now);
    return group && now - group->heard <= stateValidity ? group->report.state : GroupState::Open;
}

bool GroupTable::isGrouped(std::string_view service, TimePoint now) const
{
    return std::count_if(m_groups.begin(), m_groups.end(), [&](const auto& group) {
        return group.second.report.service == service && now - group.second.heard <= validity;
    }) >= 2;
}

} // namespace orioletrail
