// Work of this instance's own requests at each endpoint, beyond their number.
#pragma once

#include "base/types.h"

#include <map>
#include <vector>

namespace orioletrail {

// Addresses load that is counted in requests although they differ by a factor of ten: an endpoint with few large
// requests seems to be idle. Work is relative to a usual request, so that a table without sizes changes nothing. The
// counts of other instances have no sizes; theirs count as usual ones.
class WorkTable {
public:
    // A request of this much relative work, which is expected to take `duration`, was sent to the endpoint.
    void onSent(std::string_view endpoint, double work, Clock::duration duration, TimePoint);

    // A request has ended there. The one that was expected to end next is dropped, since it is not known which one it was.
    void onEnded(std::string_view endpoint);

    // Work of the requests in flight beyond their number; negative for small ones.
    double beyondCount(std::string_view endpoint) const;

    void removeEndpoint(std::string_view endpoint);

private:
    struct Item {
        double work = 1;
        TimePoint expectedEnd;
    };

    std::map<std::string, std::vector<Item>, std::less<>> m_items;
};

} // namespace orioletrail
