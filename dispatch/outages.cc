// What the dispatcher knows of groups of engines that run no requests.
#include "dispatch/dispatcher.h"

namespace orioletrail {

std::string Dispatcher::outageGroupOf(const std::string& endpoint, TimePoint now) const
{
    const auto record = m_snapshot.endpoints.find(endpoint);
    if (record == m_snapshot.endpoints.end() || !m_groups.isGrouped(record->second.service, now))
        return {};
    const GroupReport* group = groupOf(record->second, now);
    return group ? group->name : std::string();
}

bool Dispatcher::onRankEnded(const std::string& endpoint, TimePoint sent, TimePoint now)
{
    const std::string group = outageGroupOf(endpoint, now);
    return !group.empty() && m_outages.onFailed(group, sent, now);
}

bool Dispatcher::onRejectedWithRoom(const std::string& endpoint, TimePoint sent, TimePoint now)
{
    const std::string group = outageGroupOf(endpoint, now);
    return !group.empty() && m_outages.onRejected(group, endpoint, sent, now);
}

bool Dispatcher::onGroupServed(const std::string& endpoint, TimePoint sent, TimePoint now)
{
    const std::string group = outageGroupOf(endpoint, now);
    return !group.empty() && m_outages.onServed(group, sent, now);
}

} // namespace orioletrail
