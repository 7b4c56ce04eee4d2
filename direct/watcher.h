// Follows the store's configuration, endpoints and closed zones, and registers this instance.
#pragma once

#include "direct/keeper.h"
#include "platform/decode.h"

namespace orioletrail {

class StoreWatcher {
public:
    StoreWatcher(boost::asio::any_io_executor, StoreClient&, BeliefKeeper&);

    // Starts to follow the store, for as long as the executor runs.
    void start();

    // Registers this instance under its name, and returns the addresses of all that are
    // registered. Goes on until the store has answered.
    Task<std::vector<std::string>> registerInstance(std::string name, std::string address);

    // Writes this instance's name to the lease of that name. The revision of the write rises with
    // each holder. Nothing if another instance wrote at the same time or nothing is known.
    Task<std::optional<uint64_t>> takeLease(std::string lease, std::string instance);

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
    Task<bool> registerOnce(const std::string& name, const std::string& address);

    boost::asio::any_io_executor m_executor;
    StoreClient& m_store;
    BeliefKeeper& m_keeper;
    std::set<std::string, std::less<>> m_closedZones;
    // Whether the store answered the latest listing; unset before the first.
    std::optional<bool> m_answers;
};

} // namespace orioletrail
