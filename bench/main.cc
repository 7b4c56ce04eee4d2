// Command line of the measurements.
#include "bench/bench.h"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app { "measurements of orioletrail" };
    app.require_subcommand(1);
    CLI::App* expertMap = app.add_subcommand("expertmap", "policies for expert maps");
    CLI::App* path = app.add_subcommand("path", "the whole path against direct calls");
    CLI::App* hop = app.add_subcommand("hop", "nng against framed connections");
    CLI::App* ledger = app.add_subcommand("ledger", "ways to claim idempotency keys");
    CLI::App* routing = app.add_subcommand("routing", "policies for choosing an endpoint");
    CLI::App* overload = app.add_subcommand("overload", "useful work and refusals under overload");
    CLI::App* capacity = app.add_subcommand("capacity", "cost of control by role and size");
    CLI::App* plan = app.add_subcommand("plan", "planning of expert maps after shifts of popularity");
    using namespace orioletrail::bench;
    CLI::App* experiment = app.add_subcommand("experiment", "a scenario of the model, with each decision left out in turn");
    ExperimentOptions options;
    experiment->add_option("scenario", options.scenario, "file with the scenario, in JSON")->required()->check(CLI::ExistingFile);
    experiment->add_option("--seeds", options.seeds, "plays of each policy")->check(CLI::Range(1, 1000))->capture_default_str();
    experiment->add_option("--plot", options.plot, "file for the values over time, for gnuplot");
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
    if (*experiment)
        return runExperiment(options);
    return *capacity ? runCapacity() : 1;
}
