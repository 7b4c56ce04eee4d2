// Limits of concurrent requests at endpoints that are cold, warm or restarted, and requests that crash endpoints.
#include "tests/cluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

const std::vector<std::string> onlyCompletions { "--orders", "0", "--lookups", "0", "--callers", "60" };

} // namespace

TEST_CASE("many entries never give an endpoint more than it bears, cold or warm")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(5000), onlyCompletions);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.overloadedRequests == 0);
    CHECK(verdict.isClean());
    CHECK(resultCount(verdict, "completion", "answered") > 200);
}

TEST_CASE("a warm endpoint that turns cold is cut back within a second")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(9000), onlyCompletions);
    std::this_thread::sleep_for(Millis(4000));
    cluster.setFault("z1-m1", "cold", 0, 1);
    std::this_thread::sleep_for(Millis(1500));
    cluster.setFault("z2-m2", "cold", 0, 1);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    CHECK(cluster.judge().isClean());
}

TEST_CASE("an endpoint that was killed comes back through the ramp")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(7000), onlyCompletions);
    std::this_thread::sleep_for(Millis(2000));
    cluster.endpoint("z1-m1").signal(SIGKILL);
    std::this_thread::sleep_for(Millis(500));
    cluster.startEndpoint("z1-m1");
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a stream that is cut is retried or ends as broken, never as complete")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(3000), { "--orders", "0", "--lookups", "0" });
    std::this_thread::sleep_for(Millis(500));
    cluster.setFault("z1-m1", "cut", 0, 20);
    cluster.setFault("z2-m1", "cut", 0, 20);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    CHECK(cluster.judge().wrongAnswers == 0);
}

TEST_CASE("a stream that its endpoint ended within an event never looks complete")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(3000), { "--orders", "0", "--lookups", "0" });
    std::this_thread::sleep_for(Millis(500));
    cluster.setFault("z1-m1", "unframed-cut", 0, 20);
    cluster.setFault("z2-m1", "unframed-cut", 0, 20);
    cluster.setFault("z2-m2", "unframed", 0, 20);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.wrongAnswers == 0);
    CHECK(verdict.resultCounts.at("completion").contains("broken"));
}

TEST_CASE("a stream that ends with its endpoint's process never looks complete")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(3000), { "--orders", "0", "--lookups", "0" });
    std::this_thread::sleep_for(Millis(500));
    cluster.setFault("z1-m1", "unframed-crash");
    cluster.setFault("z2-m1", "unframed-crash");
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    CHECK(cluster.endpoint("z1-m1").wait(Millis(1)) == 1);
    CHECK(cluster.judge().wrongAnswers == 0);
}

TEST_CASE("a request that has crashed endpoints is refused by entries and sidecars that start anew")
{
    Cluster cluster({ 3, 2, 1, false, { "--crash-word", "CRASH" }, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const std::string body = R"({"model":"labels","messages":[{"role":"user","content":"CRASH"}]})";
    const auto send = [&](int entry) { return cluster.call(cluster.entryAddress(entry), "POST", "/v1/chat/completions", body).status; };
    for (int i = 0; i < 20 && send(1) != 422; ++i)
        std::this_thread::sleep_for(Millis(100));
    REQUIRE(send(1) == 422);
    // One after the other, so that each learns from those that still know.
    for (const std::string& name : cluster.endpointNames()) {
        if (cluster.endpoint(name).wait(Millis(1)))
            cluster.startEndpoint(name);
        cluster.startSidecar(name);
        std::this_thread::sleep_for(Millis(500));
    }
    for (int zone = 1; zone <= 3; ++zone) {
        cluster.startEntry(zone);
        std::this_thread::sleep_for(Millis(500));
    }
    REQUIRE(cluster.waitUntilReady());
    const std::string otherBody = R"({"model":"labels","messages":[{"role":"user","content":"hello"}]})";
    CHECK(cluster.call(cluster.entryAddress(1), "POST", "/v1/chat/completions", otherBody).status == 200);
    for (int zone = 1; zone <= 3; ++zone)
        CHECK(send(zone) == 422);
}

TEST_CASE("a request that crashes endpoints and is sent again takes down at most three")
{
    Cluster cluster({ 3, 2, 1, false, { "--crash-word", "CRASH" }, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const std::string body = R"({"model":"labels","messages":[{"role":"user","content":"CRASH"}]})";
    for (int i = 0; i < 12; ++i) {
        const HttpResult result = cluster.call(cluster.entryAddress(1 + i % 3), "POST", "/v1/chat/completions", body);
        CHECK(result.status >= 400);
        std::this_thread::sleep_for(Millis(100));
    }
    int crashed = 0;
    for (const std::string& name : cluster.endpointNames())
        if (cluster.endpoint(name).wait(Millis(1)))
            ++crashed;
    CHECK(crashed >= 1);
    CHECK(crashed <= 3);
    const std::string otherBody = R"({"model":"labels","messages":[{"role":"user","content":"hello"}]})";
    CHECK(cluster.call(cluster.entryAddress(1), "POST", "/v1/chat/completions", otherBody).status == 200);
}

// Fails if a sidecar passes requests on to an endpoint that has said that it takes none.
TEST_CASE("an endpoint behind a sidecar that says it is leaving, or asks for a pause, gets no request")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const auto lookUp = [&] { return cluster.call(cluster.entryAddress(1), "GET", "/services/print/orders/1").status; };
    CHECK(lookUp() == 200);
    cluster.setFault("z1-s1", "pause", 2000);
    CHECK(lookUp() == 503);
    cluster.setFault("z1-s1", "none");
    const size_t before = cluster.runCount("z1-s1");
    const TimePoint paused = Clock::now();
    while (Clock::now() - paused < Millis(1500))
        CHECK(lookUp() == 503);
    CHECK(cluster.runCount("z1-s1") == before);
    std::this_thread::sleep_until(paused + Millis(2300));
    cluster.setFault("z1-s1", "leaving");
    CHECK(lookUp() == 200);
    CHECK(cluster.runCount("z1-s1") == before + 1);
    for (int i = 0; i < 5; ++i)
        CHECK(lookUp() == 503);
    CHECK(cluster.runCount("z1-s1") == before + 1);
}
