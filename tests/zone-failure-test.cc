// Zones and endpoints that are taken out and returned, operator commands, and planned stops, also while processes
// and the platform fail.
#include "tests/cluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

// Time after a command by which endpoints that it takes out must receive no more requests.
constexpr int64_t commandEffectMillis = 3000;

} // namespace

TEST_CASE("a zone is taken out and returned under load without a refusal")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(9000));
    std::this_thread::sleep_for(Millis(1500));
    REQUIRE(cluster.runCtl("take zone z2 out").status == 0);
    const int64_t commandTime = fakes::unixMillis();
    std::this_thread::sleep_for(Millis(4500));
    cluster.expectNoRequests("z2-", commandTime + commandEffectMillis, fakes::unixMillis());
    REQUIRE(cluster.runCtl("return zone z2").status == 0);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(unansweredCount(verdict) == 0);
}

TEST_CASE("an entry frozen through the command sends nothing to the zone when it resumes")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(7000));
    std::this_thread::sleep_for(Millis(1000));
    cluster.entry(3).signal(SIGSTOP);
    REQUIRE(cluster.runCtl("take zone z2 out").status == 0);
    const int64_t commandTime = fakes::unixMillis();
    std::this_thread::sleep_for(Millis(3500));
    cluster.entry(3).signal(SIGCONT);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    cluster.expectNoRequests("z2-", commandTime + commandEffectMillis, fakes::unixMillis());
    CHECK(cluster.judge().isClean());
}

TEST_CASE("an entry cut off from the platform obeys the command")
{
    Cluster cluster({ 3, 2, 1, true, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(6000));
    std::this_thread::sleep_for(Millis(500));
    cluster.platformRelay(3).signal(SIGUSR2);
    std::this_thread::sleep_for(Millis(500));
    REQUIRE(cluster.runCtl("take zone z2 out").status == 0);
    const int64_t commandTime = fakes::unixMillis();
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    cluster.expectNoRequests("z2-", commandTime + commandEffectMillis, fakes::unixMillis());
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a sidecar frozen through the command admits nothing when it resumes")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(7000));
    std::this_thread::sleep_for(Millis(1000));
    cluster.sidecar("z2-m1").signal(SIGSTOP);
    REQUIRE(cluster.runCtl("take zone z2 out").status == 0);
    const int64_t commandTime = fakes::unixMillis();
    std::this_thread::sleep_for(Millis(3500));
    cluster.sidecar("z2-m1").signal(SIGCONT);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    cluster.expectNoRequests("z2-", commandTime + commandEffectMillis, fakes::unixMillis());
    CHECK(cluster.judge().isClean());
}

TEST_CASE("a command is in force although its answer was lost")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    cluster.setFault("platform", "drop", 0, 1);
    const CommandOutput output = cluster.runCtl("take zone z2 out");
    CHECK(output.status == 0);
    CHECK(cluster.droppedAnswerCount() == 1);
    CHECK(cluster.runCtl("show zones", 3).text.find("z2    out") != std::string::npos);
}

TEST_CASE("of two operators who race one wins and the other is told so")
{
    Cluster cluster({ 3, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    for (int round = 0; round < 10; ++round) {
        std::array<HttpResult, 2> results;
        std::thread first([&] { results[0] = cluster.call(cluster.adminAddress(1), "POST", "/v1/command", "take zone z2 out"); });
        std::thread second([&] { results[1] = cluster.call(cluster.adminAddress(2), "POST", "/v1/command", "return zone z2"); });
        first.join();
        second.join();
        int winners = 0;
        for (const HttpResult& result : results) {
            const bool won = result.body.find("\"status\":0") != std::string::npos;
            const bool conflict = result.body.find("changed at the same time by command") != std::string::npos;
            CHECK(won != conflict);
            winners += won ? 1 : 0;
        }
        CHECK(winners >= 1);
    }
}

TEST_CASE("an entry restarted in a platform outage learns from its peers")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    REQUIRE(cluster.runCtl("take zone z2 out").status == 0);
    cluster.setFault("platform", "down");
    cluster.entry(3).signal(SIGKILL);
    cluster.startEntry(3);
    CHECK(cluster.waitUntilReady());
    CHECK(cluster.call(cluster.entryAddress(3), "GET", "/services/print/orders/1").status == 200);
    CHECK(cluster.runCtl("show zones", 3).text.find("z2    out") != std::string::npos);
}

TEST_CASE("an entry that reaches nobody refuses rather than serve from nothing")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    cluster.setFault("platform", "down");
    cluster.startEntry(1);
    std::this_thread::sleep_for(Millis(1500));
    const HttpResult refused = cluster.call(cluster.entryAddress(1), "GET", "/services/print/orders/1");
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"reason\":\"no-configuration\"") != std::string::npos);
    CHECK(refused.body.find("\"run\":\"not-run\"") != std::string::npos);
}

TEST_CASE("a draining endpoint gets no new work and returns")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(8000));
    REQUIRE(cluster.runCtl("drain endpoint z1-m1").status == 0);
    const int64_t commandTime = fakes::unixMillis();
    std::this_thread::sleep_for(Millis(4000));
    const int64_t returnTime = fakes::unixMillis();
    cluster.expectNoRequests("z1-m1", commandTime + commandEffectMillis, returnTime);
    const size_t before = cluster.runCount("z1-m1");
    REQUIRE(cluster.runCtl("return endpoint z1-m1").status == 0);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(unansweredCount(verdict) == 0);
    CHECK(cluster.runCount("z1-m1") > before);
}

TEST_CASE("a planned stop of sidecars cuts no request")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(6000));
    for (const char* name : { "z1-m1", "z2-s1" }) {
        std::this_thread::sleep_for(Millis(1000));
        cluster.sidecar(name).signal(SIGTERM);
        CHECK(cluster.sidecar(name).wait(Millis(10'000)) == 0);
        cluster.startSidecar(name);
    }
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(unansweredCount(verdict) == 0);
}

TEST_CASE("a planned stop of an entry cuts no request in progress")
{
    Cluster cluster({ 3, 2, 1, false, { "--per-token-ms", "50" }, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    // Completions only, since each takes more than half a second; none begins after the signal.
    const auto callers = cluster.startLoadGenerator(Millis(300), { "--orders", "0", "--lookups", "0" }, { 1 });
    std::this_thread::sleep_for(Millis(350));
    cluster.entry(1).signal(SIGTERM);
    CHECK(cluster.entry(1).wait(Millis(10'000)) == 0);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(unansweredCount(verdict) == 0);
    CHECK(resultCount(verdict, "completion", "answered") >= 12);
}
