#include "routing/health.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

TEST_CASE("an unreachable endpoint is avoided with increasing backoff until it answers")
{
    EndpointHealth health;
    health.onUnreachable("a", start);
    CHECK(health.isAvoided("a", true, start + Millis(249)));
    CHECK_FALSE(health.isAvoided("a", true, start + Millis(250)));
    // Requests that were lost at the same time count once.
    health.onUnreachable("a", start + Millis(10));
    CHECK_FALSE(health.isAvoided("a", true, start + Millis(250)));
    health.onUnreachable("a", start + Millis(300));
    CHECK(health.isAvoided("a", true, start + Millis(799)));
    health.onAnswer("a", Millis(20), false, start + Millis(400));
    CHECK_FALSE(health.isAvoided("a", true, start + Millis(401)));
    for (int i = 0; i < 30; ++i)
        health.onAnswer("a", Millis(20), true, start);
    CHECK(health.failureShare("a") > 0.9);
    CHECK(health.meanFirstByte("a") == Millis(20));
    health.removeEndpoint("a");
    CHECK(health.failureShare("a") == 0);
}

TEST_CASE("a silent endpoint is tried with idempotent requests first")
{
    EndpointHealth health;
    health.onAnswer("e", Millis(20), false, start);
    CHECK(health.silenceLimit("e") >= Millis(160));
    CHECK(health.silenceLimit("e") < Millis(500));
    CHECK(health.silenceLimit("unknown") < Millis(500));
    CHECK(health.hasAnsweredSince("e", start));
    CHECK_FALSE(health.hasAnsweredSince("e", start + Millis(1)));
    health.onSilent("e", start);
    CHECK(health.isAvoided("e", true, start));
    CHECK(health.isAvoided("e", false, start));
    const TimePoint later = start + Millis(1000);
    CHECK_FALSE(health.isAvoided("e", true, later));
    CHECK(health.isAvoided("e", false, later));
    health.onAnswer("e", Millis(20), false, later);
    CHECK_FALSE(health.isAvoided("e", false, later));
    // Without idempotent requests to test the endpoint, the backoff ends by itself.
    health.onSilent("e", later);
    CHECK_FALSE(health.isAvoided("e", false, later + Millis(15'000)));
}
