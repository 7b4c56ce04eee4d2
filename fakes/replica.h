// Stand-in for an endpoint of the platform, model engine or plain service. It rejects requests whose
// X-Expect-Replica header does not hold its name, and answers the others with a stream of events for targets under
// /stream/, else with a short body. Records requests as "run" or "rejected". A request with "crash" in its target
// ends the process after crashDelay, as does one with the part "dead" in its prompt when its first event is due.
// Fault modes:
// - "misdirect": rejects the request with 421, as another endpoint at this address would.
// - "refuse": rejects the request with 503 without running it.
// - "late-copy": rejects the request as "refuse" does, and sends a copy of that answer where the next one on the same
//   connection is due.
// - "late-copy-unnamed": as "late-copy", but the copy has no X-Request-Id.
// - "leaving": says in its answer that it is leaving.
// - "pause": rejects the request with 503 and asks for a pause of delayMs.
// - "lose": runs the request and closes the connection without an answer.
// - "cut": closes the connection within an event of a stream.
// - "cut-404": as "cut", and answers 404 to a stream that is resumed.
// - "unframed": sends answers with neither a length nor chunks, whose end is the end of the connection.
// - "unframed-crash": as "unframed", but ends the process after delayMs between two events, or halfway through
//   another answer.
// - "unframed-empty": as "unframed", but with an empty body.
// - "unframed-cut": as "unframed", but ends within an event of a stream; other answers end with a reset.
// - "fail": answers 500.
// - "unmarked": runs the request and answers 503 without saying that it has not run.
// - "slow": delays the answer by delayMs.
// - "endless": sends a body, or for a stream an event, that has no end.
// - "long": sends a body of 1 MB, or a stream of 200 events of 64 KB at once.
// - "extra": sends a second answer after the first.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct ReplicaFakeSettings {
    FakeSettings common;
    // Number of events in a stream, and the time between them.
    int eventCount = 10;
    Millis eventInterval { 20 };
    // How long a request with "crash" in its target runs before the process ends.
    Millis crashDelay { 0 };
    // Start of the process as it tells it in reports.
    uint64_t born = 0;
};

// Returns the exit code of the process: 1 if it cannot listen.
int runReplica(const ReplicaFakeSettings&);

} // namespace orioletrail::fakes
