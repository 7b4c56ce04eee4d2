#include "telemetry/refusals.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("refusals are counted by minute, service, reason and outcome")
{
    RefusalHistory history;
    history.onRefusal(10, "print", Reason::NoCapacity, Outcome::NotRun);
    history.onRefusal(10, "print", Reason::NoCapacity, Outcome::NotRun);
    history.onRefusal(10, "print", Reason::EndpointDied, Outcome::MayHaveRun);
    history.onRefusal(12, "labels", Reason::NoCapacity, Outcome::NotRun);
    history.onAnswer(10, "print");
    const std::vector<RefusalCount> counts = history.counts();
    REQUIRE(counts.size() == 3);
    CHECK(counts[0].minute == 10);
    CHECK(counts[0].count + counts[1].count == 3);
    CHECK(counts[2].service == "labels");
    CHECK(history.answers(10, "print") == 1);
    CHECK(history.answers(11, "print") == 0);
    CHECK(history.minutesWithRefusals() == 2);
}

TEST_CASE("refusals that the caller caused do not count as minutes with refusals")
{
    RefusalHistory history;
    history.onRefusal(10, "", Reason::Unauthorized, Outcome::NotRun);
    history.onRefusal(10, "print", Reason::AccountLimit, Outcome::NotRun);
    CHECK(history.minutesWithRefusals() == 0);
    CHECK(history.counts().size() == 2);
}

TEST_CASE("counts older than the last 1440 minutes are discarded")
{
    RefusalHistory history;
    for (int64_t minute = 0; minute < 5000; ++minute)
        history.onRefusal(minute, "print", Reason::NoCapacity, Outcome::NotRun);
    CHECK(history.minutesWithRefusals() == 1440);
    CHECK(history.counts().front().minute == 3560);
}
