// Bounds retries to a share of the requests in a sliding window, by service.
#pragma once

#include "base/types.h"

#include <deque>
#include <map>

namespace orioletrail {

struct RetryWindowSettings {
    // Retries for each request in the window.
    double ratio = 0.2;
    // Retries beyond that, for this instance alone.
    double slack = 10;
    Millis window { 10'000 };
};

// An instance that keeps to its own share keeps the sum over all instances within the share of
// all requests, since the shares add up; only the slack has to be divided among the instances.
class RetryWindow {
public:
    explicit RetryWindow(const RetryWindowSettings& settings)
        : m_settings(settings)
    {
    }

    void onRequest(std::string_view service, TimePoint);

    // True if the service's window has room for one retry.
    bool hasRoom(std::string_view service, TimePoint);

    // Takes one retry if the service's window has room for it.
    bool tryRetry(std::string_view service, TimePoint);

private:
    struct Service {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    Service& serviceOf(std::string_view name);
    void dropOld(Service&, TimePoint) const;

    RetryWindowSettings m_settings;
    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace orioletrail
