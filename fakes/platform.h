// Stand-in for the platform's versioned object API. Faults: "down" cuts every call, "slow"
// delays it by delayMs, "drop" lets writes take effect and loses the answer.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct PlatformFakeSettings {
    FakeSettings common;
    // Time that each call takes.
    Millis latency { 3 };
};

int runPlatform(const PlatformFakeSettings&);

} // namespace orioletrail::fakes
