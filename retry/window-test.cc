#include "retry/window.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace orioletrail;

TEST_CASE("retries of all instances stay within the share and the slack in every window")
{
    constexpr int instances = 4;
    constexpr double ratio = 0.2;
    constexpr double slack = 90;
    std::vector<RetryWindow> windows(instances, RetryWindow({ ratio, slack / (2 * instances), Millis(10'000) }));
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    TimePoint now { std::chrono::hours(1) };
    for (int i = 0; i < 3000; ++i) {
        now += Millis(10);
        RetryWindow& window = windows[static_cast<size_t>(i) % instances];
        window.onRequest("print", now);
        requests.push_back(now);
        // Every request fails and is retried if that is allowed.
        if (window.tryRetry("print", now))
            retries.push_back(now);
    }
    for (TimePoint from = requests.front(); from < now; from += Millis(500)) {
        const auto within = [&](const std::vector<TimePoint>& times) {
            return std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at >= from && at < from + Millis(10'000); });
        };
        CHECK(static_cast<double>(within(retries)) <= ratio * static_cast<double>(within(requests)) + slack);
    }
    CHECK(retries.size() > 400);
}

TEST_CASE("each service has its own window")
{
    RetryWindow window({ 0, 1, Millis(1000) });
    const TimePoint now { std::chrono::hours(1) };
    CHECK(window.tryRetry("a", now));
    CHECK_FALSE(window.tryRetry("a", now));
    CHECK(window.tryRetry("b", now));
    CHECK(window.tryRetry("a", now + Millis(1000)));
}
