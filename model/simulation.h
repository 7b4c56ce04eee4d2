// Runs the dispatcher against simulated callers and engines, in simulated time.
#pragma once

#include "dispatch/dispatcher.h"
#include "model/scenario.h"

namespace orioletrail::model {

// A variant of the dispatch policy to simulate.
struct Policy {
    std::string name;
    DispatchRules rules {};
    // Entries exchange the numbers of their requests in flight.
    bool sharesCounts = true;
    // Each entry knows at once which endpoint read the parts of another entry's request: more than messages
    // could achieve.
    bool sharesParts = false;
};

// The full policy, and one variant for each part of it that is disabled.
std::vector<Policy> allPolicies();

// Number of callers by outcome.
struct OutcomeCounts {
    // All callers.
    uint64_t asked = 0;
    // Answered completely, with the first event and all gaps within their objectives.
    uint64_t inTime = 0;
    // Answered completely, but not within the objectives.
    uint64_t late = 0;
    // Refused, on each retry too.
    uint64_t refused = 0;
    // Given up by the caller, or not complete within the timeout.
    uint64_t failed = 0;
    // Late answers whose first event was in time.
    uint64_t lateByPause = 0;

    // Total value of the answers as a share of the maximum, 0 to 1. A late answer counts half.
    double value() const;
};

struct SimulationResult {
    OutcomeCounts total;
    // Outcomes by the time at which callers arrived, in windows of two seconds.
    std::vector<OutcomeCounts> series;
    // Times to first event in milliseconds, ascending, of all callers that received one.
    std::vector<double> firstEventMs;
    // Outcomes of callers with prompts longer than the mean.
    OutcomeCounts longPrompts;
    // Prompt tokens that engines have read, and those that entries predicted they need not read.
    double tokensRead = 0;
    double tokensSaved = 0;
    // Requests that went to another endpoint than without the knowledge of parts.
    uint64_t moved = 0;
    // Streams of the most loaded rank relative to the mean, averaged over the status intervals.
    double peakLoad = 0;

    // Quantile of the time to first event in milliseconds, for a share of 0 to 1.
    double firstEventQuantile(double share) const;
};

// Simulates the scenario with the policy. The same seed gives the same result.
SimulationResult simulate(const Scenario&, const Policy&, uint64_t seed);

} // namespace orioletrail::model
