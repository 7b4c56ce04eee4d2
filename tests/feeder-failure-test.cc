// Entries that read the store through other entries, when these fail.
#include "tests/direct-cluster.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

// The last two entries by name read the store; the first two read from them.
constexpr std::array<int, 2> followers { 0, 1 };
constexpr std::array<int, 2> feeders { 2, 3 };

// What the platform allows, from the store's acknowledgement on, in a fleet where entries follow others.
constexpr Millis changeBound { 3000 };

class FedCluster {
public:
    FedCluster()
    {
        for (const int entry : feeders)
            cluster.startEntryBehindRelay(entry);
        for (const int entry : feeders)
            REQUIRE(cluster.waitUntilReady(entry));
        for (const int entry : followers)
            cluster.startEntry(entry);
        for (const int entry : followers) {
            REQUIRE(cluster.waitUntilReady(entry));
            REQUIRE(waitUntil([&] { return cluster.hasLogged(entry, "reading the store through other entries"); }));
        }
        std::this_thread::sleep_for(Millis(500));
    }

    // Changes the configuration, an endpoint and a zone, and checks that the followers handle all of it in time.
    void checkChanges()
    {
        const HeaderList key { { "Authorization", "Token key-2" } };
        cluster.putObject("evacuations", "z2", boost::json::object());
        cluster.registerEndpoint("m1", "draining");
        cluster.putConfiguration(2, "key-2");
        std::this_thread::sleep_for(changeBound);
        const auto before = cluster.runsByEndpoint();
        for (const int entry : followers) {
            CAPTURE(entry);
            for (int i = 0; i < 8; ++i) {
                const std::string id = std::to_string(entry) + '-' + std::to_string(i);
                CHECK(cluster.call("POST", "/stream/1", "a" + id, key, entry).status == 200);
                CHECK(cluster.call("GET", "/lookup/1", "b" + id, key, entry).status == 200);
                // The key has been withdrawn.
                CHECK(cluster.call("GET", "/lookup/1", "c" + id, {}, entry).status == 401);
            }
        }
        auto after = cluster.runsByEndpoint();
        for (const char* name : { "m1", "m3" })
            CHECK(after[name] == (before.contains(name) ? before.at(name) : 0));
    }

    DirectCluster cluster;
};

} // namespace

TEST_CASE("feeder: changes reach entries that read through others")
{
    FedCluster fed;
    fed.checkChanges();
}

TEST_CASE("feeder: changes reach entries whose feeders are killed at that moment")
{
    FedCluster fed;
    for (const int entry : feeders)
        fed.cluster.entry(entry).signal(SIGKILL);
    fed.checkChanges();
}

TEST_CASE("feeder: changes reach entries whose feeders are frozen at that moment")
{
    FedCluster fed;
    for (const int entry : feeders)
        fed.cluster.entry(entry).signal(SIGSTOP);
    fed.checkChanges();
    for (const int entry : feeders)
        fed.cluster.entry(entry).signal(SIGCONT);
}

TEST_CASE("feeder: changes reach entries whose feeders are turned away by the store")
{
    FedCluster fed;
    for (const int entry : feeders)
        fed.cluster.storeRelay(entry).signal(SIGUSR2);
    fed.checkChanges();
}

TEST_CASE("feeder: changes reach entries whose feeders have silent connections to the store")
{
    FedCluster fed;
    for (const int entry : feeders)
        fed.cluster.storeRelay(entry).signal(SIGUSR1);
    fed.checkChanges();
}

TEST_CASE("feeder: a leaving endpoint is known although all feeders have silent connections to the store and nothing else changes")
{
    FedCluster fed;
    for (const int entry : feeders)
        fed.cluster.storeRelay(entry).signal(SIGUSR1);
    fed.cluster.registerEndpoint("m1", "draining");
    std::this_thread::sleep_for(changeBound);
    const auto before = fed.cluster.runsByEndpoint();
    for (const int entry : followers)
        for (int i = 0; i < 8; ++i)
            CHECK(fed.cluster.call("POST", "/stream/1", "d" + std::to_string(entry) + '-' + std::to_string(i), {}, entry).status == 200);
    auto after = fed.cluster.runsByEndpoint();
    CHECK(after["m1"] == (before.contains("m1") ? before.at("m1") : 0));
}

TEST_CASE("feeder: changes reach entries of which some have a feeder that hears nothing from the store")
{
    FedCluster fed;
    fed.cluster.storeRelay(feeders[1]).signal(SIGUSR1);
    fed.checkChanges();
}

TEST_CASE("feeder: an entry that starts while its feeders are frozen is ready with what is in force")
{
    FedCluster fed;
    const HeaderList key { { "Authorization", "Token key-2" } };
    for (const int entry : feeders)
        fed.cluster.entry(entry).signal(SIGSTOP);
    fed.cluster.putConfiguration(2, "key-2");
    fed.cluster.startEntry(1);
    REQUIRE(fed.cluster.waitUntilReady(1));
    CHECK(fed.cluster.call("GET", "/lookup/1", "s1", key, 1).status == 200);
    CHECK(fed.cluster.call("GET", "/lookup/1", "s2", {}, 1).status == 401);
    for (const int entry : feeders)
        fed.cluster.entry(entry).signal(SIGCONT);
}

TEST_CASE("feeder: calls to the store do not grow with the entries of a zone")
{
    const auto readsDuringChanges = [](int entries) {
        DirectCluster cluster;
        for (int entry = 1; entry < entries; ++entry)
            cluster.startEntry(entry);
        for (int entry = 0; entry < entries; ++entry)
            REQUIRE(cluster.waitUntilReady(entry));
        std::this_thread::sleep_for(Millis(2000));
        const int64_t before = cluster.storeReads();
        for (uint64_t version = 2; version <= 12; ++version) {
            cluster.putConfiguration(version);
            cluster.registerEndpoint("m1", version % 2 ? "ready" : "draining");
            std::this_thread::sleep_for(Millis(150));
        }
        return cluster.storeReads() - before;
    };
    const int64_t few = readsDuringChanges(2);
    const int64_t many = readsDuringChanges(8);
    CHECK(few > 20);
    CHECK(many < few * 3 / 2);
}
