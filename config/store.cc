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
    if (delta.seen && !delta.from)
        dropAbsent(delta);
    for (const ObjectChange& change : delta.changes) {
        ObjectChange& held = m_objects[change.key];
        if (change.revision > held.revision)
            held = change;
        m_revision = std::max(m_revision, change.revision);
    }
    return true;
}

void ConfigStore::dropAbsent(const ConfigDelta& complete)
{
    std::set<std::string_view> present;
    for (const ObjectChange& change : complete.changes)
        present.insert(change.key);
    const uint64_t seen = complete.seen;
    for (auto& [key, held] : m_objects) {
        if (held.deleted || held.revision > seen || present.contains(key))
            continue;
        held = { key, seen, {}, true };
        m_revision = std::max(m_revision, seen);
    }
}

ConfigDelta ConfigStore::deltaSince(uint64_t from) const
{
    ConfigDelta delta { from, m_revision, {} };
    for (const auto& [key, held] : m_objects)
        if (held.revision > from)
            delta.changes.push_back(held);
    return delta;
}

std::shared_ptr<const ConfigView> ConfigStore::buildView()
{
    auto view = std::make_shared<ConfigView>();
    view->revision = m_revision;
    m_lastError.clear();
    for (const auto& [key, held] : m_objects)
        if (!held.deleted)
            addObject(*view, key, held.value, m_lastError);
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
