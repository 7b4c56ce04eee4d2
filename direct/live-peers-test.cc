#include "direct/live-peers.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

const InstanceProcess first { "entry-a", 11 };
const InstanceProcess second { "entry-b", 22 };
constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

TEST_CASE("the live entry with the smallest name leads next")
{
    LivePeers peers;
    CHECK(peers.isPreferredLeader("entry-c", start));
    CHECK_FALSE(peers.firstLivePeer(start));
    peers.onStatus(second, false, start);
    peers.onStatus(first, false, start);
    CHECK(peers.firstLivePeer(start) == first);
    CHECK_FALSE(peers.isPreferredLeader("entry-c", start));
    CHECK(peers.isPreferredLeader("entry-0", start));
    const TimePoint later = start + Millis(600);
    peers.onStatus(second, false, later);
    CHECK(peers.firstLivePeer(later) == second);
    CHECK(peers.isPreferredLeader("entry-a", later));
}

TEST_CASE("a stopping entry is skipped, its next process is not")
{
    LivePeers peers;
    peers.onStatus(first, true, start);
    CHECK_FALSE(peers.firstLivePeer(start));
    CHECK(peers.isPreferredLeader("entry-c", start));
    peers.onStatus(second, false, start);
    CHECK(peers.firstLivePeer(start) == second);
    const InstanceProcess restarted { first.instance, 33 };
    peers.onStatus(restarted, false, start);
    CHECK(peers.firstLivePeer(start) == restarted);
}
