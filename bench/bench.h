// Entry points of the benchmarks, one for each subcommand of orioletrail-bench. Each returns the exit
// status of the process. Results go to standard output, as JSON lines unless noted.
#pragma once

#include <cstdint>
#include <string>

namespace orioletrail::bench {

// Compares planning policies for expert placement on synthetic traces of token counts: load skew across
// ranks, expert copies moved per hour, and planning time.
int runExpertMap();

// Measures latency and throughput of requests sent through an entry and a sidecar, and of the same
// requests sent directly to the endpoints. Starts real processes.
int runPath();

// Measures the round-trip time of a message between two threads over loopback, with nng and with
// a Connection.
int runHop();

// Compares strategies for claiming idempotency keys: calls to the platform and added latency.
int runLedger();

// Compares load-balancing policies in a simulation: time to first token, prefix cache hit rate and share
// of refused requests.
int runRouting();

// Measures answered and refused requests with as many callers as the endpoints have capacity for, and
// with three times as many. Starts real processes.
int runOverload();

// Measures what the control plane costs each role (CPU time, memory, message sizes) at several sizes,
// and fits a line to each cost. Starts real processes.
int runCapacity();

// Measures how much planned changes of an expert map reduce load imbalance, and how long planning
// takes, at several sizes. Prints a table.
int runPlan();

// Splits of requests among two groups of engines of this many ranks.
int runGroups(uint32_t ranks, double perSecond, uint32_t seeds);

// Prints how a part of a prompt that crashes endpoints is found, over 50 seeds of a simulation.
int runCrashParts();
int runCrashRequests();

struct ExperimentOptions {
    // Path of the scenario file, in JSON.
    std::string scenarioFile;
    // Number of simulations of each policy, with seeds 1, 2, ...
    uint32_t seeds = 10;
    // Path of a gnuplot data file to write, with the value of each policy over time; none if empty.
    std::string plotFile;
};

// Simulates a scenario with the full dispatch policy and with each of its mechanisms disabled in turn.
// Prints a table. Returns 1 if the scenario cannot be read or parsed.
int runExperiment(const ExperimentOptions&);

} // namespace orioletrail::bench
