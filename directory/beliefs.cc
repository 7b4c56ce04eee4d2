#include "directory/beliefs.h"

namespace orioletrail {

bool Beliefs::onCatalog(Catalog catalog)
{
    if (m_catalog && catalog.version() <= m_catalog->version())
        return false;
    m_catalog = std::make_shared<const Catalog>(std::move(catalog));
    return true;
}

bool Beliefs::isInGrace(TimePoint now) const
{
    return m_storeLost || (m_graceUntil && now < *m_graceUntil);
}

void Beliefs::onEndpointsListed(std::vector<EndpointRecord> listed, TimePoint now)
{
    std::set<std::string, std::less<>> absent;
    for (const auto& [id, record] : m_endpoints)
        absent.insert(id);
    for (EndpointRecord& record : listed) {
        absent.erase(record.id);
        onEndpointChanged(std::move(record), now);
    }
    for (const std::string& id : absent)
        onEndpointRemoved(id, now);
    m_listed = true;
}

void Beliefs::onEndpointChanged(EndpointRecord record, TimePoint)
{
    m_missing.erase(record.id);
    const std::string id = record.id;
    m_endpoints.insert_or_assign(id, std::move(record));
}

void Beliefs::onEndpointRemoved(std::string_view id, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (isInGrace(now) && !found->second.leaving)
        m_missing.insert(found->first);
    else
        m_endpoints.erase(found);
}

void Beliefs::onClosedZones(std::set<std::string, std::less<>> zones)
{
    m_closedZones = std::move(zones);
}

void Beliefs::onStoreLost(TimePoint)
{
    m_storeLost = true;
}

void Beliefs::onStoreReturned(TimePoint now)
{
    if (!m_storeLost)
        return;
    m_storeLost = false;
    m_graceUntil = now + returnGrace;
}

bool Beliefs::expire(TimePoint now)
{
    if (isInGrace(now) || m_missing.empty())
        return false;
    for (const std::string& id : m_missing)
        m_endpoints.erase(id);
    m_missing.clear();
    return true;
}

} // namespace orioletrail
