#include "admission/cold-limit.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("all instances together keep to a cold endpoint's rate in every second")
{
    constexpr size_t instances = 4;
    constexpr double perSecond = 28;
    std::vector<ColdRateLimiter> limiters(instances);
    std::vector<TimePoint> sent;
    TimePoint now { std::chrono::hours(1) };
    // Each instance tries to send 100 requests per second.
    for (int i = 0; i < 300; ++i) {
        now += Millis(10);
        for (ColdRateLimiter& limiter : limiters) {
            if (!limiter.allows("e", perSecond, instances, now))
                continue;
            limiter.onSent("e", now);
            sent.push_back(now);
        }
    }
    for (const TimePoint from : sent) {
        const auto sentInSecond = std::count_if(sent.begin(), sent.end(), [&](TimePoint at) { return at >= from && at < from + Millis(1000); });
        CHECK(sentInSecond <= perSecond);
    }
    CHECK(sent.size() >= 2 * static_cast<size_t>(perSecond));
}

TEST_CASE("an instance may always send one request, and removing an endpoint drops its count")
{
    ColdRateLimiter limiter;
    const TimePoint now { std::chrono::hours(1) };
    CHECK(limiter.allows("e", 2, 10, now));
    limiter.onSent("e", now);
    CHECK_FALSE(limiter.allows("e", 2, 10, now + Millis(999)));
    CHECK(limiter.allows("e", 2, 10, now + Millis(1000)));
    limiter.removeEndpoint("e");
    CHECK(limiter.allows("e", 2, 10, now));
}
