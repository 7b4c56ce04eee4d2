// Stand-in for an endpoint of the platform, model engine or plain service. It checks who is meant,
// records what it runs and answers with a stream for targets under /stream/, else with a short
// body. Faults: "refuse" rejects without running, "lose" runs and loses the answer, "cut" ends a
// stream within an event, "fail" answers 500, "slow" answers late, "extra" answers twice. A request
// with "crash" in its target ends the process.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct ReplicaFakeSettings {
    FakeSettings common;
    // Events of a stream, and the time between them.
    int events = 10;
    Millis eventInterval { 20 };
};

int runReplica(const ReplicaFakeSettings&);

} // namespace orioletrail::fakes
