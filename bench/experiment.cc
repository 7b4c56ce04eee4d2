// Ablation of the dispatch policy: simulates a scenario with the full policy and with each of its
// mechanisms disabled in turn.
#include "bench/bench.h"
#include "model/simulation.h"

#include <cstdio>
#include <fstream>
#include <iterator>

namespace orioletrail::bench {

namespace {

    void addCounts(model::OutcomeCounts& sum, const model::OutcomeCounts& counts)
    {
        sum.asked += counts.asked;
        sum.inTime += counts.inTime;
        sum.late += counts.late;
        sum.refused += counts.refused;
        sum.failed += counts.failed;
        sum.lateByPause += counts.lateByPause;
    }

    double ratio(uint64_t numerator, uint64_t denominator)
    {
        return denominator ? static_cast<double>(numerator) / static_cast<double>(denominator) : 0;
    }

} // namespace

int runExperiment(const ExperimentOptions& options)
{
    std::ifstream file(options.scenarioFile);
    if (!file) {
        std::fprintf(stderr, "cannot read scenario file %s\n", options.scenarioFile.c_str());
        return 1;
    }
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    std::string error;
    const std::optional<model::Scenario> scenario = model::parseScenario(text, error);
    if (!scenario) {
        std::fprintf(stderr, "%s: %s\n", options.scenarioFile.c_str(), error.c_str());
        return 1;
    }
    std::printf("%s: %s\n%u seeds, %.0f simulated seconds each\n\n", scenario->name.c_str(), scenario->about.c_str(), options.seeds, scenario->seconds);
    std::printf("| policy | value | lowest value | in time | late | late by pauses | refused | failed | long prompts | first event p50 | p99 | tokens read, thousands | tokens saved as predicted | moved for parts | peak load |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    std::ofstream plot;
    if (!options.plotFile.empty()) {
        plot.open(options.plotFile);
        plot << "# gnuplot: plot for [i=0:*] FILE index i using 1:2 with lines title columnheader(1)\n";
    }
    constexpr double tokensPerThousand = 1000;
    for (const model::Policy& policy : model::allPolicies()) {
        model::OutcomeCounts total;
        model::OutcomeCounts longPrompts;
        std::vector<model::OutcomeCounts> windowCounts;
        double p50 = 0;
        double p99 = 0;
        double lowestValue = 1;
        double tokensRead = 0;
        double tokensSaved = 0;
        double moved = 0;
        double peakLoad = 0;
        for (uint32_t seed = 1; seed <= options.seeds; ++seed) {
            const model::SimulationResult result = model::simulate(*scenario, policy, seed);
            addCounts(total, result.total);
            addCounts(longPrompts, result.longPrompts);
            windowCounts.resize(result.series.size());
            for (size_t window = 0; window < windowCounts.size(); ++window)
                addCounts(windowCounts[window], result.series[window]);
            p50 += result.firstEventQuantile(0.5) / options.seeds;
            p99 += result.firstEventQuantile(0.99) / options.seeds;
            tokensRead += result.tokensRead / options.seeds;
            tokensSaved += result.tokensSaved / options.seeds;
            moved += static_cast<double>(result.moved) / options.seeds;
            peakLoad += result.peakLoad / options.seeds;
            lowestValue = std::min(lowestValue, result.total.value());
        }
        std::printf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f ms | %.1f ms | %.1f | %.1f | %.0f | %.2f |\n", policy.name.c_str(), total.value(), lowestValue, ratio(total.inTime, total.asked),
            ratio(total.late, total.asked), ratio(total.lateByPause, total.asked), ratio(total.refused, total.asked), ratio(total.failed, total.asked), longPrompts.value(), p50, p99, tokensRead / tokensPerThousand, tokensSaved / tokensPerThousand, moved, peakLoad);
        if (!plot)
            continue;
        // Length of the windows of SimulationResult::series.
        constexpr double windowSeconds = 2;
        plot << '"' << policy.name << "\"\n";
        for (size_t window = 0; window < windowCounts.size(); ++window)
            plot << static_cast<double>(window) * windowSeconds << ' ' << windowCounts[window].value() << '\n';
        plot << "\n\n";
    }
    return 0;
}

} // namespace orioletrail::bench
