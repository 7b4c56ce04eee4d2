// Prints how a part of a prompt that crashes endpoints is found, in a simulation.
#include "bench/bench.h"
#include "model/crash-simulation.h"

#include <cstdio>

namespace orioletrail::bench {

namespace {

    constexpr uint64_t seeds = 50;

    void printRow(const char* name, CrashScenario scenario)
    {
        size_t crashes = 0;
        size_t worstCrashes = 0;
        size_t sent = 0;
        size_t late = 0;
        size_t worstLate = 0;
        size_t sound = 0;
        size_t begun = 0;
        size_t refused = 0;
        size_t bytes = 0;
        size_t parts = 0;
        for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
            const CrashFigures figures = simulateCrashes(scenario);
            crashes += figures.crashes;
            worstCrashes = std::max(worstCrashes, figures.crashes);
            sent += figures.poisonSent;
            late += figures.poisonSentLate;
            worstLate = std::max(worstLate, figures.poisonSentLate);
            sound += figures.soundLate;
            begun += figures.soundLateBegun;
            refused += figures.soundRefused;
            bytes = std::max(bytes, figures.maxReportBytes);
            parts = std::max(parts, figures.maxSuspectedParts);
        }
        const auto mean = [](size_t total) { return static_cast<double>(total) / static_cast<double>(seeds); };
        std::printf("%-24s %7.2f %5zu %9.1f %7.2f %5zu %8.3f %8.2f %7zu %7zu\n", name, mean(crashes), worstCrashes, mean(sent), mean(late), worstLate,
            sound ? static_cast<double>(begun) / static_cast<double>(sound) : 1, mean(refused), parts, bytes);
    }

} // namespace

int runCrashParts()
{
    std::printf("means of %zu seeds; late: sent later than 3 s after the fifth crash; sound: share begun at the first attempt\n", static_cast<size_t>(seeds));
    std::printf("%-24s %7s %5s %9s %7s %5s %8s %8s %7s %7s\n", "scenario", "crashes", "worst", "sent", "late", "worst", "sound", "refused", "parts", "bytes");
    CrashScenario group;
    printRow("a group", group);
    CrashScenario apart;
    apart.isGroup = false;
    printRow("endpoints apart", apart);
    CrashScenario frequent;
    frequent.poisonPerSecond = 6;
    printRow("frequent", frequent);
    CrashScenario rare;
    rare.poisonPerSecond = 0.4;
    printRow("rare", rare);
    CrashScenario soon;
    soon.poisonFrom = Millis(500);
    printRow("soon after the start", soon);
    CrashScenario restart;
    restart.restartAt = Millis(25'000);
    printRow("an entry starts anew", restart);
    CrashScenario lossy;
    lossy.messageLoss = 0.5;
    printRow("half of messages lost", lossy);
    CrashScenario many;
    many.entries = 16;
    printRow("16 entries", many);
    CrashScenario large;
    large.entries = 16;
    large.endpoints = 63;
    large.soundPerSecond = 235;
    printRow("63 endpoints", large);
    CrashScenario fresh;
    fresh.soundPerSecond = 300;
    fresh.newParts = 10;
    printRow("3000 new parts a second", fresh);
    CrashScenario others = group;
    others.otherCrashes = 3;
    printRow("3 other crashes at once", others);
    others.poisonPerSecond = 0;
    printRow("no such part", others);
    return 0;
}

} // namespace orioletrail::bench
