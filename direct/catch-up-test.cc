#include "direct/catch-up.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

TimePoint at(int millis)
{
    return start + Millis(millis);
}

} // namespace

TEST_CASE("an entry that starts answers once it has the configuration of its peers")
{
    CatchUp catchUp(start);
    CHECK_FALSE(catchUp.isReady(0, at(10)));
    CHECK_FALSE(catchUp.isReady(4, at(10)));
    catchUp.onJoined({ "b", "c", "d" }, at(15));
    CHECK_FALSE(catchUp.isReady(4, at(20)));
    // A peer that has just started too knows no more.
    catchUp.onPeer("d", "10.0.0.4:7340", 0, {}, at(25));
    CHECK_FALSE(catchUp.isReady(4, at(25)));
    catchUp.onPeer("b", "10.0.0.2:7340", 7, {}, at(30));
    catchUp.onPeer("c", "10.0.0.3:7340", 4, {}, at(30));
    CHECK_FALSE(catchUp.isReady(4, at(40)));
    CHECK(catchUp.fetchSource(4, at(40)) == "10.0.0.2:7340");
    CHECK_FALSE(catchUp.fetchSource(4, at(50)));
    catchUp.onFetched();
    CHECK(catchUp.isReady(7, at(60)));
    CHECK_FALSE(catchUp.fetchSource(7, at(60)));
    CHECK(catchUp.isReady(7, at(70)));
}

TEST_CASE("an entry without peers answers at once, and one that cannot hear or catch up with them after a while")
{
    CatchUp alone(start);
    alone.onJoined({}, at(5));
    CHECK(alone.isReady(1, at(10)));
    CatchUp unheard(start);
    CHECK_FALSE(unheard.isReady(1, at(999)));
    unheard.onJoined({ "b", "c" }, at(900));
    CHECK_FALSE(unheard.isReady(1, at(999)));
    CHECK(unheard.isReady(1, at(1000)));
    CatchUp joined(start);
    joined.onJoined({ "b", "c" }, at(100));
    joined.onPeer("b", "10.0.0.2:7340", 0, {}, at(150));
    CHECK_FALSE(joined.isReady(1, at(499)));
    CHECK(joined.isReady(1, at(500)));
    // All entries have started at once.
    CatchUp together(start);
    together.onJoined({ "b", "c" }, at(100));
    together.onPeer("b", "10.0.0.2:7340", 0, {}, at(150));
    CHECK_FALSE(together.isReady(1, at(160)));
    together.onPeer("c", "10.0.0.3:7340", 0, {}, at(160));
    CHECK(together.isReady(1, at(160)));
    CatchUp behind(start);
    for (int millis = 100; millis < 3000; millis += 100) {
        behind.onPeer("b", "10.0.0.2:7340", 2, {}, at(millis));
        CHECK_FALSE(behind.isReady(1, at(millis)));
    }
    behind.onPeer("b", "10.0.0.2:7340", 2, {}, at(3000));
    CHECK(behind.isReady(1, at(3000)));
}

TEST_CASE("a running entry fetches a version only if the store has not brought it for a while")
{
    CatchUp catchUp(start);
    catchUp.onJoined({}, at(0));
    REQUIRE(catchUp.isReady(1, at(0)));
    catchUp.onPeer("b", "10.0.0.2:7340", 2, {}, at(10'000));
    CHECK_FALSE(catchUp.fetchSource(1, at(10'000)));
    CHECK_FALSE(catchUp.fetchSource(2, at(10'100)));
    catchUp.onPeer("b", "10.0.0.2:7340", 3, {}, at(10'200));
    CHECK_FALSE(catchUp.fetchSource(2, at(10'200)));
    catchUp.onPeer("b", "10.0.0.2:7340", 3, {}, at(10'500));
    CHECK(catchUp.fetchSource(2, at(10'500)) == "10.0.0.2:7340");
    CHECK_FALSE(catchUp.fetchSource(2, at(12'000)));
}

TEST_CASE("zones that peers keep closed count for an entry that has just started")
{
    CatchUp catchUp(start);
    catchUp.onPeer("b", "10.0.0.2:7340", 2, { "z2" }, at(100));
    CHECK(catchUp.closedZones(at(200)).contains("z2"));
    CHECK(catchUp.closedZones(at(1200)).empty());
    catchUp.onPeer("b", "10.0.0.2:7340", 2, { "z2" }, at(4000));
    CHECK(catchUp.closedZones(at(4000)).empty());
}
