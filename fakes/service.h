// Stand-in for a plain service that takes orders. Faults: "lose" runs an order and cuts the
// connection before the answer, "slow" delays answers by delayMs, "stall" holds them.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct ServiceFakeSettings {
    FakeSettings common;
    Millis orderTime { 5 };
};

int runService(const ServiceFakeSettings&);

} // namespace orioletrail::fakes
