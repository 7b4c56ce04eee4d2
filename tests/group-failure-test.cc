// All ranks of a group run each step with the same expert map while leaders, ranks, connections and the platform
// fail.
#include "tests/cluster.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

constexpr int rankCount = 4;

ClusterOptions groupOptions()
{
    ClusterOptions options;
    options.zones = 1;
    options.enginesPerZone = 0;
    options.servicesPerZone = 0;
    options.ranks = rankCount;
    return options;
}

// Returns whether every rank runs at least this many more steps within ten seconds.
bool allRanksAdvance(const Cluster& cluster, size_t steps)
{
    std::array<size_t, rankCount> before {};
    for (int rank = 0; rank < rankCount; ++rank)
        before[static_cast<size_t>(rank)] = cluster.stepCount(rank);
    const TimePoint until = Clock::now() + Millis(10'000);
    for (int rank = 0; rank < rankCount;) {
        if (cluster.stepCount(rank) >= before[static_cast<size_t>(rank)] + steps)
            ++rank;
        else if (Clock::now() > until)
            return false;
        else
            std::this_thread::sleep_for(Millis(50));
    }
    return true;
}

} // namespace

TEST_CASE("a group changes its map under load, and every step runs with one map")
{
    Cluster cluster(groupOptions());
    REQUIRE(cluster.waitForGroupLeader());
    REQUIRE(allRanksAdvance(cluster, 60));
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(verdict.mapVersions >= 2);
}

TEST_CASE("a leader that is killed is replaced and the group goes on")
{
    Cluster cluster(groupOptions());
    const auto leader = cluster.waitForGroupLeader();
    REQUIRE(leader);
    REQUIRE(allRanksAdvance(cluster, 10));
    cluster.rank(*leader).signal(SIGKILL);
    cluster.startRank(*leader);
    REQUIRE(allRanksAdvance(cluster, 10));
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a leader that is frozen past its lease and resumed runs no step beside its successor")
{
    Cluster cluster(groupOptions());
    const auto leader = cluster.waitForGroupLeader();
    REQUIRE(leader);
    REQUIRE(allRanksAdvance(cluster, 10));
    cluster.rank(*leader).signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(4000));
    cluster.rank(*leader).signal(SIGCONT);
    REQUIRE(allRanksAdvance(cluster, 20));
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a rank and its engine that are replaced load the map again before the group goes on")
{
    Cluster cluster(groupOptions());
    REQUIRE(cluster.waitForGroupLeader());
    REQUIRE(allRanksAdvance(cluster, 10));
    cluster.rank(3).signal(SIGKILL);
    cluster.rankEngine(3).signal(SIGKILL);
    cluster.startRankEngine(3);
    cluster.startRank(3);
    REQUIRE(allRanksAdvance(cluster, 10));
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a rank that is frozen holds the group only while it is frozen")
{
    Cluster cluster(groupOptions());
    REQUIRE(cluster.waitForGroupLeader());
    REQUIRE(allRanksAdvance(cluster, 10));
    cluster.rank(3).signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(2500));
    cluster.rank(3).signal(SIGCONT);
    REQUIRE(allRanksAdvance(cluster, 10));
    CHECK(cluster.judge().isClean());
}

TEST_CASE("connections to ranks that go silent are replaced and the group goes on")
{
    ClusterOptions options = groupOptions();
    options.relays = true;
    Cluster cluster(options);
    REQUIRE(cluster.waitForGroupLeader());
    REQUIRE(allRanksAdvance(cluster, 10));
    for (int rank = 0; rank < rankCount; ++rank)
        cluster.rankRelay(rank).signal(SIGUSR1);
    REQUIRE(allRanksAdvance(cluster, 10));
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a frozen map stays until operators resume it")
{
    Cluster cluster(groupOptions());
    REQUIRE(cluster.waitForGroupLeader());
    REQUIRE(allRanksAdvance(cluster, 20));
    REQUIRE(cluster.runCtl("freeze map g").status == 0);
    std::this_thread::sleep_for(Millis(2500));
    const std::string frozen = cluster.runCtl("show maps").text;
    CHECK(frozen.find("yes") != std::string::npos);
    REQUIRE(allRanksAdvance(cluster, 20));
    CHECK(cluster.runCtl("show maps").text == frozen);
    REQUIRE(cluster.runCtl("resume map g").status == 0);
    REQUIRE(allRanksAdvance(cluster, 60));
    CHECK(cluster.runCtl("show maps").text != frozen);
    CHECK(cluster.judge().isClean());
}

TEST_CASE("in a platform outage the group goes on with its map")
{
    Cluster cluster(groupOptions());
    REQUIRE(cluster.waitForGroupLeader());
    REQUIRE(allRanksAdvance(cluster, 10));
    cluster.setFault("platform", "down");
    std::this_thread::sleep_for(Millis(3000));
    REQUIRE(allRanksAdvance(cluster, 20));
    cluster.setFault("platform", "none");
    REQUIRE(allRanksAdvance(cluster, 40));
    CHECK(cluster.judge().isClean());
}

TEST_CASE("answers lost by the platform make no second map of one version")
{
    Cluster cluster(groupOptions());
    REQUIRE(cluster.waitForGroupLeader());
    cluster.setFault("platform", "drop", 0, 40);
    REQUIRE(allRanksAdvance(cluster, 60));
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(verdict.mapVersions >= 2);
    CHECK(cluster.droppedAnswerCount() > 0);
}
