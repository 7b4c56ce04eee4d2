// Compares ways to split requests among groups of engines that differ.
#include "bench/bench.h"
#include "model/group-split.h"

#include <algorithm>
#include <cstdio>

namespace orioletrail::bench {

namespace {

    // Two groups of which the second is 1.5 times as slow, or has a map that is 1.5 times as uneven.
    model::SplitScenario scenarioOf(bool isSpeed, uint32_t ranks, double perSecond, double eventsSpread)
    {
        constexpr double factor = 1.5;
        model::EngineModel engine;
        engine.ranks = ranks;
        engine.unevenness = { { 0, 1.2 } };
        model::SplitScenario scenario;
        scenario.groups = { engine, engine };
        scenario.slowness = { 1, 1 };
        model::EngineModel& worse = scenario.groups.back();
        if (isSpeed) {
            worse.stepMs *= factor;
            worse.perSequenceMs *= factor;
            worse.promptTokensPerMs /= factor;
            scenario.slowness.back() = factor;
        } else {
            worse.unevenness = { { 0, 1.2 * factor } };
        }
        scenario.perSecond = perSecond;
        scenario.callers.eventsSpread = eventsSpread;
        return scenario;
    }

    void printRow(const char* name, const model::SplitScenario& scenario, uint32_t seeds)
    {
        double p50 = 0;
        double p95 = 0;
        double first = 0;
        double share = 0;
        double change = 0;
        double largest = 0;
        for (uint32_t seed = 1; seed <= seeds; ++seed) {
            const model::SplitResult result = model::simulateSplit(scenario, seed);
            p50 += result.gapP50Ms / seeds;
            p95 += result.gapP95Ms / seeds;
            first += result.firstEventP95Ms / seeds;
            share += result.shares.front() / seeds;
            change += result.changeP95 / seeds;
            largest = std::max(largest, result.largestChange);
        }
        std::printf("| %s | %.3f | %.1f | %.1f | %.0f | %.3f | %.3f |\n", name, share, p50, p95, first, change, largest);
    }

} // namespace

int runGroups(uint32_t ranks, double perSecond, uint32_t seeds)
{
    for (const bool isSpeed : { true, false })
        for (const double spread : { 0.6, 0.0 }) {
            model::SplitScenario scenario = scenarioOf(isSpeed, ranks, perSecond, spread);
            std::printf("\nsecond group 1.5 times %s, %u ranks each, %.0f requests a second, spread of answers %.1f, %u seeds\n\n", isSpeed ? "as slow" : "as uneven", ranks, perSecond, spread, seeds);
            std::printf("| policy | share of the first group | gap p50 | p95 | first event p95 | change in 1 s, p95 | largest |\n|---|---|---|---|---|---|---|\n");
            printRow("product", scenario, seeds);
            scenario.policy = model::SplitPolicy::ShortestPass;
            printRow("shortest pass", scenario, seeds);
            scenario.policy = model::SplitPolicy::AnnouncedShares;
            printRow("announced shares", scenario, seeds);
            scenario.policy = model::SplitPolicy::TwoChoices;
            printRow("two choices", scenario, seeds);
            scenario.policy = model::SplitPolicy::FixedShare;
            model::SplitScenario best = scenario;
            double bestGap = 1e9;
            for (scenario.fixedShare = 0.4; scenario.fixedShare < 0.9; scenario.fixedShare += 0.025)
                if (const double gap = model::simulateSplit(scenario, 1).gapP95Ms; gap < bestGap) {
                    bestGap = gap;
                    best = scenario;
                }
            printRow("best fixed split, loads known at once", best, seeds);
        }
    return 0;
}

} // namespace orioletrail::bench
