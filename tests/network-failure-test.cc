// Connections that stop forwarding without closing or that close, and entries that are frozen or killed.
#include "tests/cluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

TEST_CASE("connections silent for good are replaced and nothing is called unknown")
{
    Cluster cluster({ 3, 2, 1, true, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(6000), { "--orders", "0.5", "--lookups", "0.2" });
    std::this_thread::sleep_for(Millis(1000));
    for (const std::string& name : cluster.endpointNames()) {
        cluster.sidecarRelay(name).signal(SIGUSR1);
        std::this_thread::sleep_for(Millis(200));
    }
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(unansweredCount(verdict) == 0);
    CHECK(resultCount(verdict, "order", "answered") > 50);
}

TEST_CASE("connections that are cut again and again lose no answer")
{
    Cluster cluster({ 3, 2, 1, true, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(6000), { "--orders", "0.5", "--lookups", "0.2" });
    for (int round = 0; round < 3; ++round)
        for (const std::string& name : cluster.endpointNames()) {
            std::this_thread::sleep_for(Millis(150));
            cluster.sidecarRelay(name).signal(SIGUSR2);
            std::this_thread::sleep_for(Millis(50));
            cluster.sidecarRelay(name).signal(SIGUSR2);
        }
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(unansweredCount(verdict) == 0);
}

TEST_CASE("an order on a connection that goes silent behind the sidecar may have run, and runs once")
{
    Cluster cluster({ 1, 1, 1, true, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const HeaderList headers { { "Idempotency-Key", "k1" }, { "X-Deadline-Ms", "1500" } };
    cluster.setFault("z1-s1", "slow", 500, 1);
    HttpResult result;
    std::thread caller([&] { result = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", headers); });
    std::this_thread::sleep_for(Millis(250));
    cluster.endpointRelay("z1-s1").signal(SIGUSR1);
    caller.join();
    CHECK(result.status == 504);
    CHECK(result.body.find("\"run\":\"may-have-run\"") != std::string::npos);
    const HttpResult repeat = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", { { "Idempotency-Key", "k1" } });
    CHECK(repeat.status == 409);
    CHECK(cluster.runCount("z1-s1") == 1);
    CHECK(cluster.call(cluster.entryAddress(1), "GET", "/services/print/orders/1").status == 200);
}

TEST_CASE("a frozen entry that resumes gets the answers to its own requests")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(6000), { "--orders", "0.4", "--lookups", "0.2" });
    std::this_thread::sleep_for(Millis(1000));
    cluster.entry(1).signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(2000));
    cluster.entry(1).signal(SIGCONT);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a killed entry leaves no order run twice")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(5000), { "--orders", "0.6", "--lookups", "0.2" });
    std::this_thread::sleep_for(Millis(1500));
    cluster.entry(1).signal(SIGKILL);
    cluster.startEntry(1);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    CHECK(cluster.judge().isClean());
}
