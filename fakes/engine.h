// Stand-in for a model engine that serves completions, streamed or whole. Fault modes:
// - "cold": the next GET /load resets the engine to cold, as a restart does.
// - "stall": delays the answer by ten minutes.
// - "slow": delays the first token by delayMs.
// - "cut": closes the connection halfway through a stream.
// - "unframed": sends streams with neither a length nor chunks, whose end is the end of the connection.
// - "unframed-crash": as "unframed", but ends the process between two events.
// - "unframed-cut": as "unframed", but ends within an event.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct EngineFakeSettings {
    FakeSettings common;
    // Concurrent requests that the engine can handle when cold and when warm. Between the two the capacity
    // grows linearly with completed requests. A request beyond the capacity gets a 500 and resets the engine
    // to cold.
    uint32_t coldCapacity = 4;
    uint32_t warmCapacity = 32;
    // Completed requests after which the engine is warm.
    uint32_t warmUpRequests = 40;
    // Time until the first token.
    Millis firstTokenDelay { 20 };
    Millis tokenInterval { 2 };
    // A prompt that contains this word ends the process with exit code 1; empty for none.
    std::string crashWord;
};

// Returns the exit code of the process: 1 if it cannot listen.
int runEngine(const EngineFakeSettings&);

} // namespace orioletrail::fakes
