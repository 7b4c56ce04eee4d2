// An instance's replica of the configuration, and the deltas that update it.
#pragma once

#include "config/objects.h"

#include <memory>
#include <span>

namespace orioletrail {

// The latest change of one object: its new value or its deletion.
struct ObjectChange {
    std::string key;
    // Revision of the change.
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
    // For a complete list from the platform: the store's revision when the list was made. Objects
    // that are not listed and whose last change is not newer have been deleted. 0 for other deltas.
    uint64_t storeRevision = 0;
};

// Holds the latest known change of each object. A change is applied only if its revision is higher
// than that of the stored one, so deltas may come from the platform or any peer, and may be late,
// repeated or out of order.
class ConfigStore {
public:
    // Highest revision of the stored changes; 0 if there are none. Revisions that the platform gives
    // to objects outside the configuration do not count.
    uint64_t revision() const { return m_revision; }

    // Applies the changes of a delta that are newer than the stored ones. Returns false and sets
    // lastError() if the delta starts after revision(), since changes in between would be missing.
    bool apply(const ConfigDelta&);

    // Returns the changes that bring a replica at revision `from` up to date with this one.
    ConfigDelta deltaSince(uint64_t from) const;

    // Builds a view of all objects. Malformed ones are left out; lastError() then describes one of
    // them and is empty otherwise.
    std::shared_ptr<const ConfigView> buildView();

    // Returns an object, or nullopt if it does not exist or was deleted.
    std::optional<ObjectChange> find(std::string_view key) const;

    const std::string& lastError() const { return m_lastError; }

private:
    // Marks the stored objects that a complete list lacks as deleted, unless they changed after it
    // was made.
    void markUnlistedDeleted(const ConfigDelta& complete);

    std::map<std::string, ObjectChange, std::less<>> m_objects;
    uint64_t m_revision = 0;
    std::string m_lastError;
};

} // namespace orioletrail
