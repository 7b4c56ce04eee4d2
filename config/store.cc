#include "config/store.h"

#include <algorithm>
#include <set>

namespace orioletrail {

bool ConfigStore::apply(const ConfigDelta& delta)
{
    if (delta.from > m_revision) {
        m_lastError = "delta starts at revision " + std::to_string(delta.from) + ", replica is at " + std::to_string(m_revision);
        return false;
    }
    if (delta.storeRevision && !delta.from)
        markUnlistedDeleted(delta);
    for (const ObjectChange& change : delta.changes) {
        ObjectChange& stored = m_objects[change.key];
        if (change.revision > stored.revision)
            stored = change;
        m_revision = std::max(m_revision, change.revision);
    }
    return true;
}

void ConfigStore::markUnlistedDeleted(const ConfigDelta& complete)
{
    std::set<std::string_view> listed;
    for (const ObjectChange& change : complete.changes)
        listed.insert(change.key);
    const uint64_t storeRevision = complete.storeRevision;
    for (auto& [key, stored] : m_objects) {
        if (stored.deleted || stored.revision > storeRevision || listed.contains(key))
            continue;
        stored = { key, storeRevision, {}, true };
        m_revision = std::max(m_revision, storeRevision);
    }
}

ConfigDelta ConfigStore::deltaSince(uint64_t from) const
{
    ConfigDelta delta { from, m_revision, {} };
    for (const auto& [key, stored] : m_objects)
        if (stored.revision > from)
            delta.changes.push_back(stored);
    return delta;
}

std::shared_ptr<const ConfigView> ConfigStore::buildView()
{
    auto view = std::make_shared<ConfigView>();
    view->revision = m_revision;
    m_lastError.clear();
    for (const auto& [key, stored] : m_objects)
        if (!stored.deleted)
            addObject(*view, key, stored.value, m_lastError);
    return view;
}

std::optional<ObjectChange> ConfigStore::find(std::string_view key) const
{
    const auto found = m_objects.find(key);
    if (found == m_objects.end() || found->second.deleted)
        return std::nullopt;
    return found->second;
}

} // namespace orioletrail
