#include "model/group.h"
#include "model/simulation.h"

#include <doctest/doctest.h>

using namespace orioletrail;
using namespace orioletrail::model;

namespace {

Policy policyOf(std::string_view name)
{
    for (const Policy& policy : allPolicies())
        if (policy.name == name)
            return policy;
    return {};
}

double meanValue(const Scenario& scenario, std::string_view policy)
{
    constexpr uint64_t seeds = 5;
    double sum = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        sum += simulate(scenario, policyOf(policy), seed).total.value();
    return sum / seeds;
}

} // namespace

TEST_CASE("a pass lasts as long as its slowest rank, and prompts are prefilled in chunks")
{
    EngineModel engine;
    engine.ranks = 2;
    engine.slots = 1;
    engine.unevenness = { { 0, 1 }, { 10, 2 } };
    engine.slow = { { 20, 30, 1, 3 } };
    uint32_t events = 0;
    uint32_t finished = 0;
    EngineGroup group(engine, { [&](uint64_t) { ++events; }, [&](uint64_t) { ++finished; } });
    CHECK(group.isIdle());
    // Prefill takes two passes: 4 steps of 512 tokens, then the rest.
    group.add(1, 0, 3000, 2);
    // The second stream is queued until the only slot is free.
    group.add(2, 0, 10, 1);
    group.beginPass(0);
    group.endPass();
    CHECK(events == 0);
    const double prefillAndDecode = group.beginPass(0);
    group.endPass();
    CHECK(events == 1);
    group.beginPass(0);
    group.endPass();
    CHECK(finished == 1);
    group.add(3, 1, 0, 10);
    const double bothRanks = group.beginPass(0);
    group.endPass();
    CHECK(finished == 2);
    // No prefill any more: one decoding stream, on rank 1.
    const double decodeOnly = group.beginPass(0);
    CHECK(decodeOnly == doctest::Approx(4 * (4.55 + 0.905 * 0.15) + 4 * 0.905 * 0.85 / 2));
    CHECK(group.beginPass(10) == doctest::Approx(decodeOnly + 4 * 0.905 * 0.85 / 2));
    CHECK(group.beginPass(20) == doctest::Approx(3 * 4 * (4.55 + 0.905 * 0.15) + 4 * 0.905 * 0.85));
    CHECK(prefillAndDecode > decodeOnly);
    CHECK(bothRanks > decodeOnly);
    group.remove(3);
    CHECK(group.isIdle());
}

TEST_CASE("a scenario is parsed from JSON, and invalid ones are rejected with a reason")
{
    std::string reason;
    const auto scenario = parseScenario(R"({"name":"n","seconds":5,"engine":{"ranks":3,"slow":[[1,2,0,4]],"unevenness":[[0,1],[3,2]]},"callers":{"perSecond":[[0,7]]}})", reason);
    REQUIRE(scenario);
    CHECK(scenario->engine.ranks == 3);
    CHECK(scenario->engine.slow.size() == 1);
    CHECK(valueAt(scenario->engine.unevenness, 3.5) == 2);
    CHECK(valueAt(scenario->callers.perSecond, 0) == 7);
    for (const char* bad : { "", "[]", R"({"second":5})", R"({"engine":{"ranks":-1}})", R"({"engine":{"ranks":0}})", R"({"engine":{"slow":[[1,2,12,4]]}})",
             R"({"callers":{"perSecond":[[1]]}})", R"({"callers":7})" }) {
        CAPTURE(bad);
        reason.clear();
        CHECK_FALSE(parseScenario(bad, reason));
        CHECK_FALSE(reason.empty());
    }
}

TEST_CASE("a light load is served in time, every caller has an outcome, and a seed is reproducible")
{
    Scenario scenario;
    scenario.callers.perSecond = { { 0, 30 } };
    const SimulationResult result = simulate(scenario, policyOf("product"), 7);
    const OutcomeCounts& total = result.total;
    CHECK(total.asked > 700);
    CHECK(total.asked == total.inTime + total.late + total.refused + total.failed);
    CHECK(total.value() > 0.98);
    CHECK(result.firstEventQuantile(0.5) < 200);
    const SimulationResult again = simulate(scenario, policyOf("product"), 7);
    CHECK(again.firstEventMs == result.firstEventMs);
    CHECK(again.total.inTime == total.inTime);
}

TEST_CASE("under overload callers get no less value with waiting, peer counts and pace limit than without")
{
    Scenario scenario;
    scenario.callers.perSecond = { { 0, 45 }, { 8, 110 }, { 20, 45 } };
    scenario.engine.unevenness = { { 0, 1.4 } };
    const double product = meanValue(scenario, "product");
    CHECK(product >= meanValue(scenario, "without waiting"));
    CHECK(product >= meanValue(scenario, "without peers' counts"));
    scenario.engine.unevenness = { { 0, 3 } };
    scenario.callers.perSecond = { { 0, 70 } };
    CHECK(meanValue(scenario, "product") > meanValue(scenario, "without pace limit"));
}

TEST_CASE("with a slow engine callers get more value if its slowness is taken into account")
{
    Scenario scenario;
    scenario.callers.perSecond = { { 0, 50 } };
    scenario.engine.slow = { { 8, 20, 3, 5 } };
    CHECK(meanValue(scenario, "product") > meanValue(scenario, "without slowness"));
}

TEST_CASE("ranks read a shared part again unless they hold it, and with knowledge of parts less often")
{
    EngineModel engine;
    engine.ranks = 2;
    EngineGroup group(engine, { [](uint64_t) {}, [](uint64_t) {} });
    const auto pass = [&](double seconds) {
        group.beginPass(seconds);
        group.endPass();
    };
    group.add(1, 0, 100, 3, 7, 400);
    pass(0);
    CHECK(group.tokensRead() == 500);
    group.add(2, 0, 100, 1, 7, 400);
    group.add(3, 1, 100, 1, 7, 400);
    pass(0.1);
    CHECK(group.tokensRead() == 500 + 100 + 500);
    pass(0.2);
    group.add(4, 0, 100, 1, 7, 400);
    pass(0.3);
    CHECK(group.tokensRead() == 1100 + 500);
    Scenario scenario;
    scenario.callers.perSecond = { { 0, 30 } };
    scenario.callers.sharedTokens = 1000;
    scenario.callers.sharedParts = 24;
    scenario.engine.keepPartsMs = 60'000;
    const SimulationResult with = simulate(scenario, policyOf("product"), 1);
    const SimulationResult without = simulate(scenario, policyOf("without prompt parts"), 1);
    CHECK(with.tokensRead < without.tokensRead);
    CHECK(with.moved > 0);
    CHECK(without.moved == 0);
    CHECK(without.tokensSaved == 0);
    CHECK(with.total.value() >= without.total.value() - 0.01);
}
