#include "tests/cluster.h"
#include "tests/direct-cluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

constexpr double retryRatio = 0.2;
// Entries exchange their status ten times per second.
constexpr Millis peerExchangeTime { 600 };

void startEntries(DirectCluster& cluster, int entries)
{
    for (int entry = 0; entry < entries; ++entry)
        cluster.startEntry(entry);
    for (int entry = 0; entry < entries; ++entry)
        REQUIRE(cluster.waitUntilReady(entry));
    std::this_thread::sleep_for(peerExchangeTime);
}

// Sends `count` requests to each entry, to all entries at once and four at a time. Request ids begin with `prefix`.
void sendToEach(DirectCluster& cluster, int entries, int count, const std::string& target, const std::string& prefix)
{
    constexpr int callersPerEntry = 4;
    std::vector<std::thread> callers;
    for (int entry = 0; entry < entries; ++entry)
        for (int caller = 0; caller < callersPerEntry; ++caller)
            callers.emplace_back([&, entry, caller] {
                for (int i = caller; i < count; i += callersPerEntry)
                    cluster.call("GET", target, prefix + std::to_string(entry) + '-' + std::to_string(i), { { "X-Deadline-Ms", "1000" } }, entry);
            });
    for (std::thread& caller : callers)
        caller.join();
}

double allowedRepeats(int requests)
{
    return retryRatio * requests + DirectCluster::retrySlack;
}

} // namespace

TEST_CASE("budget: entries that start without knowing each other do not overspend the shared slack")
{
    constexpr int entries = 12;
    constexpr int requests = 20;
    std::string fault;
    std::string target = "/lookup/1";
    std::vector<std::string> faulty { "p1", "p2" };
    SUBCASE("misdirected") { fault = "misdirect"; }
    SUBCASE("refused") { fault = "refuse"; }
    SUBCASE("reset") { fault = "lose"; }
    SUBCASE("failed") { fault = "fail"; }
    SUBCASE("silent")
    {
        // Another endpoint is tried only if it has not fallen silent too.
        fault = "slow";
        faulty = { "p1" };
    }
    SUBCASE("resumed")
    {
        fault = "cut";
        target = "/stream/1";
        faulty = { "m1", "m2", "m3" };
    }
    CAPTURE(fault);
    DirectCluster cluster;
    startEntries(cluster, entries);
    for (const std::string& name : faulty)
        cluster.setFault(name, fault, 900);
    sendToEach(cluster, entries, requests, target, "a");
    const int repeats = cluster.repeatArrivals();
    CHECK(repeats > 0);
    CHECK(repeats <= allowedRepeats(entries * requests));
}

TEST_CASE("budget: entries that are killed and started again do not spend the shared slack again")
{
    constexpr int entries = 4;
    constexpr int requests = 10;
    constexpr int rounds = 3;
    DirectCluster cluster;
    for (const char* name : { "p1", "p2" })
        cluster.setFault(name, "refuse");
    const TimePoint begin = Clock::now();
    for (int round = 0; round < rounds; ++round) {
        startEntries(cluster, entries);
        sendToEach(cluster, entries, requests, "/lookup/1", "b" + std::to_string(round) + '-');
    }
    REQUIRE(Clock::now() - begin < Millis(10'000));
    const int repeats = cluster.repeatArrivals();
    CHECK(repeats > 0);
    CHECK(repeats <= allowedRepeats(rounds * entries * requests));
}

TEST_CASE("budget: an entry before sidecars that is killed and started again does not spend its retries again")
{
    constexpr int requests = 6;
    constexpr int rounds = 4;
    constexpr double retriesForEachStart = 2;
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    for (const char* name : { "z1-s1", "z2-s1", "z3-s1" })
        cluster.setFault(name, "lose");
    for (int round = 0; round < rounds; ++round) {
        cluster.startEntry(1);
        REQUIRE(cluster.waitUntilReady());
        for (int i = 0; i < requests; ++i)
            cluster.call(cluster.entryAddress(1), "GET", "/services/print/orders/1", "", { { "X-Deadline-Ms", "2000" } });
    }
    size_t arrivals = 0;
    for (const char* name : { "z1-s1", "z2-s1", "z3-s1" })
        arrivals += cluster.runCount(name);
    CHECK(arrivals > rounds * requests);
    CHECK(static_cast<double>(arrivals) <= (1 + retryRatio) * rounds * requests + retriesForEachStart * rounds);
}
