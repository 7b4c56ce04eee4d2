// Compares planning policies for expert placement on synthetic traces of token counts, and measures the
// planning time of the product's planner.
#include "bench/bench.h"

#include "expertmap/planner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <iostream>
#include <memory>
#include <numeric>
#include <random>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;

    constexpr uint32_t experts = 64;
    constexpr uint32_t layers = 4;
    constexpr int intervals = 240;
    constexpr double intervalSeconds = 60;
    constexpr double tokensPerInterval = 1e6;

    // How the popularity of experts changes over a trace.
    struct TraceKind {
        std::string_view name;
        // Standard deviation of the random walk of each log weight, per interval.
        double driftPerInterval;
        // Probability per interval that the weights are shuffled among the experts.
        double shiftChance;
        // Probability per interval that one expert gets four times its weight for that interval.
        double burstChance;
    };

    constexpr TraceKind traceKinds[] = { { "drift", 0.02, 0, 0 }, { "shift", 0.01, 0.02, 0 }, { "burst", 0.01, 0, 0.05 } };

    // Generates the expert popularity of one layer: Zipf weights that follow a random walk, with occasional
    // shuffles and bursts.
    class Popularity {
    public:
        explicit Popularity(uint64_t seed)
            : m_random(seed)
        {
            for (uint32_t expert = 1; expert <= experts; ++expert)
                m_logWeights.push_back(-0.8 * std::log(expert));
            std::shuffle(m_logWeights.begin(), m_logWeights.end(), m_random);
        }

        // Returns the token counts of the next interval, by expert. `noise` draws the Poisson noise of the
        // counts; it is separate from the generator of the weights.
        std::vector<double> next(const TraceKind& kind, std::mt19937_64& noise)
        {
            std::normal_distribution<double> drift(0, kind.driftPerInterval);
            std::uniform_real_distribution<double> chance(0, 1);
            for (double& weight : m_logWeights)
                weight += drift(m_random);
            if (chance(m_random) < kind.shiftChance)
                std::shuffle(m_logWeights.begin(), m_logWeights.end(), m_random);
            std::vector<double> weights;
            std::transform(m_logWeights.begin(), m_logWeights.end(), std::back_inserter(weights), [](double weight) { return std::exp(weight); });
            if (chance(m_random) < kind.burstChance)
                weights[m_random() % experts] *= 4;
            const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
            for (double& weight : weights)
                weight = static_cast<double>(std::poisson_distribution<int64_t>(weight / sum * tokensPerInterval)(noise));
            return weights;
        }

    private:
        std::mt19937_64 m_random;
        std::vector<double> m_logWeights;
    };

    // Token counts of one interval, by layer and expert.
    using Counts = std::vector<std::vector<double>>;

    // One element for each interval.
    std::vector<Counts> makeTrace(const TraceKind& kind, uint64_t seed)
    {
        std::mt19937_64 noise(seed + 1000);
        std::vector<Popularity> popularity;
        for (uint32_t layer = 0; layer < layers; ++layer)
            popularity.emplace_back(seed * 100 + layer);
        std::vector<Counts> trace;
        for (int interval = 0; interval < intervals; ++interval) {
            Counts counts;
            for (Popularity& layer : popularity)
                counts.push_back(layer.next(kind, noise));
            trace.push_back(std::move(counts));
        }
        return trace;
    }

    // Returns the placements for the next interval, one for each layer, from the counts of the last one.
    using Policy = std::function<std::vector<Placement>(const Counts&)>;

    std::vector<Placement> placeAll(const Counts& counts, const RankTopology& topology)
    {
        std::vector<Placement> placements;
        std::string error;
        for (const std::vector<double>& loads : counts)
            placements.push_back(*placeGreedily(loads, topology, error));
        return placements;
    }

    // Places all experts once, from the first counts.
    Policy makeStaticPolicy(const RankTopology& topology)
    {
        auto current = std::make_shared<std::vector<Placement>>();
        return [current, topology](const Counts& counts) {
            if (current->empty())
                *current = placeAll(counts, topology);
            return *current;
        };
    }

    // Places all experts anew every `period` intervals.
    Policy makePeriodicPolicy(const RankTopology& topology, int period)
    {
        auto current = std::make_shared<std::vector<Placement>>();
        auto calls = std::make_shared<int>(0);
        return [current, calls, topology, period](const Counts& counts) {
            if ((*calls)++ % period == 0)
                *current = placeAll(counts, topology);
            return *current;
        };
    }

    // Uses the planner of the product.
    Policy makePlannerPolicy(const RankTopology& topology)
    {
        auto planner = std::make_shared<Planner>(topology, PlannerSettings {});
        return [planner](const Counts& counts) {
            std::string error;
            return planner->plan(counts, error)->layers;
        };
    }

    double quantile(std::vector<double> values, double fraction)
    {
        std::sort(values.begin(), values.end());
        return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
    }

    // Runs a policy over a trace, evaluates each placement on the following interval, and prints the
    // result.
    void runPolicy(std::string_view name, const Policy& policy, const std::vector<Counts>& trace, const TraceKind& kind, const RankTopology& topology)
    {
        std::vector<double> skews;
        std::vector<double> overLowerBound;
        uint64_t moves = 0;
        double planSeconds = 0;
        std::vector<Placement> previous;
        for (size_t interval = 0; interval + 1 < trace.size(); ++interval) {
            const auto start = std::chrono::steady_clock::now();
            std::vector<Placement> placements = policy(trace[interval]);
            planSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
            const Counts& nextCounts = trace[interval + 1];
            double largest = 0;
            double mean = 0;
            double lowerBound = 0;
            for (uint32_t layer = 0; layer < layers; ++layer) {
                if (!previous.empty())
                    moves += countMoves(previous[layer], placements[layer]);
                largest += largestRankLoad(placements[layer], nextCounts[layer], topology);
                mean += std::accumulate(nextCounts[layer].begin(), nextCounts[layer].end(), 0.0) / topology.ranks;
                lowerBound += largestLoadBound(nextCounts[layer], topology);
            }
            skews.push_back(largest / mean);
            overLowerBound.push_back(largest / lowerBound);
            previous = std::move(placements);
        }
        const double hours = static_cast<double>(skews.size()) * intervalSeconds / 3600;
        const double meanSkew = std::accumulate(skews.begin(), skews.end(), 0.0) / static_cast<double>(skews.size());
        std::cout << json::serialize(json::object { { "bench", "expertmap" }, { "trace", kind.name }, { "ranks", topology.ranks }, { "slots", topology.slotsPerRank }, { "policy", name }, { "skewMean", meanSkew }, { "skewP95", quantile(skews, 0.95) }, { "skewP99", quantile(skews, 0.99) }, { "overBoundP95", quantile(overLowerBound, 0.95) }, { "movesPerHour", static_cast<double>(moves) / hours }, { "planMs", planSeconds * 1000 / static_cast<double>(skews.size()) } })
                  << '\n';
    }

    // Measures the time to plan one interval. The first interval, in which the planner places all experts
    // from scratch, is excluded.
    void measurePlanTime(const RankTopology& topology, uint32_t planLayers)
    {
        Planner planner(topology, PlannerSettings {});
        std::vector<Popularity> popularity;
        for (uint32_t layer = 0; layer < planLayers; ++layer)
            popularity.emplace_back(layer + 7);
        std::mt19937_64 noise(5);
        std::vector<double> millis;
        std::string error;
        for (int interval = 0; interval < 12; ++interval) {
            Counts counts;
            for (Popularity& layer : popularity)
                counts.push_back(layer.next(traceKinds[1], noise));
            const auto start = std::chrono::steady_clock::now();
            planner.plan(counts, error);
            if (interval)
                millis.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
        }
        std::cout << json::serialize(json::object { { "bench", "expertmap-plan" }, { "ranks", topology.ranks }, { "slots", topology.slotsPerRank }, { "layers", planLayers }, { "planMsP50", quantile(millis, 0.5) }, { "planMsMax", quantile(millis, 1) } }) << '\n';
    }

} // namespace

int runExpertMap()
{
    const RankTopology topologies[] = { { 8, 10, {}, 1 }, { 32, 3, {}, 1 }, { 128, 1, {}, 1 }, { 128, 2, {}, 1 } };
    for (const RankTopology& topology : topologies)
        for (const TraceKind& kind : traceKinds) {
            const std::vector<Counts> trace = makeTrace(kind, 1);
            runPolicy("static", makeStaticPolicy(topology), trace, kind, topology);
            runPolicy("periodic-greedy", makePeriodicPolicy(topology, 10), trace, kind, topology);
            runPolicy("always-rebalance", makePeriodicPolicy(topology, 1), trace, kind, topology);
            runPolicy("planner", makePlannerPolicy(topology), trace, kind, topology);
        }
    for (const RankTopology& topology : topologies)
        for (const uint32_t planLayers : { 15U, 30U, 60U })
            measurePlanTime(topology, planLayers);
    return 0;
}

} // namespace orioletrail::bench
