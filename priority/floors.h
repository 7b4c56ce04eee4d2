// Minimum shares of routes, accounts and sizes, and accounts that use more than their share.
#pragma once

#include "priority/rate-meter.h"

#include <deque>
#include <map>

namespace orioletrail {

// Requests that belong together in how often they are served.
struct FloorRequest {
    std::string_view route;
    // Empty for a caller without an account.
    std::string_view account;
    int priority = 0;
    // Tokens of prompt and answer together, 0 if unknown.
    uint64_t tokens = 0;
    // The caller comes back after a refusal, so that it was counted before.
    bool isReturn = false;
};

// Counts of one entry, which gets a random sample of all requests of a service.
class Floors {
public:
    void onArrival(const FloorRequest&, TimePoint);
    void onServed(const FloorRequest&, TimePoint);

    // True if the request's route or account is served less than a quarter as often as all requests, or the
    // large requests of its route less than half as often as the route. Such a request goes first.
    bool isBelow(const FloorRequest&, TimePoint) const;

    // True if the request's account is served more than other active accounts of its priority on average, while
    // it asks for a multiple of its share. It then comes after the others of its priority.
    bool isExcess(const FloorRequest&, TimePoint) const;

private:
    struct Share {
        DecayingCount asked;
        DecayingCount served;
    };

    // Sizes of a route: 0 is the largest tenth, 1 the fifth below it, 2 the rest.
    using SizeClass = int;

    struct RouteSizes {
        std::deque<uint64_t> latest;
        // Tokens from which on a request is among the largest tenth, and among the largest three tenths.
        uint64_t largest = 0;
        uint64_t large = 0;
    };

    SizeClass sizeClass(const FloorRequest&) const;
    Share& shareOf(std::string key, TimePoint);
    // Keys of the request's classes, from that of the whole service.
    static std::string routeKey(const FloorRequest&);
    static std::string accountKey(const FloorRequest&);
    std::string sizeKey(const FloorRequest&) const;
    // Served share relative to that of the other key is below the factor.
    bool isBelow(const std::string& key, const std::string& reference, double factor, TimePoint) const;

    std::map<std::string, Share, std::less<>> m_shares;
    std::map<std::string, RouteSizes, std::less<>> m_sizes;
};

} // namespace orioletrail
