// Limits the rate at which this instance sends requests to cold endpoints, which have started
// recently.
#pragma once

#include "base/types.h"

#include <deque>
#include <map>

namespace orioletrail {

// Counts the requests to each endpoint over the last second. The rate limit of an endpoint applies
// to all instances together, and each instance uses an equal share of it.
class ColdRateLimiter {
public:
    // True if one more request now keeps this instance within its share of `perSecond`, which is
    // divided among `instances`. One request per second is always allowed.
    bool allows(std::string_view endpoint, double perSecond, size_t instances, TimePoint);

    void onSent(std::string_view endpoint, TimePoint);

    // Drops the counts of an endpoint that is gone.
    void removeEndpoint(std::string_view endpoint);

private:
    // Times at which requests were sent, by endpoint.
    std::map<std::string, std::deque<TimePoint>, std::less<>> m_sent;
};

} // namespace orioletrail
