#include "admission/ramp.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr Millis normalFirstByte { 100 };

Ramp makeWarmRamp()
{
    Ramp ramp({ 2, 16, 64, 4.0, 3 });
    ramp.onReport({ 7, 0, 0.8 });
    for (int i = 0; i < 200; ++i) {
        ramp.onCompleted(normalFirstByte, false);
        ramp.onReport({ 7, 0, 0.8 });
    }
    return ramp;
}

} // namespace

TEST_CASE("an endpoint that was not probed bears nothing")
{
    Ramp ramp({});
    CHECK(ramp.limit() == 0);
    ramp.onReport({ 1, 0, 0 });
    CHECK(ramp.limit() == RampSettings {}.coldLimit);
}

TEST_CASE("the limit rises with completed work, never with reports alone")
{
    Ramp ramp({ 2, 16, 56, 4.0, 3 });
    for (int i = 0; i < 1000; ++i)
        ramp.onReport({ 1, 0, 0.5 });
    CHECK(ramp.limit() == 2);
    for (int i = 0; i < 3; ++i)
        ramp.onCompleted(normalFirstByte, false);
    CHECK(ramp.limit() == 2);
    ramp.onCompleted(normalFirstByte, false);
    CHECK(ramp.limit() == 3);
}

TEST_CASE("a warm endpoint reaches the warm limit and no more")
{
    CHECK(makeWarmRamp().limit() == 16);
}

TEST_CASE("a new start number cuts the limit at once")
{
    Ramp ramp = makeWarmRamp();
    ramp.onReport({ 8, 0, 0.8 });
    CHECK(ramp.limit() == 2);
    CHECK(ramp.coldCuts() == 1);
}

TEST_CASE("a drop in the cache hit rate cuts the limit at once")
{
    Ramp ramp = makeWarmRamp();
    ramp.onReport({ 7, 0, 0.1 });
    CHECK(ramp.limit() == 2);
}

TEST_CASE("a step in latency or failures in a row cut the limit")
{
    Ramp slow = makeWarmRamp();
    for (int i = 0; i < 3; ++i)
        slow.onCompleted(normalFirstByte * 10, false);
    CHECK(slow.limit() == 2);
    Ramp failing = makeWarmRamp();
    for (int i = 0; i < 3; ++i)
        failing.onCompleted(normalFirstByte, true);
    CHECK(failing.limit() == 2);
}

TEST_CASE("single slow answers among healthy ones do not cut the limit")
{
    Ramp ramp = makeWarmRamp();
    for (int i = 0; i < 10; ++i) {
        ramp.onCompleted(normalFirstByte * 10, false);
        ramp.onCompleted(normalFirstByte, false);
    }
    CHECK(ramp.limit() == 16);
}

TEST_CASE("the limit of a lost endpoint is 0 until it is probed again")
{
    Ramp ramp = makeWarmRamp();
    ramp.onLost();
    CHECK(ramp.limit() == 0);
    ramp.onCompleted(normalFirstByte, false);
    CHECK(ramp.limit() == 0);
    ramp.onReport({ 7, 0, 0.8 });
    CHECK(ramp.limit() == 2);
}
