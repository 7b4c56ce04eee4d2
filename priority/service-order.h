// The order in which the requests of one service get places, over all entries.
#pragma once

#include "priority/claims.h"
#include "priority/demand.h"
#include "priority/floors.h"
#include "priority/peer-order.h"

namespace orioletrail {

// What a service can take, as one entry knows it.
struct Supply {
    // Places of all open endpoints, and those that are free.
    double capacity = 0;
    double free = 0;
    // Requests that the service completes per second when it is full.
    double completionsPerSecond = 1;
    // Places are kept for more urgent requests.
    bool keepsPlaces = true;
};

// A request that waits at this entry, or that asks to.
struct OrderedRequest {
    Urgency urgency = 0;
    TimePoint since;
    // Requests that wait at this entry and come before it.
    size_t ownAhead = 0;
};

class ServiceOrder {
public:
    // Counts the request and returns its urgency. Uses up a claim if the caller comes back for one.
    Urgency onArrival(const FloorRequest&, TimePoint);
    void onServed(const FloorRequest& request, TimePoint now) { m_floors.onServed(request, now); }
    void onCompletion(TimePoint now) { m_demand.onCompletion(now); }
    void onPeer(std::string_view peer, const ServiceOrderReport&, TimePoint);

    // What this entry reports, without the requests that wait.
    ServiceOrderReport report(TimePoint) const;

    // True if a request like this one is served too rarely. It gets `floorUrgency`.
    bool isBelowFloor(const FloorRequest& request, TimePoint now) const { return m_floors.isBelow(request, now); }
    static constexpr Urgency floorUrgency = 0;

    // True if more urgent requests leave the priority less than its floor.
    bool hasOnlyFloor(int priority, const Supply&, TimePoint) const;

    // Places that requests of the urgency leave free.
    double kept(Urgency, const Supply&, TimePoint) const;

    // True if the request may have a place now: enough are free for those that come before it at all entries,
    // and for those that are kept.
    bool mayStart(const OrderedRequest&, const Supply&, TimePoint) const;

    // Time until the request is likely to get a place.
    Millis expectedWait(const OrderedRequest&, const Supply&, TimePoint) const;

    // Delay that a refused caller is told.
    Millis nameReturn(const OrderedRequest&, const Supply&, Millis longest, TimePoint, bool& isClaimed);

    // The request at another entry to which a place goes that has become free here, or nothing if it stays
    // here. `firstOwn` is null if nothing waits here. `random` is between 0 and 1: a place goes to any one of as
    // many of the first requests as places become free while reports are under way, since all entries decide at once.
    std::optional<PeerOrder::Waiting> receiver(const OrderedRequest* firstOwn, const Supply&, double random, TimePoint) const;

    // Completions per second at all entries.
    double completions(TimePoint now) const { return m_demand.completions(now); }
    PeerOrder& peers() { return m_peers; }
    Claims& claims() { return m_claims; }

private:
    // Requests per second that the service completes, and those of them that more urgent requests leave.
    double allPerSecond(const Supply&, TimePoint) const;
    double leftPerSecond(int priority, const Supply&, TimePoint) const;
    // Requests per second that get places besides more urgent ones.
    double servedPerSecond(Urgency, const Supply&, TimePoint) const;

    Demand m_demand;
    PeerOrder m_peers;
    Floors m_floors;
    Claims m_claims;
};

} // namespace orioletrail
