#include "direct/live-peers.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

const InstanceRun first { "entry-a", 11 };
const InstanceRun second { "entry-b", 22 };
constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

TEST_CASE("the first entry by name leads next, as long as it is heard")
{
    LivePeers peers;
    CHECK(peers.isFirst("entry-c", start));
    CHECK_FALSE(peers.first(start));
    peers.onHeard(second, false, start);
    peers.onHeard(first, false, start);
    CHECK(peers.first(start) == first);
    CHECK_FALSE(peers.isFirst("entry-c", start));
    CHECK(peers.isFirst("entry-0", start));
    const TimePoint later = start + Millis(600);
    peers.onHeard(second, false, later);
    CHECK(peers.first(later) == second);
    CHECK(peers.isFirst("entry-a", later));
}

TEST_CASE("an entry that is stopping is passed over, and its next process is not")
{
    LivePeers peers;
    peers.onHeard(first, true, start);
    CHECK_FALSE(peers.first(start));
    CHECK(peers.isFirst("entry-c", start));
    peers.onHeard(second, false, start);
    CHECK(peers.first(start) == second);
    const InstanceRun next { first.instance, 33 };
    peers.onHeard(next, false, start);
    CHECK(peers.first(start) == next);
}
