// Watches the configuration, the endpoints and the closed zones in the store and sends their
// changes to the DirectoryKeeper.
#pragma once

#include "direct/keeper.h"
#include "platform/decode.h"

namespace orioletrail {

class StoreWatcher {
public:
    StoreWatcher(boost::asio::any_io_executor, StoreClient&, DirectoryKeeper&);

    // Starts watching. Continues for as long as the executor runs.
    void start();

    // The store has come back from an older copy: lists all kinds again, at once and after the grace
    // period.
    void onStoreRestored();

private:
    // A kind of objects in the store, and what to do with a full list of them and with changes.
    struct WatchedKind {
        std::string name;
        std::function<void(const StoreListing&)> onList;
        std::function<void(const StoreListing&)> onChanges;
    };

    // Lists the kind and watches it from there; starts over when the watch fails.
    Task<> listAndWatch(WatchedKind);
    // Returns when the watch fails.
    Task<> listAgainAfterGrace();
    // Returns when the watch fails or the store is in another era.
    Task<> watchFrom(const WatchedKind&, uint64_t revision, uint64_t era);
    void setStoreAvailable(bool isAvailable);
    void onConfiguration(const StoredObject&);
    std::optional<EndpointRecord> parseEndpoint(const StoredObject&);
    void onEndpointList(const StoreListing&);
    void onEndpointChanges(const StoreListing&);
    // `isFullList` is false if the listing holds changes only.
    void onClosedZones(const StoreListing&, bool isFullList);

    boost::asio::any_io_executor m_executor;
    StoreClient& m_store;
    DirectoryKeeper& m_keeper;
    std::set<std::string, std::less<>> m_closedZones;
    // When the store last came back from an older copy.
    std::optional<TimePoint> m_restoredAt;
    // Whether the latest list call succeeded; unset before the first.
    std::optional<bool> m_isStoreAvailable;
};

} // namespace orioletrail
