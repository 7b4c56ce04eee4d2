// Stand-in for the engine of one rank of a group. It runs every step that it receives without checking the
// leader token and records it, so that the judge can find steps of a former leader. Fault modes:
// - "stall": delays a step by ten minutes.
// - "slow": delays a step by delayMs.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct RankFakeSettings {
    FakeSettings common;
    Millis stepDuration { 20 };
    // Time to load an expert map.
    Millis mapLoadDuration { 200 };
};

// Returns the exit code of the process: 1 if it cannot listen.
int runRank(const RankFakeSettings&);

} // namespace orioletrail::fakes
