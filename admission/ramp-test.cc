#include "admission/ramp.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr Millis usual { 100 };

Ramp makeWarm()
{
    Ramp ramp({ 2, 16, 64, 4.0, 3 });
    ramp.onReport({ 7, 0, 0.8 });
    for (int i = 0; i < 200; ++i) {
        ramp.onCompleted(usual, false);
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

TEST_CASE("the limit rises on completed work, never on reports alone")
{
    Ramp ramp({ 2, 16, 56, 4.0, 3 });
    for (int i = 0; i < 1000; ++i)
        ramp.onReport({ 1, 0, 0.5 });
    CHECK(ramp.limit() == 2);
    for (int i = 0; i < 3; ++i)
        ramp.onCompleted(usual, false);
    CHECK(ramp.limit() == 2);
    ramp.onCompleted(usual, false);
    CHECK(ramp.limit() == 3);
}

TEST_CASE("a warm endpoint reaches the warm limit and no more")
{
    CHECK(makeWarm().limit() == 16);
}

TEST_CASE("a new start number cuts the limit at once")
{
    Ramp ramp = makeWarm();
    ramp.onReport({ 8, 0, 0.8 });
    CHECK(ramp.limit() == 2);
    CHECK(ramp.coldCuts() == 1);
}

TEST_CASE("a fall in the hit rate cuts the limit at once")
{
    Ramp ramp = makeWarm();
    ramp.onReport({ 7, 0, 0.1 });
    CHECK(ramp.limit() == 2);
}

TEST_CASE("a step in latency or failures in a row cut the limit")
{
    Ramp slow = makeWarm();
    for (int i = 0; i < 3; ++i)
        slow.onCompleted(usual * 10, false);
    CHECK(slow.limit() == 2);
    Ramp failing = makeWarm();
    for (int i = 0; i < 3; ++i)
        failing.onCompleted(usual, true);
    CHECK(failing.limit() == 2);
}

TEST_CASE("one slow answer among healthy ones cuts nothing")
{
    Ramp ramp = makeWarm();
    for (int i = 0; i < 10; ++i) {
        ramp.onCompleted(usual * 10, false);
        ramp.onCompleted(usual, false);
    }
    CHECK(ramp.limit() == 16);
}

TEST_CASE("a lost endpoint bears nothing until it is probed again")
{
    Ramp ramp = makeWarm();
    ramp.onLost();
    CHECK(ramp.limit() == 0);
    ramp.onCompleted(usual, false);
    CHECK(ramp.limit() == 0);
    ramp.onReport({ 7, 0, 0.8 });
    CHECK(ramp.limit() == 2);
}
