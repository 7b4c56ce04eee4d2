#include "group/shares.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

double passOf(const GroupPass& group, double streams)
{
    return group.fixedMs + group.perStreamMs * streams / group.endpoints;
}

} // namespace

TEST_CASE("streams are split so that all passes are of one length, and slow groups get none while the others are faster")
{
    const std::vector<GroupPass> groups { { 20, 4, 10, 100 }, { 40, 4, 10, 100 } };
    CHECK(groupShares(groups, 40)[0] == doctest::Approx(1));
    const auto shares = groupShares(groups, 90);
    CHECK(shares[0] == doctest::Approx(70.0 / 90));
    CHECK(passOf(groups[0], shares[0] * 90) == doctest::Approx(passOf(groups[1], shares[1] * 90)).epsilon(0.001));
    const auto full = groupShares(groups, 500);
    CHECK(full[0] == doctest::Approx(0.5));
}

TEST_CASE("no share exceeds the capacity of its group, and none is better for the longest pass")
{
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int trial = 0; trial < 200; ++trial) {
        std::vector<GroupPass> groups;
        double capacity = 0;
        for (int group = 0; group < 3; ++group) {
            groups.push_back({ 10 + 40 * draw(random), 1 + 6 * draw(random), 8, std::floor(90 * draw(random)) });
            capacity += groups.back().capacity;
        }
        const double streams = capacity * draw(random);
        const auto shares = groupShares(groups, streams);
        double longest = 0;
        double sum = 0;
        for (size_t group = 0; group < groups.size(); ++group) {
            const double filled = shares[group] * streams;
            CHECK(filled <= groups[group].capacity * 1.001 + 0.001);
            if (filled > 0.01)
                longest = std::max(longest, passOf(groups[group], filled));
            sum += shares[group];
        }
        CHECK(sum == doctest::Approx(1));
        // With a slightly shorter longest pass the streams do not fit.
        double fitting = 0;
        for (const GroupPass& group : groups)
            fitting += std::clamp((0.99 * longest - group.fixedMs) / group.perStreamMs * group.endpoints, 0.0, group.capacity);
        CHECK(fitting <= streams + 0.01);
    }
    CHECK(groupShares(std::vector<GroupPass> { { 20, 4, 10, 0 } }, 5)[0] == 0);
}
