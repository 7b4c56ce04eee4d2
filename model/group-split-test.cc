#include "model/group-split.h"

#include <doctest/doctest.h>

using namespace orioletrail::model;

namespace {

enum class Difference : uint8_t {
    Speed,
    Unevenness
};

// Two groups of which the second is worse by a factor of 1.5, and a steady load of 16 entries whose reports are 200 ms late.
SplitScenario scenarioOf(Difference difference)
{
    constexpr double factor = 1.5;
    EngineModel engine;
    engine.unevenness = { { 0, 1.2 } };
    SplitScenario scenario;
    scenario.groups = { engine, engine };
    scenario.slowness = { 1, 1 };
    EngineModel& worse = scenario.groups.back();
    if (difference == Difference::Speed) {
        worse.stepMs *= factor;
        worse.perSequenceMs *= factor;
        worse.promptTokensPerMs /= factor;
        scenario.slowness.back() = factor;
    } else {
        worse.unevenness = { { 0, 1.2 * factor } };
    }
    scenario.perSecond = 80;
    return scenario;
}

// The shortest 95th percentile of gaps of all fixed splits whose loads are known without delay.
double bestGap(SplitScenario scenario, uint64_t seed)
{
    scenario.policy = SplitPolicy::FixedShare;
    double best = 1e9;
    for (scenario.fixedShare = 0.4; scenario.fixedShare < 0.9; scenario.fixedShare += 0.025)
        best = std::min(best, simulateSplit(scenario, seed).gapP95Ms);
    return best;
}

} // namespace

TEST_CASE("the gaps of groups that differ in speed or unevenness are as in the best split")
{
    for (const Difference difference : { Difference::Speed, Difference::Unevenness })
        for (const uint64_t seed : { 1, 2, 3 }) {
            CAPTURE(static_cast<int>(difference));
            CAPTURE(seed);
            const SplitScenario scenario = scenarioOf(difference);
            const SplitResult result = simulateSplit(scenario, seed);
            CHECK(result.notPlaced == 0);
            CHECK(result.gapP95Ms <= 1.1 * bestGap(scenario, seed));
        }
}

TEST_CASE("the load of groups that differ does not oscillate on late reports")
{
    // The size of a deployment with two groups of 32 ranks, and answers of equal length, so that the load is steady.
    for (const Difference difference : { Difference::Speed, Difference::Unevenness }) {
        CAPTURE(static_cast<int>(difference));
        SplitScenario scenario = scenarioOf(difference);
        for (EngineModel& engine : scenario.groups) {
            engine.ranks = 32;
            engine.slots = 10;
        }
        scenario.perSecond = 224;
        scenario.callers.eventsSpread = 0;
        const SplitResult result = simulateSplit(scenario, 1);
        CHECK(result.notPlaced == 0);
        CHECK(result.largestChange < 0.1);
    }
}

TEST_CASE("a group that is forming gets no requests while the other one has room")
{
    SplitScenario scenario = scenarioOf(Difference::Speed);
    scenario.perSecond = 40;
    scenario.formingFrom = 12;
    scenario.formingTo = 16;
    const SplitResult result = simulateSplit(scenario, 1);
    CHECK(result.placedAtForming == 0);
    CHECK(result.notPlaced == 0);
}
