// Weighs what an engine saves that holds the beginning of a prompt, by the engine's own figures.
#pragma once

#include "directory/beliefs.h"
#include "prefix/part-table.h"

namespace orioletrail {

// Milliseconds in which an engine reads the first `tokens` tokens of a prompt, 0 if its speed is unknown.
double readingMs(const EngineProfile&, double tokens);

// Milliseconds by which one more request at an engine delays the first event of another: the time that a
// sequence adds to a pass. 0 if the engine's figures do not state it.
double requestDelayMs(const EngineProfile&);

// True if an engine with this many requests has no memory for one more of this size beside parts of
// requests that have ended. Requests in flight count with the usual size.
bool isMemoryShort(const EngineProfile&, double requests, const RequestSize&);

// What an endpoint saves for a request.
struct PartSaving {
    HeldPrefix held;
    // Time to the first event that is saved.
    double millis = 0;
    // The same as a number of requests of load, the unit of the cost in placeRequest().
    double requests = 0;
};

// True if parts of prompts are weighed for requests to the service.
bool weighsParts(const EngineProfile&, std::span<const PromptPrefix>);

// What the endpoint, which has `load` requests, saves for a request. The last token of a prompt is always
// read.
PartSaving savingAt(const PartTable&, const EngineProfile&, const EndpointRecord&, double load, std::span<const PromptPrefix>, const RequestSize&, TimePoint);

// What was weighed for the request that was placed last.
struct PartDecision {
    bool wasWeighed = false;
    // The request went to another endpoint than it would have gone to without the saving.
    bool wasMoved = false;
    // Tokens that the chosen endpoint need not read, as predicted.
    uint32_t savedTokens = 0;
    double savedMs = 0;
};

} // namespace orioletrail
