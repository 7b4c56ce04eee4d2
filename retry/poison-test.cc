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

TEST_CASE("a request that completes is cleared")
{
    PoisonRecords records;
    const TimePoint now;
    records.onDeath("d", now);
    records.onCompleted("d");
    CHECK(records.verdict("d", now) == PoisonVerdict::Run);
}

TEST_CASE("deaths in quick succession count once, and changed counts are listed for peers")
{
    PoisonSettings settings;
    settings.refuseAfter = 3;
    settings.deathMergeWindow = Millis(1000);
    PoisonRecords records(settings);
    const TimePoint start { std::chrono::hours(1) };
    for (int death = 0; death < 5; ++death)
        records.onDeath("d", start);
    CHECK(records.verdict("d", start) == PoisonVerdict::RunAlone);
    records.onDeath("d", start + Millis(1000));
    CHECK(records.onDeath("d", start + Millis(2000)) == 3);
    CHECK(records.verdict("d", start + Millis(2000)) == PoisonVerdict::Refuse);
    CHECK(records.changedSince(start + Millis(1500)).at("d") == 3);
    CHECK(records.changedSince(start + Millis(2001)).empty());
}

TEST_CASE("counts from peers never lower the own count")
{
    PoisonRecords records;
    const TimePoint now;
    records.merge("d", 2, now);
    records.merge("d", 1, now);
    CHECK(records.verdict("d", now) == PoisonVerdict::Refuse);
}

TEST_CASE("the number of records is limited")
{
    PoisonRecords records({ 2, Millis(1000), 10 });
    for (int i = 0; i < 100; ++i)
        records.onDeath(std::to_string(i), TimePoint(Millis(i)));
    CHECK(records.size() == 10);
    CHECK(records.verdict("99", TimePoint(Millis(99))) == PoisonVerdict::RunAlone);
}
