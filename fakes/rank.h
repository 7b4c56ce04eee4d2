// Stand-in for the engine of one rank. It runs whatever it is told, with any token, and keeps
// a record of it. Faults: "stall" holds a step, "slow" delays it by delayMs.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct RankFakeSettings {
    FakeSettings common;
    Millis stepTime { 20 };
    Millis loadTime { 200 };
};

int runRank(const RankFakeSettings&);

} // namespace orioletrail::fakes
