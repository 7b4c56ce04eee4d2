// Plays a scenario against the decisions of the product, on simulated time.
#pragma once

#include "dispatch/dispatcher.h"
#include "model/scenario.h"

namespace orioletrail::model {

// Which decisions are made.
struct Policy {
    std::string name;
    DispatchRules rules {};
    // Entries tell each other what they have in flight.
    bool sharesCounts = true;
};

// The product as it is, and each decision left out in turn.
std::vector<Policy> allPolicies();

struct Tally {
    uint64_t asked = 0;
    // Whole, with the first event and all pauses within their objectives.
    uint64_t inTime = 0;
    uint64_t late = 0;
    uint64_t refused = 0;
    // Left by their callers, or not whole in time.
    uint64_t failed = 0;
    // Of the late ones, those whose first event was in time.
    uint64_t lateByPause = 0;

    // Share of what callers could get: a late answer counts half.
    double value() const;
};

struct PlayResult {
    Tally whole;
    // By two seconds in which callers first asked.
    std::vector<Tally> series;
    // Times to the first event of all that got one, in milliseconds, rising.
    std::vector<double> firstEventMs;
    // Prompts of more tokens than the mean.
    Tally longPrompts;

    double firstEventQuantile(double share) const;
};

// The same seed gives the same result.
PlayResult play(const Scenario&, const Policy&, uint64_t seed);

} // namespace orioletrail::model
