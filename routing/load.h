// Estimates how many requests each endpoint holds, from this instance's own, from what other
// instances say of theirs, and from what endpoints report.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// Requests in flight by endpoint, as one instance counts its own.
using InFlightCounts = std::map<std::string, uint32_t, std::less<>>;

class LoadTable {
public:
    void onSent(std::string_view endpoint);
    void onEnded(std::string_view endpoint);

    // Counts that another instance sent.
    void onPeerCounts(std::string_view peer, InFlightCounts, TimePoint);

    // Requests that the endpoint says it holds, from whomever.
    void onReported(std::string_view endpoint, uint32_t held, TimePoint);

    // Requests in flight at the endpoint from all instances.
    double estimate(std::string_view endpoint, TimePoint) const;

    uint32_t own(std::string_view endpoint) const;
    const InFlightCounts& ownCounts() const { return m_own; }

    // Instances that have been heard of lately, without this one.
    size_t livePeers(TimePoint) const;

    // Forgets an endpoint that has gone.
    void forget(std::string_view endpoint);

private:
    struct PeerCounts {
        InFlightCounts counts;
        TimePoint heard;
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
