#include "transport/heartbeat.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("a heartbeat proves freshness only as of the one that it answers")
{
    Heartbeat a;
    Heartbeat b;
    const TimePoint sent(Millis(1000));
    const Ping first = a.make(1, Millis(0), Reason::None, sent);
    CHECK_FALSE(b.receive(first));
    const Ping answer = b.make(5, Millis(300), Reason::ZoneOut, TimePoint(Millis(77'000)));
    // However late it is read, it counts from when the first was sent.
    const auto proof = a.receive(answer);
    REQUIRE(proof);
    CHECK(proof->asked == sent);
    CHECK(proof->age == Millis(300));
    CHECK(a.peerRevision() == 5);
    CHECK(a.peerClosed() == Reason::ZoneOut);
}
