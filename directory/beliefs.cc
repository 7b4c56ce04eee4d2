#include "directory/beliefs.h"

namespace orioletrail {

namespace detail {

    // Longer than a copy from which the store comes back is old.
    constexpr Millis removedRetention { 60'000 };

} // namespace detail

bool DirectoryState::onCatalog(Catalog catalog)
{
    if (m_catalog && catalog.version() <= m_catalog->version())
        return false;
    m_catalog = std::make_shared<const Catalog>(std::move(catalog));
    updateClaims();
    return true;
}

bool DirectoryState::isInGrace(TimePoint now) const
{
    return m_storeUnreachable || (m_graceEnd && now < *m_graceEnd);
}

void DirectoryState::onEndpointsListed(EndpointList listed, TimePoint now)
{
    std::set<std::string, std::less<>> unlisted;
    for (const auto& [id, record] : m_endpoints)
        unlisted.insert(id);
    unlisted.insert(m_unreadable.begin(), m_unreadable.end());
    for (const std::string& id : listed.unreadable) {
        unlisted.erase(id);
        replaceByUnreadable(id);
    }
    for (EndpointRecord& record : listed.endpoints) {
        unlisted.erase(record.id);
        if (!isRemovedSinceCopy(record, now))
            change(std::move(record), now);
    }
    for (const std::string& id : unlisted)
        drop(id, now);
    m_hasEndpointList = true;
    updateClaims();
}

void DirectoryState::onEndpointChanged(EndpointRecord record, TimePoint now)
{
    change(std::move(record), now);
    updateClaims();
}

void DirectoryState::onEndpointUnreadable(std::string_view id)
{
    replaceByUnreadable(id);
    updateClaims();
}

void DirectoryState::replaceByUnreadable(std::string_view id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    m_unconfirmed.erase(found->first);
    m_unreadable.insert(found->first);
    m_endpoints.erase(found);
}

void DirectoryState::updateClaims()
{
    if (!m_catalog)
        return;
    for (SupersededProcess& process : m_claims.update(m_endpoints, [this](std::string_view service) { return m_catalog->namesService(service); }))
        m_newlySuperseded.push_back(std::move(process));
}

void DirectoryState::change(EndpointRecord record, TimePoint now)
{
    m_unconfirmed.erase(record.id);
    m_removed.erase(record.id);
    m_unreadable.erase(record.id);
    const auto known = m_endpoints.find(record.id);
    if (known != m_endpoints.end() && known->second.processStartMs == record.processStartMs)
        record.startsInFuture = known->second.startsInFuture;
    if (known != m_endpoints.end() && mayBeOld(now)) {
        if (record.processStartMs < known->second.processStartMs)
            return;
        record.leaving = record.leaving || (known->second.leaving && record.processStartMs == known->second.processStartMs);
    }
    const std::string id = record.id;
    m_endpoints.insert_or_assign(id, std::move(record));
}

void DirectoryState::onEndpointRemoved(std::string_view id, TimePoint now)
{
    drop(id, now);
    updateClaims();
}

void DirectoryState::drop(std::string_view id, TimePoint now)
{
    if (const auto unreadable = m_unreadable.find(id); unreadable != m_unreadable.end()) {
        m_claims.forget(id);
        m_unreadable.erase(unreadable);
    }
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    if (isInGrace(now) && !found->second.leaving)
        m_unconfirmed.insert(found->first);
    else
        remove(id, now);
}

DirectorySnapshot DirectoryState::snapshot() const
{
    DirectorySnapshot snapshot { m_catalog, m_endpoints, m_closedZones, m_unreadable };
    std::erase_if(snapshot.endpoints, [&](const auto& item) { return m_claims.isSuperseded(item.second); });
    return snapshot;
}

bool DirectoryState::mayBeOld(TimePoint now) const
{
    return m_restoredGraceEnd && now < *m_restoredGraceEnd;
}

void DirectoryState::remove(std::string_view id, TimePoint now)
{
    std::erase_if(m_removed, [&](const auto& item) { return now - item.second.removed > detail::removedRetention; });
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return;
    m_removed.insert_or_assign(found->first, RemovedProcess { found->second.processStartMs, now });
    m_endpoints.erase(found);
    m_claims.forget(id);
}

bool DirectoryState::isRemovedSinceCopy(const EndpointRecord& record, TimePoint now) const
{
    if (!mayBeOld(now))
        return false;
    const auto removed = m_removed.find(record.id);
    return removed != m_removed.end() && record.processStartMs <= removed->second.processStartMs;
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

void DirectoryState::onStoreRestored(TimePoint now)
{
    m_restoredGraceEnd = m_graceEnd = now + reregistrationGrace;
}

bool DirectoryState::expire(TimePoint now)
{
    if (isInGrace(now) || m_unconfirmed.empty())
        return false;
    for (const std::string& id : m_unconfirmed)
        remove(id, now);
    m_unconfirmed.clear();
    updateClaims();
    return true;
}

} // namespace orioletrail
