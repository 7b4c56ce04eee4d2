// Estimates the requests in flight at each endpoint from this instance's own requests, the counts
// that other instances send, and the reports of endpoints.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// Number of requests that one instance has in flight, by endpoint.
using InFlightCounts = std::map<std::string, uint32_t, std::less<>>;

class LoadTable {
public:
    // A request of this instance was sent to the endpoint, or has ended there.
    void onSent(std::string_view endpoint);
    void onEnded(std::string_view endpoint);

    // Counts of another instance's own requests arrived; they replace its previous ones.
    void onPeerCounts(std::string_view peer, InFlightCounts, TimePoint);

    // The endpoint reported the number of requests it has from all instances.
    void onReported(std::string_view endpoint, uint32_t inFlight, TimePoint);

    // Estimated requests in flight at the endpoint from all instances. Reports of the endpoint are
    // used only while no other instance sends its counts.
    double estimate(std::string_view endpoint, TimePoint) const;

    // Requests in flight at the endpoint of the instances that sent counts recently, without this one's.
    uint32_t peerCount(std::string_view endpoint, TimePoint) const;

    // Requests of this instance in flight.
    uint32_t ownCount(std::string_view endpoint) const;
    const InFlightCounts& ownCounts() const { return m_own; }

    // Number of other instances that sent counts recently.
    size_t livePeerCount(TimePoint) const;

    // Age of the oldest counts of another instance that are in use, 0 if there are none.
    Millis countsAge(TimePoint) const;

    // Drops the report of an endpoint that is gone.
    void removeEndpoint(std::string_view endpoint);

private:
    struct PeerCounts {
        InFlightCounts counts;
        TimePoint received;
    };

    struct Report {
        // Requests of other instances at the time of the report.
        double others = 0;
        TimePoint received;
    };

    InFlightCounts m_own;
    std::map<std::string, PeerCounts, std::less<>> m_peers;
    std::map<std::string, Report, std::less<>> m_reports;
};

} // namespace orioletrail
