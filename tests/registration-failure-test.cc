// Entries of other writers among the registrations of endpoints, and addresses that another service has taken over.
#include "fakes/fake.h"
#include "tests/cluster.h"
#include "tests/direct-cluster.h"
#include "tests/raw-endpoint.h"

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

namespace json = boost::json;

constexpr int64_t hourMs = 3'600'000;

json::object makeEntry(const std::string& service, const std::string& address, int64_t born)
{
    return { { "service", service }, { "addr", address }, { "zone", "z1" }, { "version", "v1" }, { "slots", 12 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", born } };
}

// Entries that name no replica to use, for an endpoint of the service at the address.
std::vector<json::object> oddEntries(const std::string& service, const std::string& address)
{
    const int64_t now = fakes::unixMillis();
    std::vector<json::object> entries;
    for (const int64_t born : { now, now + hourMs })
        entries.push_back(makeEntry("inventory-agent", address, born));
    for (const char* state : { "draining", "retired" }) {
        json::object entry = makeEntry("inventory-agent", address, now);
        entry["state"] = state;
        entry["cold_left_ms"] = hourMs;
        entry["slots"] = 0;
        entries.push_back(std::move(entry));
    }
    for (const char* field : { "service", "zone", "version", "slots", "state", "cold_left_ms", "seq" }) {
        json::object missing = makeEntry(service, address, now);
        missing.erase(field);
        entries.push_back(std::move(missing));
        json::object otherType = makeEntry(service, address, now);
        otherType[field] = json::array { 7 };
        entries.push_back(std::move(otherType));
    }
    return entries;
}

struct Served {
    int answered = 0;
    int sent = 0;
};

// Sends requests of all routes to an entry.
Served sendRequests(DirectCluster& cluster, const std::string& prefix, int entry)
{
    constexpr int rounds = 14;
    Served served;
    for (int round = 0; round < rounds; ++round) {
        for (const char* target : { "/lookup/1", "/once/1", "/stream/1" }) {
            const std::string id = prefix + std::to_string(round) + target;
            const HttpResult result = cluster.call("POST", target, id, {}, entry);
            served.answered += result.status == 200;
            ++served.sent;
        }
    }
    return served;
}

} // namespace

// Fails if an entry that names no replica hides one at its address.
TEST_CASE("registration: entries of other writers at the addresses of all endpoints change nothing")
{
    DirectCluster cluster;
    cluster.startEntry(1);
    for (const int entry : { 0, 1 })
        REQUIRE(cluster.waitUntilReady(entry));
    const auto check = [&](const std::string& prefix, int entry) {
        CAPTURE(prefix);
        CAPTURE(entry);
        const Served served = sendRequests(cluster, prefix, entry);
        CHECK(served.answered == served.sent);
        for (int round = 0; round < served.sent; ++round)
            CHECK(cluster.recordsOf(prefix + std::to_string(round) + "/lookup/1", "rejected").empty());
    };
    check("before", 0);
    int number = 0;
    for (const std::string& name : DirectCluster::endpointNames())
        for (json::object& entry : oddEntries(DirectCluster::serviceOf(name), cluster.endpointAddress(name)))
            cluster.putObject("servers", "inventory-" + std::to_string(++number), std::move(entry));
    std::this_thread::sleep_for(Millis(1000));
    for (const int entry : { 0, 1 })
        check("live" + std::to_string(entry), entry);
    // From a list of the store, and from one that another entry feeds.
    for (const int entry : { 0, 1 }) {
        cluster.entry(entry).signal(SIGKILL);
        cluster.startEntry(entry);
        REQUIRE(cluster.waitUntilReady(entry));
        check("again" + std::to_string(entry), entry);
    }
    // A start in the future ends no process, even if the configuration names the service.
    const std::string preferred = DirectCluster::preferredPlainEndpoint(0);
    for (int odd = 1; odd <= number; ++odd)
        cluster.removeObject("servers", "inventory-" + std::to_string(odd));
    cluster.putObject("servers", "future", makeEntry("inventory-agent", cluster.endpointAddress(preferred), fakes::unixMillis() + hourMs));
    cluster.nameService("inventory-agent");
    cluster.putConfiguration(2);
    std::this_thread::sleep_for(Millis(1000));
    const int before = cluster.runsByEndpoint()[preferred];
    check("named", 0);
    CHECK(cluster.runsByEndpoint()[preferred] > before);
}

// Fails if a request is sent to an address that an endpoint of another service has taken over.
TEST_CASE("registration: an address that another service has taken over gets no request of the former one")
{
    DirectCluster cluster;
    cluster.nameService("booking");
    cluster.putConfiguration(2);
    cluster.startEntry(1);
    for (const int entry : { 0, 1 })
        REQUIRE(cluster.waitUntilReady(entry));
    cluster.endpoint("p1").signal(SIGKILL);
    REQUIRE(cluster.endpoint("p1").wait(Millis(2000)));
    // Its entry stays, as while the store is away.
    RawEndpoint successor([](const std::string& head) -> RawEndpoint::Answer {
        if (head.starts_with("GET "))
            return { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" };
        return { "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\nX-Request-Id: " + RawEndpoint::field(head, "X-Request-Id") + "\r\nContent-Length: 0\r\n\r\n" };
    },
        parseAddress(cluster.endpointAddress("p1"))->second);
    cluster.putObject("servers", "b1", makeEntry("booking", cluster.endpointAddress("p1"), fakes::unixMillis()));
    std::this_thread::sleep_for(Millis(500));
    const auto check = [&](const std::string& prefix) {
        CAPTURE(prefix);
        for (const int entry : { 0, 1 })
            CHECK(sendRequests(cluster, prefix + std::to_string(entry), entry).answered > 0);
        CHECK(successor.requestCount() == 0);
    };
    check("taken");
    cluster.entry(1).signal(SIGKILL);
    cluster.startEntry(1);
    REQUIRE(cluster.waitUntilReady(1));
    check("started");
    cluster.nameService("");
    cluster.putConfiguration(3);
    std::this_thread::sleep_for(Millis(1000));
    check("dropped");
    cluster.nameService("booking");
    cluster.putConfiguration(4);
    std::this_thread::sleep_for(Millis(1000));
    check("added");
    cluster.store().signal(SIGKILL);
    std::this_thread::sleep_for(Millis(1500));
    check("away");
}

// Fails if the link to the odd endpoint takes over the connection of the endpoint whose sidecar it names.
TEST_CASE("registration: an endpoint of another writer with the address of a sidecar changes nothing")
{
    constexpr int requests = 60;
    ClusterOptions options;
    options.zones = 1;
    options.enginesPerZone = 1;
    Cluster cluster(options);
    REQUIRE(cluster.waitUntilReady());
    const auto countServed = [&] {
        int served = 0;
        for (int request = 0; request < requests; ++request) {
            served += cluster.call(cluster.entryAddress(1), "GET", "/services/print/orders/1", {}, { { "X-Deadline-Ms", "1000" } }).status == 200;
            std::this_thread::sleep_for(Millis(20));
        }
        return served;
    };
    CHECK(countServed() == requests);
    json::object objects;
    int number = 0;
    for (const char* service : { "inventory-agent", "print" })
        objects["config/endpoint/a-" + std::to_string(++number)] = { { "service", service }, { "zone", "z9" }, { "sidecar", cluster.sidecarAddress("z1-s1") } };
    const std::string file = cluster.path("odd.json");
    std::ofstream(file) << json::serialize(json::object { { "objects", objects } });
    const CommandOutput applied = cluster.runCtl("apply " + file);
    REQUIRE_MESSAGE(applied.status == 0, applied.text);
    std::this_thread::sleep_for(Millis(1000));
    CHECK(countServed() == requests);
    cluster.startEntry(1);
    REQUIRE(cluster.waitUntilReady());
    CHECK(countServed() == requests);
}
