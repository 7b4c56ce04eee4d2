// What an instance believes of the system: configuration, endpoints and closed availability
// zones, each learnt from the platform's store, with its age.
#pragma once

#include "directory/catalog.h"

#include <memory>
#include <set>

namespace orioletrail {

// One endpoint as it last registered itself.
struct EndpointRecord {
    std::string id;
    std::string service;
    std::string host;
    uint16_t port = 0;
    std::string zone;
    uint32_t slots = 1;
    // It takes no new requests.
    bool leaving = false;
    // Until when it bears only a cold endpoint's rate.
    TimePoint coldUntil;
    // Start of its process in milliseconds since 1970, 0 if it did not say. A later start under
    // the same identifier is a new process that knows nothing of the earlier one.
    uint64_t born = 0;
};

// A consistent copy of all beliefs, shared with the traffic thread.
struct BeliefSnapshot {
    std::shared_ptr<const Catalog> catalog;
    std::map<std::string, EndpointRecord, std::less<>> endpoints;
    std::set<std::string, std::less<>> closedZones;
};

// Holds beliefs and decides which news replace them. Endpoints that went missing while the
// store was away are kept until they have had time to register again.
class Beliefs {
public:
    // How long after the store's return a missing endpoint may still register again.
    static constexpr Millis returnGrace { 2000 };

    // Takes over a configuration unless a later version is held. Returns whether it was taken.
    bool onCatalog(Catalog);

    // A complete list of endpoints. Those that are held but not listed are dropped, at once or,
    // after an outage of the store, when the grace has passed without them.
    void onEndpointsListed(std::vector<EndpointRecord>, TimePoint);

    void onEndpointChanged(EndpointRecord, TimePoint);

    // An endpoint has left, or has been silent for so long that the store dropped it.
    void onEndpointRemoved(std::string_view id, TimePoint);

    // The complete set of availability zones that are to get nothing.
    void onClosedZones(std::set<std::string, std::less<>>);

    // A call to the store failed, or succeeded after failures.
    void onStoreLost(TimePoint);
    void onStoreReturned(TimePoint);

    // Drops endpoints whose grace has passed. Returns whether anything changed.
    bool expire(TimePoint);

    // True once there is a configuration and a list of endpoints.
    bool isComplete() const { return m_catalog && m_listed; }

    BeliefSnapshot snapshot() const { return { m_catalog, m_endpoints, m_closedZones }; }

private:
    bool isInGrace(TimePoint) const;

    std::shared_ptr<const Catalog> m_catalog;
    std::map<std::string, EndpointRecord, std::less<>> m_endpoints;
    // Endpoints that the store no longer names, kept for the grace.
    std::set<std::string, std::less<>> m_missing;
    std::set<std::string, std::less<>> m_closedZones;
    bool m_listed = false;
    bool m_storeLost = false;
    std::optional<TimePoint> m_graceUntil;
};

} // namespace orioletrail
