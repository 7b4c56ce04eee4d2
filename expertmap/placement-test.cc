#include "expertmap/planner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <random>
#include <set>

using namespace orioletrail;

namespace {

std::vector<double> makeLoads(uint32_t experts, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> loads;
    for (uint32_t expert = 1; expert <= experts; ++expert)
        loads.push_back(1000.0 / expert);
    std::shuffle(loads.begin(), loads.end(), random);
    return loads;
}

void checkValid(const Placement& placement, const RankTopology& topology)
{
    std::vector<uint32_t> used(topology.ranks);
    for (const auto& copies : placement.copies) {
        REQUIRE_FALSE(copies.empty());
        double sum = 0;
        std::set<uint32_t> ranks;
        std::set<uint32_t> instances;
        for (const ExpertCopy& copy : copies) {
            sum += copy.share;
            REQUIRE(copy.share >= -1e-9);
            ++used[copy.rank];
            ranks.insert(copy.rank);
            instances.insert(topology.instanceByRank.empty() ? copy.rank : topology.instanceByRank[copy.rank]);
        }
        REQUIRE(sum == doctest::Approx(1));
        REQUIRE(ranks.size() == copies.size());
        REQUIRE(instances.size() >= topology.minCopies);
    }
    for (const uint32_t slots : used)
        REQUIRE(slots <= topology.slotsPerRank);
}

} // namespace

TEST_CASE("placements respect slots, shares and copies, and no largest load is below the bound")
{
    const RankTopology shapes[] = { { 8, 10, {}, 1 }, { 32, 3, {}, 1 }, { 128, 1, {}, 1 }, { 8, 20, { 0, 0, 1, 1, 2, 2, 3, 3 }, 2 } };
    for (const RankTopology& topology : shapes) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(seed);
            const std::vector<double> loads = makeLoads(64, seed);
            std::string reason;
            const auto placement = placeGreedily(loads, topology, reason);
            REQUIRE(placement);
            checkValid(*placement, topology);
            const double largest = largestRankLoad(*placement, loads, topology);
            const double bound = largestRankLoadLowerBound(loads, topology);
            CHECK(largest >= bound * (1 - 1e-9));
            CHECK(largest <= bound * 1.5);
        }
    }
}

TEST_CASE("experts that do not fit are refused with a reason that says what is short")
{
    std::string reason;
    const std::vector<double> loads(64, 1.0);
    CHECK_FALSE(placeGreedily(loads, { 8, 7, {}, 1 }, reason));
    CHECK(reason == "64 experts with 1 copies need 64 slots, the group has 56");
    CHECK_FALSE(placeGreedily(loads, { 4, 64, { 0, 0, 0, 0 }, 2 }, reason));
    CHECK(reason == "2 copies of an expert need as many instances, the group has 1");
}

TEST_CASE("moves keep the placement valid and lower the unevenness and the largest load")
{
    const RankTopology topology { 16, 6, {}, 1 };
    std::string reason;
    Placement placement = *placeGreedily(makeLoads(64, 1), topology, reason);
    const std::vector<double> loads = makeLoads(64, 2);
    splitShares(placement, loads, topology);
    const double largest = largestRankLoad(placement, loads, topology);
    double previousUnevenness = unevenness(placement, loads, topology);
    int moves = 0;
    Placement after;
    while (findBestMove(placement, loads, topology, after)) {
        checkValid(after, topology);
        REQUIRE(countMoves(placement, after) == 1);
        const double newUnevenness = unevenness(after, loads, topology);
        REQUIRE(newUnevenness < previousUnevenness);
        placement = after;
        previousUnevenness = newUnevenness;
        ++moves;
    }
    CHECK(moves > 0);
    CHECK(largestRankLoad(placement, loads, topology) < largest);
}

TEST_CASE("the planner makes no moves while the load is steady, and no more than the limit per interval")
{
    const RankTopology topology { 16, 6, {}, 1 };
    Planner planner(topology, { 0.5, 1.02, 0.002, 3 });
    std::string reason;
    const std::vector<std::vector<double>> steady { makeLoads(64, 1), makeLoads(64, 2) };
    REQUIRE(planner.plan(steady, reason));
    for (int i = 0; i < 20; ++i)
        planner.plan(steady, reason);
    CHECK(planner.plan(steady, reason)->moves == 0);
    const std::vector<std::vector<double>> other { makeLoads(64, 3), makeLoads(64, 4) };
    CHECK(planner.plan(other, reason)->moves <= 3);
    planner.setFrozen(true);
    const auto frozen = planner.plan(other, reason);
    CHECK(frozen->moves == 0);
    CHECK(frozen->reason == PlanReason::Frozen);
}
