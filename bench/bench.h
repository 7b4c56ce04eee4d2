// Measurements. Each prints JSON lines, or a table where it says so.
#pragma once

#include <cstdint>
#include <string>

namespace orioletrail::bench {

// Step-time skew and moves of policies for expert maps.
int runExpertMap();

// Latency and rate of the whole path against direct calls, with real processes.
int runPath();

// One hop between two threads, by nng and by a framed connection.
int runHop();

// Platform calls and latency of ways to claim idempotency keys.
int runLedger();

// Policies for choosing an endpoint.
int runRouting();

// Useful work and refusals at the capacity of the endpoints and at three times as much.
int runOverload();

// Cost of control by role at several sizes.
int runCapacity();

// Time and result of planning changes of expert maps at several sizes, as a table.
int runPlan();

struct ExperimentOptions {
    // File with a scenario of the model, in JSON.
    std::string scenario;
    uint32_t seeds = 10;
    // File for the values over time, as gnuplot reads them; empty for none.
    std::string plot;
};

// Plays a scenario with each decision left out in turn, and prints a table.
int runExperiment(const ExperimentOptions&);

} // namespace orioletrail::bench
