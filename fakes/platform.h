// Stand-in for the platform's API of versioned objects, kept in memory. Fault modes:
// - "down": closes the connection of every call without running it.
// - "slow": delays calls by delayMs.
// - "drop": runs a write and closes the connection without an answer.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct PlatformFakeSettings {
    FakeSettings common;
    // Delay of each call.
    Millis latency { 3 };
};

// Returns the exit code of the process: 1 if it cannot listen.
int runPlatform(const PlatformFakeSettings&);

} // namespace orioletrail::fakes
