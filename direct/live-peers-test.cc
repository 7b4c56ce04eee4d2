#include "direct/live-peers.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

const InstanceProcess first { "entry-a", 11 };
const InstanceProcess second { "entry-b", 22 };
constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

TEST_CASE("of live entries with the same processor time the one with the smallest name leads next")
{
    LivePeers peers;
    CHECK(peers.isPreferredLeader("entry-c", 0.2, start));
    CHECK_FALSE(peers.nextLeader(start));
    peers.onStatus(second, false, 0.2, start);
    peers.onStatus(first, false, 0.2, start);
    CHECK(peers.nextLeader(start) == first);
    CHECK_FALSE(peers.isPreferredLeader("entry-c", 0.2, start));
    CHECK(peers.isPreferredLeader("entry-0", 0.2, start));
    const TimePoint later = start + Millis(600);
    peers.onStatus(second, false, 0.2, later);
    CHECK(peers.nextLeader(later) == second);
    CHECK(peers.isPreferredLeader("entry-a", 0.2, later));
}

TEST_CASE("a stopping entry is skipped, its next process is not")
{
    LivePeers peers;
    peers.onStatus(first, true, 0.2, start);
    CHECK_FALSE(peers.nextLeader(start));
    CHECK(peers.isPreferredLeader("entry-c", 0.2, start));
    peers.onStatus(second, false, 0.2, start);
    CHECK(peers.nextLeader(start) == second);
    const InstanceProcess restarted { first.instance, 33 };
    peers.onStatus(restarted, false, 0.2, start);
    CHECK(peers.nextLeader(start) == restarted);
}

TEST_CASE("an entry with little processor time does not lead a large group while another has more")
{
    LivePeers peers;
    peers.onStatus(first, false, 0.18, start);
    peers.onStatus(second, false, 0.5, start);
    CHECK(peers.nextLeader(start) == second);
    CHECK_FALSE(peers.isPreferredLeader("entry-0", 0.18, start));
    CHECK(peers.isPreferredLeader("entry-0", 0.5, start));
    const TimePoint later = start + Millis(600);
    peers.onStatus(first, false, 0.18, later);
    CHECK(peers.nextLeader(later) == first);
}
