// Holds an instance's view of the system in a CAF actor and publishes every change.
#pragma once

#include "directory/beliefs.h"

#include <variant>

namespace orioletrail {

// A configuration was read from the store.
struct CatalogUpdate {
    std::shared_ptr<const Catalog> catalog;
};

// The complete list of endpoints was read from the store.
struct EndpointListUpdate {
    EndpointList list;
};

// An endpoint was registered or has changed.
struct EndpointUpdate {
    EndpointRecord endpoint;
};

// An endpoint is no longer registered.
struct EndpointRemoval {
    std::string id;
};

// Something that cannot be read stands in place of an endpoint's registration.
struct EndpointUnreadable {
    std::string id;
};

// The complete set of closed availability zones.
struct ClosedZonesUpdate {
    std::set<std::string, std::less<>> zones;
};

// The store became unavailable or available again.
struct StoreAvailability {
    bool isAvailable = false;
};

// Drops endpoints whose grace period has passed. Sent at regular intervals.
struct ExpiryTick { };

// The store has come back from an older copy.
struct StoreRestored { };

using DirectoryUpdate = std::variant<CatalogUpdate, EndpointListUpdate, EndpointUpdate, EndpointRemoval, EndpointUnreadable, ClosedZonesUpdate, StoreAvailability, StoreRestored, ExpiryTick>;

// Owns the directory state and applies updates to them, one by one, on the actor's thread.
class DirectoryKeeper {
public:
    // `onChange` is called on the actor's thread with a copy of the state after each change, once
    // the state is complete.
    explicit DirectoryKeeper(std::function<void(DirectorySnapshot)> onChange);
    ~DirectoryKeeper();

    // Queues an update. Thread-safe.
    void send(DirectoryUpdate);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace orioletrail
