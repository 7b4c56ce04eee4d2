// Measures how many requests of each priority arrive and complete, at all entries, and derives from it how
// many places near the limit of a service are kept for more urgent requests.
#pragma once

#include "priority/rate-meter.h"
#include "priority/report.h"

namespace orioletrail {

class Demand {
public:
    Demand();

    void onArrival(int priority, TimePoint);
    void onCompletion(TimePoint);
    void onPeer(std::string_view peer, DemandRates, TimePoint);

    // Rates of this entry.
    DemandRates report(TimePoint) const;

    // New requests per second at all entries that are more urgent than the priority.
    double moreUrgentArrivals(int priority, TimePoint) const;
    // New requests of the priority per second at all entries.
    double arrivals(int priority, TimePoint now) const { return moreUrgentArrivals(priority + 1, now) - moreUrgentArrivals(priority, now); }
    // Completions per second at all entries.
    double completions(TimePoint) const;

    // Places of a service that stay free when requests of the priority are admitted: as many as more urgent
    // requests may need before places become free, and the error of the estimate of free places. 0 if no
    // more urgent requests arrive. `capacity` is the number of all places.
    double kept(int priority, double capacity, TimePoint) const;

private:
    struct Peer {
        DemandRates rates;
        TimePoint received;
    };

    std::map<int, DecayingCount> m_arrivals;
    DecayingCount m_completions;
    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace orioletrail
