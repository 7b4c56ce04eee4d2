// Plays a scenario of the model with each decision left out in turn.
#include "bench/bench.h"
#include "model/simulation.h"

#include <cstdio>
#include <fstream>
#include <iterator>

namespace orioletrail::bench {

namespace {

    void add(model::Tally& sum, const model::Tally& tally)
    {
        sum.asked += tally.asked;
        sum.inTime += tally.inTime;
        sum.late += tally.late;
        sum.refused += tally.refused;
        sum.failed += tally.failed;
        sum.lateByPause += tally.lateByPause;
    }

    double share(uint64_t part, uint64_t whole)
    {
        return whole ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

} // namespace

int runExperiment(const ExperimentOptions& options)
{
    std::ifstream file(options.scenario);
    if (!file) {
        std::fprintf(stderr, "scenario %s cannot be read\n", options.scenario.c_str());
        return 1;
    }
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    std::string reason;
    const std::optional<model::Scenario> scenario = model::parseScenario(text, reason);
    if (!scenario) {
        std::fprintf(stderr, "%s: %s\n", options.scenario.c_str(), reason.c_str());
        return 1;
    }
    std::printf("%s: %s\n%u seeds of %.0f s\n\n", scenario->name.c_str(), scenario->about.c_str(), options.seeds, scenario->seconds);
    std::printf("| policy | value | least | in time | late | by pauses | refused | failed | long prompts | first event p50 | p99 |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    std::ofstream plot;
    if (!options.plot.empty()) {
        plot.open(options.plot);
        plot << "# gnuplot: plot for [i=0:*] FILE index i using 1:2 with lines title columnheader(1)\n";
    }
    for (const model::Policy& policy : model::allPolicies()) {
        model::Tally whole;
        model::Tally longPrompts;
        std::vector<model::Tally> series;
        double p50 = 0;
        double p99 = 0;
        double least = 1;
        for (uint32_t seed = 1; seed <= options.seeds; ++seed) {
            const model::PlayResult result = model::play(*scenario, policy, seed);
            add(whole, result.whole);
            add(longPrompts, result.longPrompts);
            series.resize(result.series.size());
            for (size_t window = 0; window < series.size(); ++window)
                add(series[window], result.series[window]);
            p50 += result.firstEventQuantile(0.5) / options.seeds;
            p99 += result.firstEventQuantile(0.99) / options.seeds;
            least = std::min(least, result.whole.value());
        }
        std::printf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f ms | %.0f ms |\n", policy.name.c_str(), whole.value(), least, share(whole.inTime, whole.asked),
            share(whole.late, whole.asked), share(whole.lateByPause, whole.asked), share(whole.refused, whole.asked), share(whole.failed, whole.asked), longPrompts.value(), p50, p99);
        if (!plot)
            continue;
        constexpr double windowSeconds = 2;
        plot << '"' << policy.name << "\"\n";
        for (size_t window = 0; window < series.size(); ++window)
            plot << static_cast<double>(window) * windowSeconds << ' ' << series[window].value() << '\n';
        plot << "\n\n";
    }
    return 0;
}

} // namespace orioletrail::bench
