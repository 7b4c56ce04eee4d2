#include "retry/poison.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("after one death a request runs alone, after two it is refused")
{
    PoisonRecords records;
    const TimePoint now;
    CHECK(records.verdict("d", now) == PoisonVerdict::Run);
    CHECK(records.onDeath("d", now) == 1);
    CHECK(records.verdict("d", now) == PoisonVerdict::RunAlone);
    CHECK(records.onDeath("d", now) == 2);
    CHECK(records.verdict("d", now) == PoisonVerdict::Refuse);
    CHECK(records.verdict("d", now + std::chrono::hours(1)) == PoisonVerdict::Run);
}

TEST_CASE("an innocent neighbour is cleared when it completes")
{
    PoisonRecords records;
    const TimePoint now;
    records.onDeath("d", now);
    records.onCompleted("d");
    CHECK(records.verdict("d", now) == PoisonVerdict::Run);
}

TEST_CASE("numbers from peers only raise what is known")
{
    PoisonRecords records;
    const TimePoint now;
    records.merge("d", 2, now);
    records.merge("d", 1, now);
    CHECK(records.verdict("d", now) == PoisonVerdict::Refuse);
}

TEST_CASE("the number of records is bounded")
{
    PoisonRecords records({ 2, Millis(1000), 10 });
    for (int i = 0; i < 100; ++i)
        records.onDeath(std::to_string(i), TimePoint(Millis(i)));
    CHECK(records.size() == 10);
    CHECK(records.verdict("99", TimePoint(Millis(99))) == PoisonVerdict::RunAlone);
}
