// A scenario for the simulation: a group of engines, its callers and faults.
#pragma once

#include "base/types.h"

namespace orioletrail::model {

// A value that applies from a time of the simulation on.
struct ScheduledValue {
    double atSeconds = 0;
    double value = 0;
};

// A period in which one rank is slower than normal by a factor.
struct SlowPeriod {
    double fromSeconds = 0;
    double toSeconds = 0;
    uint32_t rank = 0;
    double factor = 1;
};

// Cost model of a group of engines that run passes in lock-step: all begin and end an iteration over
// their streams together. Times are in milliseconds.
struct EngineModel {
    uint32_t ranks = 12;
    // Streams that a rank can run at once.
    uint32_t slots = 12;
    // Steps per pass.
    uint32_t stride = 4;
    // Duration of a step without streams.
    double stepMs = 4.55;
    // Time that each stream with a prefilled prompt adds to a step.
    double perSequenceMs = 0.905;
    // Share of the work for tokens that experts do, 0 to 1.
    double expertShare = 0.85;
    // Prefill speed.
    double promptTokensPerMs = 61.4;
    // Most prompt tokens that a rank prefills per step.
    double chunk = 512;
    // Age of the engines' reports when they reach an entry.
    double reportLagMs = 200;
    // How long a rank keeps a shared part of prompts after the last stream that has it.
    double keepPartsMs = 0;
    // Expert load of the most loaded rank relative to the mean.
    std::vector<ScheduledValue> unevenness { { 0, 1.3 } };
    // Periods in which single ranks are slow.
    std::vector<SlowPeriod> slow;
};

// Behaviour of the callers.
struct CallerModel {
    // New callers per second.
    std::vector<ScheduledValue> perSecond { { 0, 50 } };
    // Events per answer and tokens per prompt are log-normally distributed: mean, standard
    // deviation of the logarithm, and maximum.
    double events = 24.3;
    double eventsSpread = 0.6;
    double mostEvents = 60;
    double promptTokens = 674;
    double promptSpread = 0.75;
    double mostPromptTokens = 2340;
    // Tokens of the part that begins each prompt, in addition to promptTokens, and number of different parts;
    // a quarter of the prompts have the first one, and the others are equally frequent.
    double sharedTokens = 0;
    uint32_t sharedParts = 1;
    // Longest time to first event that is in time.
    double objectiveMs = 500;
    // Longest gap between events that is in time.
    double gapObjectiveMs = 120;
    // Time after which a caller gives up, counted from its first try.
    double timeoutMs = 8000;
    // A caller that receives no event for this long gives up.
    double patienceMs = 2000;
    // Number of times that a caller retries after a refusal, each after the delay it was given.
    uint32_t returns = 1;
};

struct Scenario {
    std::string name;
    // Description: the load it represents and its purpose.
    std::string about;
    // Time during which callers arrive.
    double seconds = 30;
    // Number of entries that dispatch requests.
    uint32_t entries = 4;
    // Interval at which entries receive reports of engines and each other's counts.
    double statusIntervalMs = 100;
    EngineModel engine;
    CallerModel callers;
};

// Parses a scenario from JSON. Omitted members keep the default values above. Returns nothing and
// sets `reason` if the text is not a valid scenario or has unknown members.
std::optional<Scenario> parseScenario(std::string_view, std::string& reason);

} // namespace orioletrail::model
