// Answered and refused requests with as many callers as the endpoints have capacity for, and with three
// times as many.
#include "bench/bench.h"
#include "tests/cluster.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <thread>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;

    // The cluster has 6 engines, each with a capacity of 16 concurrent requests.
    constexpr uint32_t callersAtCapacity = 96;
    // Callers of the small account, which run beside those of the large one.
    constexpr uint32_t smallAccountCallers = 6;
    constexpr Millis warmUpTime { 4000 };
    constexpr Millis measuredTime { 5000 };

    // Results that the callers of one account recorded. Every request without a successful
    // response counts as refused.
    struct CallerResults {
        uint64_t answered = 0;
        uint64_t refused = 0;
        // Times from request to refusal, in rising order.
        std::vector<double> refusalMillis;
    };

    CallerResults readCallerResults(const std::string& path)
    {
        CallerResults results;
        std::ifstream file(path);
        std::string line;
        while (std::getline(file, line)) {
            const json::value result = json::parse(line);
            const auto status = result.at("status").to_number<unsigned>();
            if (status && status < 300) {
                ++results.answered;
                continue;
            }
            ++results.refused;
            results.refusalMillis.push_back(result.at("ms").to_number<double>());
        }
        std::sort(results.refusalMillis.begin(), results.refusalMillis.end());
        return results;
    }

    // Runs the callers of the large and of the small account at the same time, and waits until both are
    // done. Their results go to files named after the phase.
    void runPhase(tests::Cluster& cluster, const std::string& phase, uint32_t largeAccountCallers, Millis duration)
    {
        auto makeFlags = [&](const std::string& file, const std::string& token, uint32_t count, int seed) {
            return std::vector<std::string> { "--orders", "0", "--lookups", "0", "--told", cluster.path(file), "--token", token, "--callers", std::to_string(count), "--seed", std::to_string(seed) };
        };
        const auto large = cluster.startLoadGenerator(duration, makeFlags(phase + "-large", "test-token", largeAccountCallers, 11));
        const auto small = cluster.startLoadGenerator(duration, makeFlags(phase + "-small", "small-token", smallAccountCallers, 12));
        large->wait(duration * 10);
        small->wait(duration * 10);
    }

    void printPhase(tests::Cluster& cluster, const std::string& phase, uint32_t largeAccountCallers, uint64_t answeredAtCapacity)
    {
        const CallerResults large = readCallerResults(cluster.path(phase + "-large"));
        const CallerResults small = readCallerResults(cluster.path(phase + "-small"));
        const double answered = static_cast<double>(large.answered + small.answered);
        json::object line { { "bench", "overload" }, { "phase", phase }, { "callers", largeAccountCallers + smallAccountCallers }, { "largeAnswered", large.answered }, { "largeRefused", large.refused } };
        line["smallAnswered"] = small.answered;
        line["smallRefused"] = small.refused;
        line["usefulRatio"] = answeredAtCapacity ? answered / static_cast<double>(answeredAtCapacity) : 1.0;
        if (!large.refusalMillis.empty()) {
            line["refusalP50ms"] = large.refusalMillis[large.refusalMillis.size() / 2];
            line["refusalP99ms"] = large.refusalMillis[large.refusalMillis.size() * 99 / 100];
        }
        std::cout << json::serialize(line) << std::endl;
    }

} // namespace

int runOverload()
{
    tests::Cluster cluster;
    if (!cluster.waitUntilReady())
        return 1;
    runPhase(cluster, "warm-up", callersAtCapacity, warmUpTime);
    runPhase(cluster, "capacity", callersAtCapacity, measuredTime);
    runPhase(cluster, "overload", callersAtCapacity * 3, measuredTime);
    const uint64_t answeredAtCapacity = readCallerResults(cluster.path("capacity-large")).answered + readCallerResults(cluster.path("capacity-small")).answered;
    printPhase(cluster, "capacity", callersAtCapacity, answeredAtCapacity);
    printPhase(cluster, "overload", callersAtCapacity * 3, answeredAtCapacity);
    return cluster.judge().overloadedRequests ? 1 : 0;
}

} // namespace orioletrail::bench
