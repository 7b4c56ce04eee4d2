// The work that a request causes at a model engine, from the engine's cost model and the request's numbers of tokens.
#pragma once

#include "directory/catalog.h"

namespace orioletrail {

// Work of one request. Times are what it adds to the passes of its rank, in milliseconds.
struct RequestCost {
    // Time to read the prompt, pairs of its tokens included.
    double readMs = 0;
    // Time that it adds to the steps that write its answer.
    double writeMs = 0;
    // Steps that write its answer.
    double steps = 0;
    // Tokens held when the answer ends.
    double memoryTokens = 0;
    // Tokens held, summed over the steps that write the answer.
    double memoryTokenSteps = 0;

    double workMs() const { return readMs + writeMs; }
};

// Time to read a prompt of which `heldTokens` at its beginning need not be read, in milliseconds; 0 if the engine's
// speed is unknown. Each token that is read is paired with all earlier ones.
double readingMs(const EngineProfile&, double promptTokens, double heldTokens = 0);

// Cost of a request with this many prompt and output tokens.
RequestCost costOf(const EngineProfile&, double promptTokens, double outputTokens);

// Cost of a mean request of the engine's users; zero if the profile does not state it.
RequestCost usualCost(const EngineProfile&);

// Work relative to a usual request. 1 if the profile or the request states no size, so that it counts as one request.
// Bounded, since the sizes come from callers.
double relativeWork(const EngineProfile&, const RequestSize&, double outputTokens);

// True if the request cannot run at any engine of this kind, whatever else runs there: the prompt and one token of the
// answer exceed the memory. The tokens of the answer beyond that are not known for sure.
bool exceedsMemory(const EngineProfile&, const RequestSize&);

// State of the rank that a request is sent to, and of its group.
struct RankForecast {
    // Streams of the rank and of the mean rank of its group.
    double streams = 0;
    double meanStreams = 0;
    // Expert load of the most loaded rank over the mean, and the slowest rank's factor.
    double mapUnevenness = 1;
    double slowestFactor = 1;
    // Tokens of prompts that the rank reads before the request's, and tokens that all ranks read per pass on average.
    double promptTokensAhead = 0;
    double readPerPass = 0;
};

// Predicted length of the group's passes, in milliseconds: steps of the most loaded rank, and the experts' work for all
// tokens, which the expert map spreads over the ranks.
double passMs(const EngineProfile&, const RankForecast&);

// Predicted time from sending a request to its first event: half a pass until the next one starts, on average, and as
// many passes as it takes to read the prompts ahead of it and its own.
double firstEventMs(const EngineProfile&, const RankForecast&, double promptTokens);

} // namespace orioletrail
