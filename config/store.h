// The replica of configuration that each instance holds, and the deltas that bring it forward.
#pragma once

#include "config/objects.h"

#include <memory>
#include <span>

namespace orioletrail {

// One object at the revision that last changed it, or its deletion.
struct ObjectChange {
    std::string key;
    uint64_t revision = 0;
    std::string value;
    bool deleted = false;
};

// All changes after revision `from`; `to` is the latest among them, or `from` if there are
// none. With `from` 0 it is complete.
struct ConfigDelta {
    uint64_t from = 0;
    uint64_t to = 0;
    std::vector<ObjectChange> changes;
    // Of a complete list from the platform: the store's revision at the time, 0 otherwise. Objects
    // of earlier revisions that are not listed have been deleted.
    uint64_t seen = 0;
};

// Holds objects by key with their revisions, which only rise. Deltas may come from the
// platform or from any peer, late, twice or out of order.
class ConfigStore {
public:
    // Revision of the latest change that is held; 0 if the replica holds nothing. Revisions
    // that the platform gives to other objects in between do not count.
    uint64_t revision() const { return m_revision; }

    // Applies a delta that starts at or before revision(). Returns false and sets
    // lastError() for a delta with a gap; changes that are not newer are dropped.
    bool apply(const ConfigDelta&);

    // The changes that bring a peer at revision `from` up to this replica.
    ConfigDelta deltaSince(uint64_t from) const;

    // Parses all objects. A malformed object is left out and named in lastError().
    std::shared_ptr<const ConfigView> buildView();

    // The object's raw value, or nothing.
    std::optional<ObjectChange> find(std::string_view key) const;

    const std::string& lastError() const { return m_lastError; }

private:
    // Marks held objects as deleted that a complete delta of a later revision does not have.
    void dropAbsent(const ConfigDelta& complete);

    std::map<std::string, ObjectChange, std::less<>> m_objects;
    uint64_t m_revision = 0;
    std::string m_lastError;
};

} // namespace orioletrail
