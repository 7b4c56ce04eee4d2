// Follows the configuration, the endpoints and the closed zones in the store, directly or through another
// entry, and sends their changes to the DirectoryKeeper.
#pragma once

#include "direct/keeper.h"
#include "direct/store-progress.h"
#include "platform/decode.h"
#include "platform/store-feed.h"

namespace orioletrail {

class StoreWatcher {
public:
    struct Hooks {
        // Called when the progress has changed.
        std::function<void(const StoreProgress&)> onProgress;
        // Called when the store has come back from an older copy.
        std::function<void()> onRestored;
        // See DirectSettings::unixMillis.
        std::function<uint64_t()> unixMillis {};
    };

    // `feed` gets what the store answers, for other entries.
    StoreWatcher(boost::asio::any_io_executor, StoreClient&, StoreFeed& feed, DirectoryKeeper&, Metrics&, Hooks);

    // Starts following. Continues for as long as the executor runs.
    void start();

    // Other entries to read from (IP:PORT), the best first. The store is read directly if there are none or
    // none answers.
    void setFeeders(std::vector<std::string>);

    // Another entry has followed the store this far. If this one does not get there soon, its source lags
    // behind: it then reads the store directly for a while.
    void onPeerProgress(const StoreProgress&);

    // The store has told its era.
    void onEra(uint64_t era);

private:
    // A kind of objects in the store, and what to do with a full list of them and with changes.
    struct WatchedKind {
        std::string name;
        std::function<void(const StoreListing&)> onList;
        std::function<void(const StoreListing&)> onChanges;
        // This entry knows of all changes up to this revision.
        uint64_t revision = 0;
        // The highest revision of a change that another entry knows of, and since when this one has not
        // reached it.
        uint64_t peerChange = 0;
        std::optional<TimePoint> behindSince {};
        // The kind is to be listed instead of watched further.
        bool listAgain = false;
        // The watch was cancelled, and is to be repeated.
        bool isInterrupted = false;
    };

    // The store, or another entry that follows it.
    struct Source {
        // Empty for the store.
        std::string feeder;
        std::shared_ptr<StoreClient> client;
    };

    Source source();
    // Uses other sources than this one for a while.
    void avoid(const Source&, std::string_view reason);
    // Follows the kind from lists and watches; starts over when a watch fails.
    Task<> follow(size_t kind);
    // Returns when the watch fails or the store is in another era.
    Task<> watchFrom(size_t kind, uint64_t era);
    // Notes what a source has answered, for this entry and for others. Returns false if it is older than
    // what is known.
    bool onAnswer(size_t kind, const Source&, const StoreListing&, bool isList);
    // Waits until the sources are known, so that not all entries list from the store when they start.
    Task<> awaitFeeders();
    Task<> checkProgress();
    Task<> listAgainAfterGrace();
    void onStoreRestored();
    // The store's answers may no longer reach this entry: lists all kinds on new connections, and serves none to
    // others until then.
    void listAllAgain();
    void cancelWatches();
    // Repeats the watches of the store, as their waits have become too long.
    void repeatWatches();
    void setStoreAvailable(bool isAvailable);
    void onConfiguration(const StoredObject&);
    std::optional<EndpointRecord> parseEndpoint(const StoredObject&);
    void onEndpointList(const StoreListing&);
    void onEndpointChanges(const StoreListing&);
    // `isFullList` is false if the listing holds changes only.
    void onClosedZones(const StoreListing&, bool isFullList);

    boost::asio::any_io_executor m_executor;
    StoreClient& m_store;
    StoreFeed& m_feed;
    DirectoryKeeper& m_keeper;
    Metrics& m_metrics;
    Hooks m_hooks;
    std::array<WatchedKind, 3> m_kinds;
    TimePoint m_started;
    StoreProgress m_progress;
    std::vector<std::string> m_feeders;
    // Whether setFeeders() has been called.
    bool m_knowsFeeders = false;
    std::map<std::string, std::shared_ptr<StoreClient>, std::less<>> m_feederClients;
    std::map<std::string, TimePoint, std::less<>> m_avoidedUntil;
    // The store is read directly until then.
    TimePoint m_directUntil;
    std::set<std::string, std::less<>> m_closedZones;
    // When the store last came back from an older copy.
    std::optional<TimePoint> m_restoredAt;
    // Whether the latest list call to the store succeeded; unset before the first.
    std::optional<bool> m_isStoreAvailable;
};

} // namespace orioletrail
