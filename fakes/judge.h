// Joins what callers were told with what the stand-ins recorded.
#pragma once

#include "fakes/fake.h"

#include <map>

namespace orioletrail::fakes {

// Times, in milliseconds since 1970, between which an endpoint should have been given nothing.
struct ClosedWindow {
    // Prefix of the names of the endpoints.
    std::string names;
    int64_t from = 0;
    int64_t to = 0;
};

struct JudgeSettings {
    // Files written by callers and by stand-ins.
    std::vector<std::string> told;
    std::vector<std::string> records;
    std::vector<ClosedWindow> closed;
};

struct Verdict {
    // Requests by kind and by what the caller was told.
    std::map<std::string, std::map<std::string, uint64_t>> counts;
    uint64_t orders = 0;
    uint64_t doubledOrders = 0;
    uint64_t wrongAnswers = 0;
    // Refusals that said "not-run" for a request that ran.
    uint64_t untrueRefusals = 0;
    // Orders answered as done that no stand-in ran.
    uint64_t lostOrders = 0;
    uint64_t overloads = 0;
    uint64_t ranWhileClosed = 0;
    // Steps of rank groups, maps that they ran with, and what must not happen.
    uint64_t steps = 0;
    uint64_t maps = 0;
    uint64_t stepsWithTwoMaps = 0;
    uint64_t stepsOfOldLeaders = 0;

    bool isClean() const
    {
        return !doubledOrders && !wrongAnswers && !untrueRefusals && !lostOrders && !overloads && !ranWhileClosed && !stepsWithTwoMaps
            && !stepsOfOldLeaders;
    }
};

Verdict judge(const JudgeSettings&);

// Prints the verdict as a table. Returns 1 if it is not clean.
int runJudge(const JudgeSettings&);

} // namespace orioletrail::fakes
