#include "admission/cold-limit.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("all instances together keep to a cold endpoint's rate in every second")
{
    constexpr size_t instances = 4;
    constexpr double perSecond = 28;
    std::vector<ColdLimit> limits(instances);
    std::vector<TimePoint> sent;
    TimePoint now { std::chrono::hours(1) };
    // Each instance would send a hundred a second.
    for (int i = 0; i < 300; ++i) {
        now += Millis(10);
        for (ColdLimit& limit : limits) {
            if (!limit.mayTake("e", perSecond, instances, now))
                continue;
            limit.onSent("e", now);
            sent.push_back(now);
        }
    }
    for (const TimePoint from : sent) {
        const auto inSecond = std::count_if(sent.begin(), sent.end(), [&](TimePoint at) { return at >= from && at < from + Millis(1000); });
        CHECK(inSecond <= perSecond);
    }
    CHECK(sent.size() >= 2 * static_cast<size_t>(perSecond));
}

TEST_CASE("an instance may always send one, and forgets endpoints that have gone")
{
    ColdLimit limit;
    const TimePoint now { std::chrono::hours(1) };
    CHECK(limit.mayTake("e", 2, 10, now));
    limit.onSent("e", now);
    CHECK_FALSE(limit.mayTake("e", 2, 10, now + Millis(999)));
    CHECK(limit.mayTake("e", 2, 10, now + Millis(1000)));
    limit.forget("e");
    CHECK(limit.mayTake("e", 2, 10, now));
}
