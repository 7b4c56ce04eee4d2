#include "telemetry/refusals.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("refusals are counted by minute, service, reason and outcome")
{
    RefusalMinutes minutes;
    minutes.onRefusal(10, "print", Reason::NoCapacity, Outcome::NotRun);
    minutes.onRefusal(10, "print", Reason::NoCapacity, Outcome::NotRun);
    minutes.onRefusal(10, "print", Reason::EndpointDied, Outcome::MayHaveRun);
    minutes.onRefusal(12, "labels", Reason::NoCapacity, Outcome::NotRun);
    minutes.onAnswer(10, "print");
    const std::vector<RefusalCount> counts = minutes.counts();
    REQUIRE(counts.size() == 3);
    CHECK(counts[0].minute == 10);
    CHECK(counts[0].count + counts[1].count == 3);
    CHECK(counts[2].service == "labels");
    CHECK(minutes.answers(10, "print") == 1);
    CHECK(minutes.answers(11, "print") == 0);
    CHECK(minutes.minutesWithRefusals() == 2);
}

TEST_CASE("refusals that the caller caused do not count as minutes with refusals")
{
    RefusalMinutes minutes;
    minutes.onRefusal(10, "", Reason::Unauthorized, Outcome::NotRun);
    minutes.onRefusal(10, "print", Reason::AccountLimit, Outcome::NotRun);
    CHECK(minutes.minutesWithRefusals() == 0);
    CHECK(minutes.counts().size() == 2);
}

TEST_CASE("counts older than the last 1440 minutes are discarded")
{
    RefusalMinutes minutes;
    for (int64_t minute = 0; minute < 5000; ++minute)
        minutes.onRefusal(minute, "print", Reason::NoCapacity, Outcome::NotRun);
    CHECK(minutes.minutesWithRefusals() == 1440);
    CHECK(minutes.counts().front().minute == 3560);
}
