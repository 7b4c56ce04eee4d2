#include "model/crash-simulation.h"

#include <doctest/doctest.h>
#include <string>

using namespace orioletrail;

namespace {

constexpr uint64_t seeds = 50;

struct Case {
    std::string name;
    CrashScenario scenario;
};

std::vector<Case> poisonCases()
{
    CrashScenario group;
    CrashScenario apart;
    apart.isGroup = false;
    CrashScenario restart;
    restart.restartAt = Millis(25'000);
    CrashScenario lossy;
    lossy.messageLoss = 0.5;
    CrashScenario frequent;
    frequent.poisonPerSecond = 6;
    CrashScenario manyEntries = group;
    manyEntries.entries = 16;
    return { { "a group", group }, { "endpoints apart", apart }, { "an entry starts anew", restart }, { "messages are lost", lossy }, { "frequent", frequent }, { "many entries", manyEntries } };
}

} // namespace

TEST_CASE("a part that crashes endpoints is refused in time, and sound requests with its first part are served")
{
    constexpr size_t maxLate = 3;
    constexpr double minBegun = 0.5;
    for (const Case& item : poisonCases()) {
        CAPTURE(item.name);
        size_t begun = 0;
        size_t sound = 0;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            CrashScenario scenario = item.scenario;
            scenario.seed = seed;
            const CrashFigures figures = simulateCrashes(scenario);
            CHECK(figures.poisonSentLate <= maxLate);
            begun += figures.soundLateBegun;
            sound += figures.soundLate;
        }
        REQUIRE(sound > 0);
        CHECK(static_cast<double>(begun) >= minBegun * static_cast<double>(sound));
    }
}

TEST_CASE("endpoints that crash for another reason cause no refusal of sound requests")
{
    for (const bool isGroup : { true, false }) {
        size_t refused = 0;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            CrashScenario scenario;
            scenario.seed = seed;
            scenario.isGroup = isGroup;
            scenario.poisonPerSecond = 0;
            scenario.otherCrashes = 3;
            refused += simulateCrashes(scenario).soundRefused;
        }
        CHECK(refused == 0);
    }
}

TEST_CASE("state and messages stay bounded when thousands of parts are new each second")
{
    constexpr size_t maxBytes = 20'000;
    CrashScenario scenario;
    scenario.soundPerSecond = 300;
    scenario.newParts = 10;
    const CrashFigures figures = simulateCrashes(scenario);
    const CrashPartSettings limits;
    CHECK(figures.maxCrashes <= limits.maxCrashes);
    CHECK(figures.maxSuspectedParts <= limits.maxCrashes * limits.maxSuspects * (scenario.newParts + 4));
    CHECK(figures.maxReportBytes <= maxBytes);
}
