#include "transport/heartbeat.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("a heartbeat proves freshness only as of the one that it answers")
{
    Heartbeat entry;
    Heartbeat sidecar;
    const TimePoint sent(Millis(1000));
    const Ping first = entry.make(1, Millis(0), Reason::None, sent);
    CHECK_FALSE(sidecar.receive(first));
    const Ping answer = sidecar.make(5, Millis(300), Reason::ZoneOut, TimePoint(Millis(77'000)));
    // The proof is dated from when the first heartbeat was sent, however late the answer is read.
    const auto proof = entry.receive(answer);
    REQUIRE(proof);
    CHECK(proof->asked == sent);
    CHECK(proof->age == Millis(300));
    CHECK(entry.peerRevision() == 5);
    CHECK(entry.peerClosed() == Reason::ZoneOut);
}
