// Command line of the benchmarks.
#include "bench/bench.h"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app { "benchmarks of orioletrail" };
    app.require_subcommand(1);
    CLI::App* expertMap = app.add_subcommand("expertmap", "planning policies for expert maps, on synthetic traces of token counts");
    CLI::App* path = app.add_subcommand("path", "latency and throughput of the whole request path, compared with direct requests");
    CLI::App* hop = app.add_subcommand("hop", "round-trip time between two threads, with nng and with framed connections");
    CLI::App* ledger = app.add_subcommand("ledger", "strategies for claiming idempotency keys");
    CLI::App* routing = app.add_subcommand("routing", "policies for choosing an endpoint, in a simulation");
    CLI::App* overload = app.add_subcommand("overload", "answered and refused requests at capacity and under overload");
    CLI::App* capacity = app.add_subcommand("capacity", "cost of the control plane by role and size");
    CLI::App* plan = app.add_subcommand("plan", "planning of expert maps after shifts in expert popularity");
    CLI::App* crashParts = app.add_subcommand("crash-parts", "finding the part of a prompt that crashes endpoints, in a simulation");
    CLI::App* crashRequests = app.add_subcommand("crash-requests", "telling a request that crashes endpoints from sound ones, in a simulation");
    using namespace orioletrail::bench;
    CLI::App* groups = app.add_subcommand("groups", "splits of requests among groups of engines that differ, in simulated time");
    uint32_t groupRanks = 32;
    double groupRequests = 224;
    uint32_t groupSeeds = 3;
    groups->add_option("--ranks", groupRanks, "ranks of each of the two groups")->check(CLI::Range(1, 1000))->capture_default_str();
    groups->add_option("--per-second", groupRequests, "requests per second")->check(CLI::Range(1.0, 10'000.0))->capture_default_str();
    groups->add_option("--seeds", groupSeeds, "number of simulations of each policy")->check(CLI::Range(1, 1000))->capture_default_str();
    CLI::App* experiment = app.add_subcommand("experiment", "a scenario of the model, with the full dispatch policy and with each mechanism left out in turn");
    ExperimentOptions options;
    experiment->add_option("scenario", options.scenarioFile, "file with the scenario, in JSON")->required()->check(CLI::ExistingFile);
    experiment->add_option("--seeds", options.seeds, "number of simulations of each policy")->check(CLI::Range(1, 1000))->capture_default_str();
    experiment->add_option("--plot", options.plotFile, "gnuplot data file to write, with the value of each policy over time");
    CLI11_PARSE(app, argc, argv);
    if (*expertMap)
        return runExpertMap();
    if (*path)
        return runPath();
    if (*hop)
        return runHop();
    if (*ledger)
        return runLedger();
    if (*routing)
        return runRouting();
    if (*overload)
        return runOverload();
    if (*plan)
        return runPlan();
    if (*groups)
        return runGroups(groupRanks, groupRequests, groupSeeds);
    if (*crashParts)
        return runCrashParts();
    if (*crashRequests)
        return runCrashRequests();
    if (*experiment)
        return runExperiment(options);
    return *capacity ? runCapacity() : 1;
}
