// What a model plays: a group of engines, its callers and what goes wrong.
#pragma once

#include "base/types.h"

namespace orioletrail::model {

// A value from some moment of the play on.
struct Step {
    double atSeconds = 0;
    double value = 0;
};

struct SlowSpell {
    double fromSeconds = 0;
    double toSeconds = 0;
    uint32_t rank = 0;
    double factor = 1;
};

// A group of engines that run passes together; times in milliseconds.
struct EngineModel {
    uint32_t ranks = 12;
    uint32_t slots = 12;
    uint32_t stride = 4;
    double stepMs = 4.55;
    double perSequenceMs = 0.905;
    double expertShare = 0.85;
    double promptTokensPerMs = 61.4;
    // Prompt tokens that a rank reads in a step at most.
    double chunk = 512;
    // Age of what engines report.
    double reportLagMs = 200;
    // Largest expert load of a rank over the mean.
    std::vector<Step> unevenness { { 0, 1.3 } };
    std::vector<SlowSpell> slow;
};

struct CallerModel {
    std::vector<Step> perSecond { { 0, 50 } };
    // Events of an answer and tokens of a prompt: log-normal, with the deviation of the logarithm.
    double events = 24.3;
    double eventsSpread = 0.6;
    double mostEvents = 60;
    double promptTokens = 674;
    double promptSpread = 0.75;
    double mostPromptTokens = 2340;
    double objectiveMs = 500;
    double gapObjectiveMs = 120;
    double timeoutMs = 8000;
    // A caller that hears nothing for so long leaves.
    double patienceMs = 2000;
    // Times that a caller comes back after a refusal, when it was told to.
    uint32_t returns = 1;
};

struct Scenario {
    std::string name;
    // The load this scenario stands for, and why it is played.
    std::string about;
    double seconds = 30;
    uint32_t entries = 4;
    double statusIntervalMs = 100;
    EngineModel engine;
    CallerModel callers;
};

// Reads a scenario from JSON; what it does not name has the values above. Nothing, with `reason`
// set, for text that is no scenario or names unknown members.
std::optional<Scenario> parseScenario(std::string_view, std::string& reason);

} // namespace orioletrail::model
