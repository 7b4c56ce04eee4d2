// Why a request would be placed, queued or refused now, for operators.
#pragma once

#include "base/types.h"

namespace orioletrail {

// An endpoint of the service as the decision sees it.
struct ExplainedCandidate {
    std::string endpoint;
    std::string zone;
    // Cost by which endpoints are compared, in requests of load, and its inputs as in PlaceOption.
    double cost = 0;
    double load = 0;
    double limit = 0;
    double slowness = 1;
    double failureShare = 0;
    double preference = 0;
    // Tokens of the prompt that it holds, what that saves, and time since the last request that has them.
    uint32_t heldTokens = 0;
    double savedMs = 0;
    double savedRequests = 0;
    Millis heldAge { 0 };
    // Why it is not, or only as a last resort, chosen.
    std::vector<std::string> obstacles {};
    bool isChosen = false;
};

struct Explanation {
    std::string service;
    // "placed", "wait" or "refused".
    std::string decision;
    // For "placed": the endpoint, and the one without savings by parts of prompts.
    std::string endpoint;
    std::string endpointWithoutSaving;
    // For "wait": longest wait. For "wait" and "refused": time until there is room.
    Millis longestWait { 0 };
    Millis retryAfter { 0 };
    // For "refused".
    Reason reason = Reason::None;
    // Requests that wait at this entry for the service.
    size_t queued = 0;
    // Mean number of streams of an engine, and the most at which gaps stay within their objective; 0 if there
    // is no such limit.
    double meanStreams = 0;
    double maxStreams = 0;
    // Other entries that are heard, and the age of their oldest counts that are in use.
    size_t livePeers = 0;
    Millis countsAge { 0 };
    // Age of the slowness factors.
    Millis slownessAge { 0 };
    std::vector<ExplainedCandidate> candidates {};
};

// What an entry answers to a question.
struct ExplainAnswer {
    std::string instance;
    uint64_t configuration = 0;
    std::string route;
    std::string account;
    int priority = 0;
    Millis timeLeft { 0 };
    // Set if the entry would refuse the request before it looks for an endpoint.
    Reason refusal = Reason::None;
    Millis refusalRetryAfter { 0 };
    // For each service of the route, with its weight.
    std::vector<std::pair<double, Explanation>> services {};
};

// The answer as JSON.
std::string explanationJson(const ExplainAnswer&);

} // namespace orioletrail
