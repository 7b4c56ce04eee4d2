#include "membership/freshness.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr Millis step { 1000 };

} // namespace

TEST_CASE("a confirmed configuration permits new work until the confirmation expires")
{
    Freshness freshness("a");
    TimePoint now(step * 100);
    CHECK_FALSE(freshness.mayAcceptWork(now, 3));
    freshness.confirm(now);
    CHECK(freshness.mayAcceptWork(now + step * 2, 3));
    CHECK_FALSE(freshness.mayAcceptWork(now + step * 3, 3));
}

TEST_CASE("an instance that resumes after a long freeze may not accept work")
{
    Freshness freshness("a");
    const TimePoint now(step * 100);
    freshness.confirm(now);
    freshness.recordContact("b", now);
    freshness.recordContact("c", now);
    CHECK_FALSE(freshness.mayAcceptWork(now + step * 60, 3));
}

TEST_CASE("with the platform down, hearing most zones is enough")
{
    Freshness freshness("a");
    const TimePoint now(step * 100);
    freshness.confirm(now);
    const TimePoint later = now + step * 60;
    freshness.recordContact("b", later);
    CHECK(freshness.mayAcceptWork(later, 3));
    CHECK_FALSE(freshness.mayAcceptWork(later, 4));
}

TEST_CASE("a zone that is cut off with its platform connection must refuse")
{
    Freshness freshness("a");
    const TimePoint now(step * 100);
    freshness.confirm(now);
    const TimePoint later = now + step * 10;
    freshness.recordContact("a", later);
    CHECK_FALSE(freshness.mayAcceptWork(later, 3));
}

TEST_CASE("a late, older confirmation does not increase the age")
{
    Freshness freshness("a");
    const TimePoint now(step * 100);
    freshness.confirm(now);
    freshness.confirm(now - step * 50);
    CHECK(freshness.age(now) == Millis(0));
}
