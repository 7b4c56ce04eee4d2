// An instance's copy of the system's state: configuration, endpoints and closed availability zones,
// as last learnt from the platform's store.
#pragma once

#include "directory/address-claims.h"
#include "directory/catalog.h"

#include <memory>
#include <set>

namespace orioletrail {

// A consistent copy of the state, for the traffic thread.
struct DirectorySnapshot {
    std::shared_ptr<const Catalog> catalog;
    EndpointRecords endpoints;
    std::set<std::string, std::less<>> closedZones;
    // Endpoints that are left out because something unreadable stands in place of their records, which says nothing
    // about their processes.
    std::set<std::string, std::less<>> unreadable;
};

// A complete list of the registrations in the store.
struct EndpointList {
    std::vector<EndpointRecord> endpoints;
    // Names of registrations that cannot be read.
    std::vector<std::string> unreadable;
};

// The last known state of the system: configuration, endpoints and closed availability zones. Updates
// from the store replace it, except that endpoints that disappear from the store during an outage are
// kept until they have had time to register again.
class DirectoryState {
public:
    // How long after the store's recovery endpoints that it lacks are kept.
    static constexpr Millis reregistrationGrace { 2000 };

    // Replaces the configuration if the version is higher than the current one. Returns whether it did.
    bool onCatalog(Catalog);

    // Handles a complete list of endpoints. Known endpoints that are not listed are handled as by
    // onEndpointRemoved().
    void onEndpointsListed(EndpointList, TimePoint);

    // An endpoint registered or changed its record. While the store may still hold an older copy, a
    // record of an earlier process is ignored, and a process that is leaving stays so.
    void onEndpointChanged(EndpointRecord, TimePoint);

    // The endpoint deregistered, or the store dropped it after a long silence. It is removed at once,
    // or after the grace period if the store is or was unreachable, unless it was draining.
    void onEndpointRemoved(std::string_view id, TimePoint);

    // Something unreadable stands in place of the endpoint's record. The endpoint is not used until it has registered again.
    void onEndpointUnreadable(std::string_view id);

    // Replaces the set of availability zones that get no requests.
    void onClosedZones(std::set<std::string, std::less<>>);

    // A call to the store failed, or succeeded. The first success after a failure starts the grace
    // period.
    void onStoreLost(TimePoint);
    void onStoreReturned(TimePoint);

    // The store has come back from an older copy. Starts the grace period. Until its end, endpoints
    // that were removed before are not taken from a list, since the copy may still hold them.
    void onStoreRestored(TimePoint);

    // Removes the endpoints that have not registered again by the end of the grace period. Returns
    // whether any were removed.
    bool expire(TimePoint);

    // True once a configuration and a list of endpoints have been received.
    bool isComplete() const { return m_catalog && m_hasEndpointList; }

    // Without endpoints at whose address a later process has registered; see AddressClaims.
    DirectorySnapshot snapshot() const;

    // Processes that turned out to be superseded since the last call.
    std::vector<SupersededProcess> takeSuperseded() { return std::exchange(m_newlySuperseded, {}); }

private:
    void change(EndpointRecord, TimePoint);
    void drop(std::string_view id, TimePoint);
    void replaceByUnreadable(std::string_view id);
    void updateClaims();
    bool isInGrace(TimePoint) const;
    // True while what the store holds may be older than what it held before.
    bool mayBeOld(TimePoint) const;
    // True if the process was removed and the store's list may be older than that.
    bool isRemovedSinceCopy(const EndpointRecord&, TimePoint) const;
    void remove(std::string_view id, TimePoint);

    // The last process of an endpoint that was removed.
    struct RemovedProcess {
        uint64_t processStartMs = 0;
        TimePoint removed;
    };

    std::shared_ptr<const Catalog> m_catalog;
    EndpointRecords m_endpoints;
    AddressClaims m_claims;
    std::vector<SupersededProcess> m_newlySuperseded;
    // Endpoints that the store no longer lists, kept during the grace period.
    std::set<std::string, std::less<>> m_unconfirmed;
    std::set<std::string, std::less<>> m_closedZones;
    // Known endpoints whose records have become unreadable.
    std::set<std::string, std::less<>> m_unreadable;
    bool m_hasEndpointList = false;
    bool m_storeUnreachable = false;
    std::optional<TimePoint> m_graceEnd;
    std::optional<TimePoint> m_restoredGraceEnd;
    std::map<std::string, RemovedProcess, std::less<>> m_removed;
};

} // namespace orioletrail
