#include "group/group-log.h"

#include "telemetry/log.h"

namespace orioletrail {

bool GroupLog::isDue(TimePoint now)
{
    if (now - m_updated < interval)
        return false;
    m_updated = now;
    return true;
}

void GroupLog::update(std::span<const GroupView> views, Metrics& metrics)
{
    std::map<std::string, GroupState> states;
    for (const GroupView& view : views) {
        const std::string& name = view.load.name;
        states.emplace(name, view.load.state);
        const std::string label = "group=\"" + name + '"';
        metrics.setGauge("orioletrail_group_share", label, view.share);
        metrics.setGauge("orioletrail_group_predicted_gap_ms", label, view.predictedGapMs);
        metrics.setGauge("orioletrail_group_measured_gap_ms", label, view.measuredGapMs);
        metrics.setGauge("orioletrail_group_capacity", label, view.capacity);
        // All of them are lost when one rank crashes.
        metrics.setGauge("orioletrail_group_streams", label, view.load.streams);
        for (const GroupState state : { GroupState::Open, GroupState::Changing, GroupState::Held, GroupState::Forming, GroupState::Cold })
            metrics.setGauge("orioletrail_group_state", label + ",state=\"" + std::string(groupStateName(state)) + '"', state == view.load.state ? 1 : 0);
        if (const auto before = m_states.find(name); before != m_states.end() && before->second == view.load.state)
            continue;
        log(LogLevel::Info, "state of a group of engines", { { "group", name }, { "state", std::string(groupStateName(view.load.state)) }, { "endpoints", std::to_string(static_cast<int>(view.load.endpoints)) }, { "streams", std::to_string(static_cast<int>(view.load.streams)) }, { "share", std::to_string(view.share) }, { "predictedGapMs", std::to_string(view.predictedGapMs) } });
    }
    for (const auto& [name, state] : m_states) {
        if (states.contains(name))
            continue;
        const std::string label = "group=\"" + name + '"';
        metrics.setGauge("orioletrail_group_share", label, 0);
        log(LogLevel::Info, "group of engines not known any more", { { "group", name }, { "state", std::string(groupStateName(state)) } });
    }
    m_states = std::move(states);
}

} // namespace orioletrail
