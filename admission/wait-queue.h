// Decides which requests may wait for an endpoint, for how long, and in which order they go.
#pragma once

#include "base/types.h"

#include <functional>
#include <map>

namespace orioletrail {

// One request that finds all endpoints of its service full.
struct WaitRequest {
    // Its caller was refused before and has come back; it goes first.
    bool returned = false;
    // 0 is the most urgent.
    int priority = 0;
    // Time until an answer is late.
    Millis untilLate { 0 };
    // Usual time between the sending of a request and the first byte of its answer.
    Millis firstByte { 0 };
    // Places that become free each second at this instance by its part of what the service bears.
    // Counts while fewer were seen: an instance that holds no place yet sees none become free.
    double shareOfPlaces = 1;
};

// What becomes of it.
struct WaitDecision {
    bool mayWait = false;
    // If it may not: when there is likely to be room.
    Millis retryAfter { 0 };
};

// The queue of one service at one instance. Answers a load that exceeds what the service bears:
// requests that would be late wait for nothing, so they are refused at once, and the places go
// to those that are still in time.
class WaitQueue {
public:
    using Ticket = std::pair<std::pair<int, int>, uint64_t>;

    // A place became free at this instance.
    void onPlaceFreed(TimePoint);

    WaitDecision decide(const WaitRequest&, TimePoint) const;

    // How long the request may wait. One that would be late does not wait: its place is worth more
    // to one that is still in time.
    static Millis longestWait(const WaitRequest&);

    // Adds a request that may wait; `wake` is called when its turn comes.
    Ticket push(const WaitRequest&, std::function<void()> wake);

    void remove(const Ticket&);

    // Wakes the request whose turn it is, and takes it off the queue. False if none waits.
    bool wakeFirst();

    size_t size() const { return m_waiting.size(); }

    // Places that become free each second at this instance, over the last seconds.
    double freedPerSecond(TimePoint) const;

private:
    Millis expectedWait(const Ticket&, double freedPerSecond) const;

    std::map<Ticket, std::function<void()>> m_waiting;
    uint64_t m_next = 0;
    double m_freed = 0;
    TimePoint m_lastFreed;
};

} // namespace orioletrail
