// Limits retries to a share of the requests in a sliding time window, for each service.
#pragma once

#include "base/types.h"

#include <deque>
#include <map>

namespace orioletrail {

struct RetryWindowSettings {
    // Retries allowed per request in the window.
    double ratio = 0.2;
    // Additional retries allowed in each window, for this instance alone.
    double slack = 10;
    Millis window { 10'000 };
};

// Each instance applies the ratio to its own requests, so the retries of all instances stay within
// the ratio of all requests without coordination. Only the slack has to be divided among the
// instances.
class RetryWindow {
public:
    explicit RetryWindow(const RetryWindowSettings& settings)
        : m_settings(settings)
    {
    }

    // A request arrived; retries are not counted here.
    void onRequest(std::string_view service, TimePoint);

    // True if one more retry is allowed now.
    bool hasRoom(std::string_view service, TimePoint);

    // Counts one retry and returns true if it is allowed, otherwise returns false.
    bool tryRetry(std::string_view service, TimePoint);

    // Number of retries allowed in the window that ends now.
    double limit(std::string_view service, TimePoint);
    // Number of retries counted in the window that ends now.
    size_t spent(std::string_view service, TimePoint);

private:
    struct Service {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    Service& serviceOf(std::string_view name);
    void dropExpired(Service&, TimePoint) const;

    RetryWindowSettings m_settings;
    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace orioletrail
