// Useful work and refusals at the capacity of the endpoints and at three times as much.
#include "bench/bench.h"
#include "tests/cluster.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <thread>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;

    // Six engines that bear 16 requests each.
    constexpr uint32_t capacity = 96;
    constexpr uint32_t smallCallers = 6;
    constexpr Millis warmUpTime { 4000 };
    constexpr Millis measuredTime { 5000 };

    struct Told {
        uint64_t answered = 0;
        uint64_t refused = 0;
        std::vector<double> refusalMillis;
    };

    Told readTold(const std::string& path)
    {
        Told told;
        std::ifstream file(path);
        std::string line;
        while (std::getline(file, line)) {
            const json::value value = json::parse(line);
            const auto status = value.at("status").to_number<unsigned>();
            if (status && status < 300) {
                ++told.answered;
                continue;
            }
            ++told.refused;
            told.refusalMillis.push_back(value.at("ms").to_number<double>());
        }
        std::sort(told.refusalMillis.begin(), told.refusalMillis.end());
        return told;
    }

    // Runs callers of a large account, and of a small one beside them.
    void runPhase(tests::Cluster& cluster, const std::string& name, uint32_t callers, Millis duration)
    {
        auto flags = [&](const std::string& file, const std::string& token, uint32_t count, int seed) {
            return std::vector<std::string> { "--orders", "0", "--lookups", "0", "--told", cluster.path(file), "--token", token, "--callers", std::to_string(count), "--seed", std::to_string(seed) };
        };
        const auto large = cluster.startCallers(duration, flags(name + "-large", "test-token", callers, 11));
        const auto small = cluster.startCallers(duration, flags(name + "-small", "small-token", smallCallers, 12));
        large->wait(duration * 10);
        small->wait(duration * 10);
    }

    void print(tests::Cluster& cluster, const std::string& name, uint32_t callers, uint64_t usefulAtCapacity)
    {
        const Told large = readTold(cluster.path(name + "-large"));
        const Told small = readTold(cluster.path(name + "-small"));
        const double useful = static_cast<double>(large.answered + small.answered);
        json::object line { { "bench", "overload" }, { "phase", name }, { "callers", callers + smallCallers }, { "largeAnswered", large.answered }, { "largeRefused", large.refused } };
        line["smallAnswered"] = small.answered;
        line["smallRefused"] = small.refused;
        line["usefulRatio"] = usefulAtCapacity ? useful / static_cast<double>(usefulAtCapacity) : 1.0;
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
    if (!cluster.waitReady())
        return 1;
    runPhase(cluster, "warm-up", capacity, warmUpTime);
    runPhase(cluster, "capacity", capacity, measuredTime);
    runPhase(cluster, "overload", capacity * 3, measuredTime);
    const uint64_t useful = readTold(cluster.path("capacity-large")).answered + readTold(cluster.path("capacity-small")).answered;
    print(cluster, "capacity", capacity, useful);
    print(cluster, "overload", capacity * 3, useful);
    return cluster.judge().overloads ? 1 : 0;
}

} // namespace orioletrail::bench
