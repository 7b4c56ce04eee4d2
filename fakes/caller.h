// Load generator: simulated callers that send a random mix of requests for a given time and record the
// answers.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct CallerSettings {
    // Addresses of the entries; each request goes to one chosen at random.
    std::vector<std::string> entries;
    // Bearer token of the account.
    std::string token;
    std::string model = "labels";
    std::string service = "print";
    // File to which one JSON object per line is appended for each request, with the result that the caller saw.
    std::string resultsPath;
    // Concurrent callers; each has one request in progress at a time.
    uint32_t callers = 16;
    Millis duration { 5000 };
    uint64_t seed = 1;
    // Shares of orders and lookups among all requests, from 0 to 1; the rest are streamed completions.
    double orderShare = 0.2;
    double lookupShare = 0.3;
};

// Returns the exit code of the process.
int runCallers(const CallerSettings&);

} // namespace orioletrail::fakes
