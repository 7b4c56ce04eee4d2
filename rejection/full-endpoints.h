// Keeps what endpoints that are full have said of their load, also to other instances.
#pragma once

#include "base/types.h"

#include <map>
#include <set>

namespace orioletrail {

// The load of an endpoint that rejected a request or reported to be full, as instances tell each other.
struct FullReport {
    // Hash of the endpoint and the start of its process, for which alone the report holds.
    uint64_t process = 0;
    // Requests from all instances that it has.
    uint32_t load = 0;
    // In messages: time since it said so.
    Millis age { 0 };
};

using FullReports = std::map<std::string, FullReport, std::less<>>;

// Requests at an endpoint that this instance counts: its own, and those that it hears of from others.
struct CountedRequests {
    double own = 0;
    double others = 0;
};

// The load that this addresses: instances that start, stop or lose contact with each other count too few
// requests at an endpoint, send to it although it is full, and each of them learns that by a rejection of its
// own. What an endpoint says of its load holds for a short time, less the requests that are known to have
// ended since, so that a place that has become free is used at once.
class FullEndpoints {
public:
    // Length of a turn, in which others hear that a place was taken, and most instances that take turns.
    static constexpr Millis turn { 5 };
    static constexpr size_t maxTurns = 40;

    // How long the load that an endpoint has stated is used. Below 300 ms, the longest time that an endpoint
    // with room may stay closed, less the interval of status messages, by which others hear of it late.
    static constexpr Millis holdTime { 200 };
    // Most endpoints in one report.
    static constexpr size_t maxReported = 128;
    // Share of its limit from which an endpoint is nearly full. In the test with 16 entries 0.8 to 1.5 of 100
    // arrivals are rejected with 0.5, 1.4 to 2.0 with 0.7.
    static constexpr double nearlyFull = 0.5;
    // With more instances than this, they hear of full endpoints by status messages only, since the messages sent
    // at once grow with the square of the number of instances.
    static constexpr size_t maxToldAtOnce = 64;

    // The endpoint rejected a request because it is full. `load` counts its requests. Returns whether this
    // instance did not count it as full.
    bool onRejected(std::string_view endpoint, uint64_t process, uint32_t load, const CountedRequests&, TimePoint);

    // This instance sent a request to an endpoint that is nearly full, as far as it counts. `counted` includes the
    // request. Others hear of it at once: by status messages alone they would send to the same places for as long
    // as their interval.
    void onNearlyFull(std::string_view endpoint, uint64_t process, uint32_t load, const CountedRequests&, TimePoint);

    // The endpoint reported its load with an answer; it can run `slots` requests. Used if it has more than are
    // counted, and in place of what it said before.
    void onReported(std::string_view endpoint, uint64_t process, uint32_t load, uint32_t slots, const CountedRequests&, TimePoint);

    // Another instance heard from the endpoint. The later statement counts. Returns whether it was news.
    bool onPeerReport(std::string_view endpoint, const FullReport&, const CountedRequests&, TimePoint);

    // What this instance heard itself from endpoints that are full, for others: the latest first if there are
    // too many.
    FullReports report(TimePoint) const;

    // What this instance has learnt since the last call and others should hear at once: rejections and endpoints
    // that it sent to and that are nearly full.
    FullReports takeNews(TimePoint);
    bool hasNews() const { return !m_news.empty(); }

    // Requests that the endpoint has at least, from what it said last; 0 if that is too long ago.
    double loadOf(std::string_view endpoint, uint64_t process, const CountedRequests&, TimePoint) const;

    // Number of endpoints whose last statement is in use.
    size_t size(TimePoint) const;

    void removeEndpoint(std::string_view endpoint);

private:
    struct Statement {
        uint64_t process = 0;
        uint32_t load = 0;
        bool isFull = false;
        bool isOwn = false;
        // The requests counted when this instance learnt of it.
        CountedRequests counted;
        TimePoint stated;
    };

    bool isInUse(const Statement& statement, TimePoint now) const { return now - statement.stated < holdTime; }
    void keep(std::string_view endpoint, const Statement&);

    std::map<std::string, Statement, std::less<>> m_statements;
    std::set<std::string, std::less<>> m_news;
};

// Whether an instance may take the last place of an endpoint for a request that waits. Instances hear at the same
// time that a place is free and would all send a request there. So each has its turn, once in as many turns as
// there are instances; their order is another one for each endpoint.
bool isTurn(std::string_view instance, std::string_view endpoint, size_t instances, TimePoint);

} // namespace orioletrail
