// Follows the store's configuration, endpoints and closed zones.
#pragma once

#include "direct/keeper.h"
#include "platform/decode.h"

namespace orioletrail {

class StoreWatcher {
public:
    StoreWatcher(boost::asio::any_io_executor, StoreClient&, BeliefKeeper&);

    // Starts to follow the store, for as long as the executor runs.
    void start();

private:
    struct Kind {
        std::string name;
        std::function<void(const StoreListing&)> onList;
        std::function<void(const StoreListing&)> onChanges;
    };

    Task<> follow(Kind);
    Task<> watchFrom(const Kind&, uint64_t revision);
    void noteStore(bool answers);
    void takeConfiguration(const StoredObject&);
    std::optional<EndpointRecord> readEndpoint(const StoredObject&);
    void takeEndpoints(const StoreListing&);
    void takeEndpointChanges(const StoreListing&);
    void takeClosedZones(const StoreListing&, bool whole);

    boost::asio::any_io_executor m_executor;
    StoreClient& m_store;
    BeliefKeeper& m_keeper;
    std::set<std::string, std::less<>> m_closedZones;
    // Whether the store answered the latest listing; unset before the first.
    std::optional<bool> m_answers;
};

} // namespace orioletrail
