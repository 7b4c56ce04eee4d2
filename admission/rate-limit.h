// Limits the rate at which all instances together send requests to an endpoint: cold endpoints, which
// have started recently, and those that name a limit in their answers.
#pragma once

#include "base/types.h"

#include <deque>
#include <map>
#include <random>

namespace orioletrail {

// A rate that holds over any span of the given length.
struct Rate {
    double perSecond = 0;
    Millis window { 1000 };
};

// Ages of requests that an instance sent recently, by endpoint.
using SentAges = std::map<std::string, std::vector<Millis>, std::less<>>;

// Counts the requests to each endpoint that this instance sent, and those that others say they sent.
// Each instance uses an equal share of the rate, at least one request in each window, and none while
// the requests of all instances that it knows of use up the rate.
class RateLimiter {
public:
    explicit RateLimiter(uint64_t seed = std::random_device {}())
        : m_random(seed)
        , m_delay(drawDelay())
    {
    }

    // True if one more request now keeps the rate, which is divided among `instances`. A request is
    // always allowed if none was sent by any instance in the window.
    bool allows(std::string_view endpoint, const Rate&, size_t instances, TimePoint);

    void onSent(std::string_view endpoint, TimePoint);

    // Undoes the last onSent(): the request was not sent.
    void onCancelled(std::string_view endpoint);

    // What another instance sent; replaces what it said before.
    void onPeerSent(std::string_view peer, const SentAges&, TimePoint);

    // What this instance sent in the last seconds, for the others.
    SentAges sentAges(TimePoint) const;

    // Drops the counts of an endpoint that is gone.
    void removeEndpoint(std::string_view endpoint);

private:
    using SentTimes = std::map<std::string, std::deque<TimePoint>, std::less<>>;

    static size_t countSince(const SentTimes&, std::string_view endpoint, TimePoint since);

    double drawDelay();

    std::mt19937_64 m_random;
    // Share of a window by which this instance waits longer if the rate is low.
    double m_delay;
    // In the order of sending.
    SentTimes m_sent;
    std::map<std::string, SentTimes, std::less<>> m_peers;
};

} // namespace orioletrail
