// Stand-in for a plain service: a POST is an order and is answered with its own body, any other request is
// a lookup. Fault modes:
// - "lose": runs the request and closes the connection without an answer.
// - "leaving": says in its answer that it is leaving.
// - "pause": answers 503 without running the request and asks for a pause of delayMs.
// - "slow": delays answers by delayMs.
// - "stall": delays answers by ten minutes.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct ServiceFakeSettings {
    FakeSettings common;
    // Time to answer an order or a lookup.
    Millis responseTime { 5 };
};

// Returns the exit code of the process: 1 if it cannot listen.
int runService(const ServiceFakeSettings&);

} // namespace orioletrail::fakes
