#include "expertmap/proposal.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr MapLimits limits { 8, 3, 0 };
constexpr Millis copyTime { 98 };

// Token counts that follow a power law, with `first` as the most popular expert. The number of experts is not a
// multiple of `stride`, which then reaches all of them.
ExpertCounts skewed(size_t first, size_t sets = 4, size_t experts = 72, double exponent = 1.2, size_t stride = 7)
{
    ExpertCounts counts(sets, std::vector<double>(experts));
    for (auto& set : counts)
        for (size_t expert = 0; expert < set.size(); ++expert)
            set[(first + expert * stride) % set.size()] = 1 / std::pow(static_cast<double>(expert + 1), exponent);
    return counts;
}

} // namespace

TEST_CASE("a change of the map is proposed if it pays off while the popularity of the experts lasts")
{
    const ExpertMap map = initialMap(4, 72, 12);
    const ExpertCounts even(4, std::vector<double>(72, 1));
    CHECK_FALSE(proposeMap(map, even, {}, limits, copyTime));
    const ExpertCounts counts = skewed(0);
    CHECK(mapUnevenness(map, counts) > 2.5);
    const auto proposal = proposeMap(map, counts, {}, limits, copyTime);
    REQUIRE(proposal);
    CHECK(proposal->unevenness < 2);
    CHECK(proposal->gain > 2);
    // No change pays off if copying one expert takes longer than the popularity lasts.
    CHECK_FALSE(proposeMap(map, counts, {}, limits, Millis(4000)));
}

TEST_CASE("one small change makes the load even enough after a shift of popularity, and it stays so")
{
    // With all slots in use, streams are on time up to this unevenness: steps of 4.55 ms plus 0.905 ms
    // per stream, 12 slots, 4 steps per pass and 85% of an allowed pause of 120 ms.
    constexpr double tolerable = 2;
    // Time from a proposal to its map in use, in addition to copying: reports, orders and two passes.
    constexpr Millis overhead { 150 };
    ExpertMap map = initialMap(4, 72, 12);
    for (size_t shift = 1; shift <= 10; ++shift) {
        CAPTURE(shift);
        const ExpertCounts counts = skewed(shift * 29);
        Millis elapsed { 0 };
        Millis unevenTime { 0 };
        while (const auto proposal = proposeMap(map, counts, {}, limits, copyTime)) {
            const Millis took = proposal->copyTime + overhead;
            if (mapUnevenness(map, counts) > tolerable)
                unevenTime += took;
            elapsed += took;
            if (elapsed > Millis(1000))
                break;
            map = proposal->map;
        }
        CHECK(unevenTime <= copyTime + overhead);
        CHECK(mapUnevenness(map, counts) < tolerable);
    }
}

TEST_CASE("in a large group a change pays off although it takes many copies")
{
    struct Shape {
        uint32_t ranks;
        uint32_t experts;
        uint32_t sets;
        MapLimits limits;
        Millis copyTime;
        double exponent;
    };
    // Stated aim, three seconds after a shift.
    constexpr double tolerable = 1.5;
    for (const Shape& shape : { Shape { 63, 252, 8, { 5, 2, 0 }, Millis(14), 0.66 }, Shape { 129, 258, 16, { 3, 2, 0 }, Millis(6), 0.4 } }) {
        CAPTURE(shape.ranks);
        ExpertMap map = initialMap(shape.sets, shape.experts, shape.ranks);
        for (size_t shift = 1; shift <= 2; ++shift) {
            CAPTURE(shift);
            const ExpertCounts counts = skewed(shift * 29, shape.sets, shape.experts, shape.exponent, 5);
            CHECK(mapUnevenness(map, counts) > 2);
            for (int change = 1; change <= 2; ++change)
                if (const auto proposal = proposeMap(map, counts, {}, shape.limits, shape.copyTime))
                    map = proposal->map;
            CHECK(mapUnevenness(map, counts) < tolerable);
        }
    }
}
