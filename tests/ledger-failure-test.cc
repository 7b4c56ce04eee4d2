// Orders run at most once, and refusals state correctly whether a request ran, while sidecars, services and the
// platform fail.
#include "tests/cluster.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

const std::vector<std::string> mostlyOrders { "--orders", "0.7", "--lookups", "0.2" };

HeaderList keyed(const std::string& key)
{
    return { { "Idempotency-Key", key } };
}

} // namespace

TEST_CASE("orders run at most once while their sidecars are killed and restarted")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(5000), mostlyOrders);
    for (const char* name : { "z1-s1", "z2-s1", "z3-s1" }) {
        std::this_thread::sleep_for(Millis(1000));
        cluster.sidecar(name).signal(SIGKILL);
        std::this_thread::sleep_for(Millis(300));
        cluster.startSidecar(name);
    }
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(resultCount(verdict, "order", "answered") > 50);
}

TEST_CASE("a frozen ledger owner that wakes up runs nothing that another has claimed")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(6000), mostlyOrders);
    std::this_thread::sleep_for(Millis(1000));
    cluster.sidecar("z1-s1").signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(2500));
    cluster.sidecar("z1-s1").signal(SIGCONT);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(resultCount(verdict, "order", "answered") > 50);
}

TEST_CASE("a frozen service that wakes up has not been given its orders twice")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(5000), mostlyOrders);
    std::this_thread::sleep_for(Millis(1000));
    cluster.endpoint("z1-s1").signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(2000));
    cluster.endpoint("z1-s1").signal(SIGCONT);
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    CHECK(cluster.judge().isClean());
}

TEST_CASE("an order whose answer is lost may have run, and a repeat does not run it again")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    cluster.setFault("z1-s1", "lose", 0, 1);
    const HttpResult lost = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", keyed("k1"));
    CHECK(lost.status == 502);
    CHECK(lost.body.find("\"run\":\"may-have-run\"") != std::string::npos);
    const HttpResult repeat = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", keyed("k1"));
    CHECK(repeat.status == 409);
    CHECK(repeat.body.find("\"run\":\"may-have-run\"") != std::string::npos);
    CHECK(cluster.runCount("z1-s1") == 1);
}

TEST_CASE("a repeat gets the recorded answer, and another body is an error")
{
    Cluster cluster({ 2, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const HttpResult first = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", keyed("k1"));
    REQUIRE(first.status == 201);
    const HttpResult repeat = cluster.call(cluster.entryAddress(2), "POST", "/services/print/orders", "a", keyed("k1"));
    CHECK(repeat.status == 201);
    CHECK(repeat.body == first.body);
    CHECK(findHeader(repeat.headers, "Idempotent-Replayed") == "true");
    CHECK(cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "b", keyed("k1")).status == 422);
    CHECK(cluster.runCount("z") == 1);
}

TEST_CASE("an answer recorded by a sidecar that died is given by its successor")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const HttpResult first = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", keyed("k1"));
    REQUIRE(first.status == 201);
    std::this_thread::sleep_for(Millis(300));
    cluster.sidecar("z1-s1").signal(SIGKILL);
    cluster.startSidecar("z1-s1");
    std::this_thread::sleep_for(Millis(1500));
    const HttpResult repeat = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", keyed("k1"));
    CHECK(repeat.status == 201);
    CHECK(repeat.body == first.body);
    CHECK(cluster.runCount("z1-s1") == 1);
}

TEST_CASE("in a platform outage keyed orders are refused as not run, and all else goes on")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    cluster.setFault("platform", "down");
    std::this_thread::sleep_for(Millis(3500));
    const HttpResult order = cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", keyed("k1"));
    CHECK(order.status == 503);
    CHECK(order.body.find("\"reason\":\"platform-down\"") != std::string::npos);
    CHECK(order.body.find("\"run\":\"not-run\"") != std::string::npos);
    CHECK_FALSE(findHeader(order.headers, "Retry-After").empty());
    for (int zone = 1; zone <= 3; ++zone)
        CHECK(cluster.call(cluster.entryAddress(zone), "GET", "/services/print/orders/1").status == 200);
    cluster.setFault("platform", "none");
    std::this_thread::sleep_for(Millis(500));
    CHECK(cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", keyed("k1")).status == 201);
    CHECK(cluster.judge().isClean());
}

TEST_CASE("orders run once while the platform loses answers, is slow and is down by turns")
{
    Cluster cluster;
    REQUIRE(cluster.waitUntilReady());
    const auto callers = cluster.startLoadGenerator(Millis(6000), mostlyOrders);
    std::this_thread::sleep_for(Millis(500));
    for (int round = 0; round < 3; ++round) {
        cluster.setFault("platform", "drop", 0, 20);
        std::this_thread::sleep_for(Millis(500));
        cluster.setFault("platform", "slow", 1500, 20);
        std::this_thread::sleep_for(Millis(500));
        cluster.setFault("platform", "down", 0, 30);
        std::this_thread::sleep_for(Millis(500));
        cluster.setFault("platform", "none");
    }
    REQUIRE(callers->wait(Millis(30'000)) == 0);
    const fakes::Verdict verdict = cluster.judge();
    CHECK(verdict.isClean());
    CHECK(cluster.droppedAnswerCount() > 0);
    CHECK(resultCount(verdict, "order", "answered") > 20);
}
