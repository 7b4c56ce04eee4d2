#include "model/request-crash-simulation.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("a request that crashes endpoints is sent to few of them on days of restarts and cuts, and no other is refused")
{
    constexpr uint64_t seeds = 50;
    int worstLate = 0;
    RequestCrashFigures total;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const RequestCrashFigures figures = simulateRequestCrashes(seed);
        worstLate = std::max(worstLate, figures.sentLate);
        total.sentLate += figures.sentLate;
        total.sent += figures.sent;
        total.soundRefused += figures.soundRefused;
    }
    MESSAGE(seeds << " days: " << total.sent << " times sent, " << total.sentLate << " of them late, " << worstLate << " late on the worst day, " << total.soundRefused << " others refused");
    CHECK(worstLate <= 3);
    CHECK(total.soundRefused == 0);
}

// Fails if copies that come at once count as one death, or if requests that endpoints lose together are refused for good.
TEST_CASE("few attempts follow the third crash however many copies come at once, and sound requests are not refused for good")
{
    constexpr uint64_t seeds = 20;
    for (const int entries : { 1, 4, 16 }) {
        for (const int copies : { 2, 4, 8, 20 }) {
            RequestCrashScenario scenario;
            scenario.entries = entries;
            scenario.hasRestarts = entries > 1;
            scenario.copies = copies;
            scenario.roundMs = 6000;
            CAPTURE(entries);
            CAPTURE(copies);
            for (uint64_t seed = 1; seed <= seeds; ++seed) {
                CAPTURE(seed);
                const RequestCrashFigures figures = simulateRequestCrashes(seed, scenario);
                CHECK(figures.sentLate <= 3);
                CHECK(figures.soundRefused == 0);
            }
        }
    }
}
