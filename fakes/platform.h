// Stand-in for the platform's API of versioned objects, kept in memory. Fault modes:
// - "down": closes the connection of every call without running it.
// - "slow": delays calls by delayMs.
// - "drop": runs a write and closes the connection without an answer.
// POST /restore?age_ms=N replaces all objects and the revision by a copy that is N ms old and raises the era, which all
// answers hold in the header Store-Era. A watch from a revision that the copy lacks gets 410.
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
