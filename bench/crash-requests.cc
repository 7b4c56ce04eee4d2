// Prints how a request that crashes endpoints is told from sound ones, in a simulation.
#include "bench/bench.h"
#include "model/request-crash-simulation.h"

#include <algorithm>
#include <cstdio>

namespace orioletrail::bench {

namespace {

    constexpr uint64_t seeds = 50;
    // Late attempts that the users allow in a day.
    constexpr int maxLate = 3;

    void printRow(const char* name, const RequestCrashScenario& scenario)
    {
        RequestCrashFigures total;
        int worstLate = 0;
        int brokenDays = 0;
        int worstRefused = 0;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const RequestCrashFigures figures = simulateRequestCrashes(seed, scenario);
            total.sent += figures.sent;
            total.sentLate += figures.sentLate;
            total.sound += figures.sound;
            total.soundRefused += figures.soundRefused;
            total.soundHeld += figures.soundHeld;
            worstLate = std::max(worstLate, figures.sentLate);
            brokenDays += figures.sentLate > maxLate;
            worstRefused = std::max(worstRefused, figures.soundRefused);
        }
        const auto mean = [](int sum) { return static_cast<double>(sum) / static_cast<double>(seeds); };
        std::printf("%-32s %7.2f %7.2f %5d %6d %9.0f %8.3f %5d %8.3f\n", name, mean(total.sent), mean(total.sentLate), worstLate, brokenDays, mean(total.sound), mean(total.soundRefused), worstRefused, mean(total.soundHeld));
    }

} // namespace

int runCrashRequests()
{
    std::printf("means of %d days of a minute; late: sent later than 3 s after the third crash, broken: days with more than %d\n", static_cast<int>(seeds), maxLate);
    std::printf("%-32s %7s %7s %5s %6s %9s %8s %5s %8s\n", "scenario", "sent", "late", "worst", "broken", "sound", "refused", "worst", "held");
    for (const int entries : { 1, 4, 16 }) {
        for (const int copies : { 1, 2, 4, 8, 20 }) {
            RequestCrashScenario scenario;
            scenario.entries = entries;
            scenario.hasRestarts = entries > 1;
            scenario.copies = copies;
            if (copies > 1)
                scenario.roundMs = 6000;
            printRow((std::to_string(entries) + " entries, " + std::to_string(copies) + " copies").c_str(), scenario);
        }
    }
    RequestCrashScenario once;
    once.copies = 4;
    once.attempts = 1;
    once.roundMs = 6000;
    printRow("not idempotent, 4 copies", once);
    RequestCrashScenario sound;
    sound.copies = 0;
    printRow("no request at fault", sound);
    sound.endsAll = true;
    printRow("the same, all endpoints end", sound);
    for (const int copies : { 2, 4, 8 }) {
        sound.soundCopies = copies;
        printRow(("the same, sound ones " + std::to_string(copies) + " times").c_str(), sound);
    }
    sound.copies = 4;
    sound.roundMs = 6000;
    printRow("the same, with one at fault", sound);
    return 0;
}

} // namespace orioletrail::bench
