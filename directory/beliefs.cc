#include "directory/beliefs.h"

namespace orioletrail {

bool DirectoryState::onCatalog(Catalog catalog)
{
    if (m_catalog && catalog.version() <= m_catalog->version())
        return false;
    m_catalog = std::make_shared<const Catalog>(std::move(catalog));
    return true;
}

bool DirectoryState::isInGrace(TimePoint now) const
{
    return m_storeUnreachable || (m_graceEnd && now < *m_graceEnd);
}

void DirectoryState::onEndpointsListed(std::vector<EndpointRecord> listed, TimePoint now)
{
    std::set<std::string, std::less<>> unlisted;
    for (const auto& [id, record] : m_endpoints)
        unlisted.insert(id);
    for (EndpointRecord& record : listed) {
        unlisted.erase(record.id);
        onEndpointChanged(std::move(record), now);
    }
    for (const std::string& id : unlisted)
        onEndpointRemoved(id, now);
    m_hasEndpointList = true;
}

void DirectoryState::onEndpointChanged(EndpointRecord record, TimePoint)
{
    m_unconfirmed.erase(record.id);
    const std::string id = record.id;
    m_endpoints.insert_or_assign(id, std::move(record));
}

void DirectoryState::onEndpointRemoved(std::string_view id, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (isInGrace(now) && !found->second.leaving)
        m_unconfirmed.insert(found->first);
    else
        m_endpoints.erase(found);
}

void DirectoryState::onClosedZones(std::set<std::string, std::less<>> zones)
{
    m_closedZones = std::move(zones);
}

void DirectoryState::onStoreLost(TimePoint)
{
    m_storeUnreachable = true;
}

void DirectoryState::onStoreReturned(TimePoint now)
{
    if (!m_storeUnreachable)
        return;
    m_storeUnreachable = false;
    m_graceEnd = now + reregistrationGrace;
}

bool DirectoryState::expire(TimePoint now)
{
    if (isInGrace(now) || m_unconfirmed.empty())
        return false;
    for (const std::string& id : m_unconfirmed)
        m_endpoints.erase(id);
    m_unconfirmed.clear();
    return true;
}

} // namespace orioletrail
