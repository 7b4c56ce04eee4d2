// Compares the results that callers saw with the records of the stand-ins and counts violations of what the
// balancer guarantees, such as an order run twice.
#pragma once

#include "fakes/fake.h"

#include <map>

namespace orioletrail::fakes {

// A period, in milliseconds since 1970, in which endpoints must not receive any request, e.g. while their
// zone is out.
struct ClosedWindow {
    // Applies to all endpoints whose name has this prefix.
    std::string endpointPrefix;
    int64_t fromMillis = 0;
    int64_t untilMillis = 0;
};

struct JudgeSettings {
    // Files written by callers (CallerSettings::resultsPath) and by stand-ins (FakeSettings::recordPath).
    std::vector<std::string> resultPaths;
    std::vector<std::string> recordPaths;
    std::vector<ClosedWindow> closedWindows;
};

// Totals over all callers and stand-ins.
struct Verdict {
    // Number of requests by kind ("order", "lookup" or "completion") and result: "answered", "broken" or the
    // reason of a refusal and whether the request ran, e.g. "no-credit not-run".
    std::map<std::string, std::map<std::string, uint64_t>> resultCounts;
    // Distinct idempotency keys of the orders that services ran.
    uint64_t orders = 0;
    // Idempotency keys whose order ran more than once.
    uint64_t duplicateOrders = 0;
    // Successful answers with another content than expected.
    uint64_t wrongAnswers = 0;
    // Refusals marked "not-run" although an endpoint ran the request.
    uint64_t falseRefusals = 0;
    // Orders answered with success that no service ran.
    uint64_t lostOrders = 0;
    // Requests that exceeded the capacity of an engine, except within a second after a "cold" fault.
    uint64_t overloadedRequests = 0;
    // Requests received in a closed window.
    uint64_t runsWhileClosed = 0;
    // Distinct steps that a rank group ran, and distinct expert map versions among them.
    uint64_t steps = 0;
    uint64_t mapVersions = 0;
    // Step records whose map version differs from that of an earlier record of the same step.
    uint64_t stepsWithTwoMaps = 0;
    // Step records with a lower leader token than an earlier record.
    uint64_t stepsOfFormerLeaders = 0;

    // True if there is no violation.
    bool isClean() const
    {
        return !duplicateOrders && !wrongAnswers && !falseRefusals && !lostOrders && !overloadedRequests && !runsWhileClosed && !stepsWithTwoMaps
            && !stepsOfFormerLeaders;
    }
};

// Reads all files and computes the totals.
Verdict judge(const JudgeSettings&);

// Prints the totals as a table. Returns the exit code of the process: 1 if there is a violation.
int runJudge(const JudgeSettings&);

} // namespace orioletrail::fakes
