// Bounds the rate at which this instance sends requests to cold endpoints.
#pragma once

#include "base/types.h"

#include <deque>
#include <map>

namespace orioletrail {

// Counts requests in the last second by endpoint. The bound is for all instances together, so
// each takes an equal part of it.
class ColdLimit {
public:
    // True if one more request now keeps this instance within its part of `perSecond`.
    bool mayTake(std::string_view endpoint, double perSecond, size_t instances, TimePoint);

    void onSent(std::string_view endpoint, TimePoint);

    // Forgets an endpoint that has gone.
    void forget(std::string_view endpoint);

private:
    std::map<std::string, std::deque<TimePoint>, std::less<>> m_sent;
};

} // namespace orioletrail
