// Decides which requests may wait for capacity at an endpoint, for how long, and in which order.
#pragma once

#include "base/types.h"

#include <functional>
#include <map>

namespace orioletrail {

// A request that found all endpoints of its service full.
struct WaitRequest {
    // It is another try after a refusal or a failed attempt. Retries are served first.
    bool isRetry = false;
    // 0 is the most urgent.
    int priority = 0;
    // Time left until the answer is late.
    Millis timeToObjective { 0 };
    // Expected time from sending the request to the first byte of its answer.
    Millis expectedFirstByte { 0 };
    // Requests per second that the service is expected to complete for this instance. Used if the
    // measured rate is lower, because an instance without requests in flight measures no
    // completions.
    double estimatedCompletionRate = 1;
};

// Whether a request may wait.
struct WaitDecision {
    bool mayWait = false;
    // Time until the queue is likely to be empty, after which a refused caller may retry.
    Millis retryAfter { 0 };
};

// The queue of one service at one instance. When demand exceeds the service's capacity, requests
// whose answers would be late are refused at once, so that the capacity goes to requests that can
// still be answered in time.
class WaitQueue {
public:
    // Identifies a queued request and is its sort key: retries first, then by priority, then by
    // arrival.
    using Ticket = std::pair<std::pair<int, int>, uint64_t>;

    // A request of this instance ended and freed its capacity.
    void onCompletion(TimePoint);

    // Decides whether the request may wait, from its expected waiting time.
    WaitDecision decide(const WaitRequest&, TimePoint) const;

    // Longest time that the request may wait. 0 if its answer would be late anyway, since another
    // request could still be answered in time with the same capacity.
    static Millis longestWait(const WaitRequest&);

    // Adds a request. `wake` is called by wakeFirst() when the request is the first in the queue.
    Ticket push(const WaitRequest&, std::function<void()> wake);

    // Removes a request, if it is still queued.
    void remove(const Ticket&);

    // Removes the first request from the queue and calls its `wake`. False if the queue is empty.
    bool wakeFirst();

    size_t size() const { return m_waiting.size(); }

    // Requests completed per second at this instance, as a moving average over the last seconds.
    double completionRate(TimePoint) const;

private:
    // Time until a request with this ticket would be served.
    Millis expectedWait(const Ticket&, double completionRate) const;

    std::map<Ticket, std::function<void()>> m_waiting;
    uint64_t m_nextNumber = 0;
    double m_completionRate = 0;
    TimePoint m_lastCompletion;
};

} // namespace orioletrail
