// Simulation of a request that crashes endpoints, of sound ones beside it, and of the entries that count their deaths.
#pragma once

#include <cstdint>

namespace orioletrail {

struct RequestCrashFigures {
    // Attempts with the request that reached an endpoint.
    int sent = 0;
    // Those later than 3 s after the third endpoint ended under it, from entries that were neither restarted nor cut
    // off in the 3 s before.
    int sentLate = 0;
    // Other requests that arrived, those of them that were refused for good, and those that were to come back.
    int sound = 0;
    int soundRefused = 0;
    int soundHeld = 0;
};

// What happens in a minute. Entries restart and are cut off, one is added, and the caller's account changes. Three in
// ten ends of endpoints are silent until the registration lapses.
struct RequestCrashScenario {
    int entries = 4;
    // Entries restart. A single one that does forgets all, since nothing else remembers it.
    bool hasRestarts = true;
    // Copies of the request that arrive at once, each time at the entries in turn; the request comes again after
    // `roundMs` on average. No copies: no request crashes endpoints.
    int copies = 1;
    int roundMs = 670;
    // Attempts that an entry makes with one copy.
    int attempts = 2;
    // Of the other requests, those that their callers send this many times at once, and never again.
    int soundCopies = 1;
    // Every 8 s half of the endpoints end together, or all of them.
    bool endsAll = false;
};

// Plays the scenario. The request at fault crashes each endpoint that runs it.
RequestCrashFigures simulateRequestCrashes(uint64_t seed, const RequestCrashScenario& = {});

} // namespace orioletrail
