#include "group/group-report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    constexpr size_t maxReportedGroups = 64;
    // All members of a message.
    constexpr size_t maxReportedMembers = 2048;
    constexpr size_t maxNameBytes = 256;
    constexpr double maxMapUnevenness = 100;

    std::string readName(const json::value& value)
    {
        const json::string* text = value.if_string();
        return text && text->size() <= maxNameBytes ? std::string(*text) : std::string();
    }

    std::string readName(const json::object& object, std::string_view name)
    {
        const json::value* field = object.if_contains(name);
        return field ? readName(*field) : std::string();
    }

    std::optional<uint64_t> readInteger(const json::value* value)
    {
        boost::system::error_code error;
        const uint64_t number = value && value->is_number() ? value->to_number<uint64_t>(error) : 0;
        return value && value->is_number() && !error ? std::optional(number) : std::nullopt;
    }

    std::optional<GroupState> readState(std::string_view name)
    {
        for (const GroupState state : { GroupState::Open, GroupState::Changing, GroupState::Held, GroupState::Forming })
            if (name == groupStateName(state))
                return state;
        return std::nullopt;
    }

    // Members are pairs of endpoint and start of its process.
    std::vector<GroupMember> readMembers(const json::object& object, size_t most)
    {
        const json::value* field = object.if_contains("ranks");
        const json::array* array = field ? field->if_array() : nullptr;
        std::vector<GroupMember> members;
        for (size_t index = 0; array && index < std::min(array->size(), most); ++index) {
            const json::array* pair = (*array)[index].if_array();
            if (!pair || pair->size() != 2)
                continue;
            std::string endpoint = readName((*pair)[0]);
            const auto start = readInteger(&(*pair)[1]);
            if (!endpoint.empty() && start)
                members.push_back({ std::move(endpoint), *start });
        }
        return members;
    }

    std::optional<GroupReport> readGroup(const json::object& object, size_t mostMembers)
    {
        GroupReport report { readName(object, "name"), readName(object, "service") };
        const auto epoch = readInteger(object.if_contains("epoch"));
        const auto state = readState(readName(object, "state"));
        if (!isValidGroupName(report.name) || report.service.empty() || !epoch || !state)
            return std::nullopt;
        report.epoch = *epoch;
        report.state = *state;
        const json::value* unevenness = object.if_contains("unevenness");
        boost::system::error_code error;
        const double value = unevenness && unevenness->is_number() ? unevenness->to_number<double>(error) : 0;
        if (!error && value >= 1 && value <= maxMapUnevenness)
            report.mapUnevenness = value;
        report.members = readMembers(object, mostMembers);
        return report;
    }

} // namespace detail

void writeGroups(std::span<const GroupReport> reports, json::object& message)
{
    if (reports.empty())
        return;
    json::array groups;
    for (const GroupReport& report : reports) {
        json::array ranks;
        for (const GroupMember& member : report.members) {
            json::array pair;
            pair.emplace_back(member.endpoint);
            pair.emplace_back(member.processStartMs);
            ranks.push_back(std::move(pair));
        }
        json::object group { { "name", report.name }, { "service", report.service }, { "epoch", report.epoch }, { "state", groupStateName(report.state) } };
        if (report.mapUnevenness > 0)
            group["unevenness"] = std::round(report.mapUnevenness * 1000) / 1000;
        group["ranks"] = std::move(ranks);
        groups.push_back(std::move(group));
    }
    message["groups"] = std::move(groups);
}

std::vector<GroupReport> readGroups(const json::object& message)
{
    const json::value* field = message.if_contains("groups");
    const json::array* array = field ? field->if_array() : nullptr;
    std::vector<GroupReport> reports;
    size_t membersLeft = detail::maxReportedMembers;
    for (size_t index = 0; array && index < std::min(array->size(), detail::maxReportedGroups); ++index) {
        const json::object* object = (*array)[index].if_object();
        std::optional<GroupReport> report = object ? detail::readGroup(*object, membersLeft) : std::nullopt;
        if (!report)
            continue;
        membersLeft -= report->members.size();
        reports.push_back(std::move(*report));
    }
    return reports;
}

} // namespace orioletrail
