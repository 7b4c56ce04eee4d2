#include "expertmap/engine-map.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <numeric>
#include <random>

using namespace orioletrail;

namespace {

constexpr uint32_t sets = 4;
constexpr uint32_t experts = 72;
constexpr uint32_t ranks = 12;
constexpr MapLimits limits { 8, 3, 12 };

// Token counts where a few experts, different ones in each layer set, get most of the tokens.
ExpertCounts skewedCounts(uint64_t seed)
{
    std::mt19937_64 random(seed);
    ExpertCounts counts;
    for (uint32_t set = 0; set < sets; ++set) {
        std::vector<double> loads(experts);
        for (uint32_t i = 0; i < experts; ++i)
            loads[i] = 1e5 / std::pow(i + 1, 1.3);
        std::shuffle(loads.begin(), loads.end(), random);
        counts.push_back(std::move(loads));
    }
    return counts;
}

} // namespace

TEST_CASE("an improved map is nearly even and keeps the limits")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        const ExpertCounts counts = skewedCounts(seed);
        const ExpertMap before = initialMap(sets, experts, ranks);
        const ExpertMap after = improveMap(before, counts, limits);
        std::string reason;
        REQUIRE_MESSAGE(isValidMap(after, experts, limits, reason), reason);
        CHECK(mapUnevenness(before, counts) > 2.5);
        // An even load is possible: the hottest expert has 31% of the tokens, so each of four
        // copies gets 7.8%, and the even share of a rank is 8.3%.
        CHECK(mapUnevenness(after, counts) < 1.1);
        for (uint32_t set = 0; set < sets; ++set) {
            const ExpertMap oneBefore { { before.experts[set] } };
            const ExpertMap oneAfter { { after.experts[set] } };
            for (const uint32_t copies : countAddedExperts(oneBefore, oneAfter))
                CHECK(copies <= limits.maxAddedPerSet);
        }
    }
}

TEST_CASE("a map that is already even is left unchanged")
{
    const ExpertMap before = initialMap(sets, experts, ranks);
    const ExpertCounts counts(sets, std::vector<double>(experts, 100));
    CHECK(improveMap(before, counts, limits) == before);
    CHECK(improveMap(before, ExpertCounts(sets, std::vector<double>(experts)), limits) == before);
}

TEST_CASE("two changes restore an even load after other experts have become popular")
{
    const ExpertCounts first = skewedCounts(1);
    const ExpertCounts second = skewedCounts(2);
    ExpertMap map = improveMap(initialMap(sets, experts, ranks), first, limits);
    CHECK(mapUnevenness(map, second) > 1.5);
    for (int change = 0; change < 2; ++change)
        map = improveMap(map, second, limits);
    CHECK(mapUnevenness(map, second) < 1.1);
}

TEST_CASE("a small budget of copies is spent on the most uneven layer sets and removes most of the imbalance")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        const ExpertCounts counts = skewedCounts(seed);
        const ExpertMap before = initialMap(sets, experts, ranks);
        const ExpertMap after = improveMap(before, counts, { 8, 3, 4 });
        for (const uint32_t copies : countAddedExperts(before, after))
            CHECK(copies <= 4);
        CHECK(mapUnevenness(after, counts) < 1.35);
    }
}

TEST_CASE("slow ranks get the experts with few tokens")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        const ExpertCounts counts = skewedCounts(seed);
        RankSlowness slowness(ranks, 1);
        for (uint32_t rank = 0; rank < 4; ++rank)
            slowness[rank] = 6;
        ExpertMap map = initialMap(sets, experts, ranks);
        const double before = mapUnevenness(map, counts, slowness);
        for (int change = 0; change < 3; ++change)
            map = improveMap(map, counts, limits, slowness);
        std::string reason;
        REQUIRE_MESSAGE(isValidMap(map, experts, limits, reason), reason);
        // Even a map with the same load on all ranks takes six times as long, because of the slow ranks.
        CHECK(before > 6);
        CHECK(mapUnevenness(map, counts, slowness) < 2.2);
    }
}
