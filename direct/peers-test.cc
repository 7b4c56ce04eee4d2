#include "direct/map-driver.h"
#include "direct/peers.h"

#include <boost/asio/io_context.hpp>
#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

TEST_CASE("a status with as many lost requests as are reported fits into a datagram")
{
    PoisonRecords records;
    const TimePoint now { std::chrono::hours(1) };
    for (uint64_t request = 0; request < 1000; ++request)
        for (uint64_t death = 0; death < 20; ++death)
            records.onDeath(std::to_string(17'000'000'000'000'000'000U + request), { 17'000'000'000'000'000'000U + death, now - Millis(599'000), now - Millis(598'000) }, now);
    PeerStatus status;
    status.sender = { "entry-1", 17'000'000'000'000'000'000U };
    status.address = "10.0.0.1:7340";
    for (const Millis later : { Millis(0), Millis(100'000) }) {
        status.poison = records.report(now - Millis(500'000) + later);
        CHECK(encodePeerStatus(status).size() < 32'000);
    }
}

TEST_CASE("a status is decoded as it was encoded, and invalid messages are rejected")
{
    PeerStatus status;
    status.sender = { "entry-1", 17'000'000'000'000'000'000U };
    status.address = "10.0.0.1:7340";
    status.inFlight = { { "e-1", 3 }, { "e-2", 1 } };
    status.poison = { { "123", { { 17'000'000'000'000'000'002U, Millis(120), Millis(20) } }, Millis(200) } };
    status.configuration = 42;
    status.processorShare = 0.5;
    status.zone = "z1";
    status.progress = { 3, { 17, 18, 17'000'000'000'000'000'004U } };
    status.closedZones = { "z2", "z3" };
    status.limits = { { "e-1", { 17'000'000'000'000'000'003U, 2.25, Millis(30) } } };
    status.sent = { { "e-1", { Millis(0), Millis(3900) } } };
    status.full = { { "e-1", { 17'000'000'000'000'000'005U, 10, Millis(40) } } };
    status.leading = true;
    status.changingMap = true;
    status.stopping = true;
    status.offer = LeadershipOffer { { "entry-2", 5 }, { 65'600, 131'072 } };
    status.slowness = { { "e-1", 4.5 } };
    status.groups = { { "g-1", "model", 17'000'000'000'000'000'005U, GroupState::Held, 1.25, { { "e-1", 1'733'000'000'000 }, { "e-2", 0 } } } };
    status.crashes.crashes = { { 7, { { 17'000'000'000'000'000'001U, { 8, 9 } } }, { 9 }, Millis(40) } };
    status.outages = { { "group-1", { Millis(20), std::nullopt } } };
    status.crashes.refused = { { 8, Millis(500) } };
    const auto read = decodePeerStatus(encodePeerStatus(status));
    REQUIRE(read);
    CHECK(read->sender == status.sender);
    CHECK(read->outages == status.outages);
    CHECK(read->address == status.address);
    CHECK(read->inFlight == status.inFlight);
    REQUIRE(read->poison.size() == 1);
    CHECK(read->poison[0].digest == "123");
    REQUIRE(read->poison[0].deaths.size() == 1);
    CHECK(read->poison[0].deaths[0].process == status.poison[0].deaths[0].process);
    CHECK(read->poison[0].deaths[0].sentAgo == Millis(120));
    CHECK(read->poison[0].deaths[0].lostAgo == Millis(20));
    CHECK(read->poison[0].clearedAgo == Millis(200));
    CHECK(decodePeerStatus(R"({"instance":"a","run":1,"address":"x","lostRequests":[5,{"digest":7},{"digest":"d","deaths":[1,{"process":"x"}]}]})")->poison.size() == 1);
    CHECK(read->configuration == 42);
    CHECK(read->processorShare == 0.5);
    CHECK(read->zone == "z1");
    CHECK(read->changingMap);
    CHECK(read->progress == status.progress);
    CHECK(decodePeerStatus(R"({"instance":"a","run":1,"address":"x","progress":[1,2,"x",4]})")->progress == StoreProgress {});
    CHECK(read->closedZones == status.closedZones);
    REQUIRE(read->limits.contains("e-1"));
    CHECK(read->limits.at("e-1").process == status.limits.at("e-1").process);
    CHECK(read->limits.at("e-1").perSecond == 2.25);
    CHECK(read->limits.at("e-1").age == Millis(30));
    CHECK(read->sent == status.sent);
    const auto malformed = decodePeerStatus(R"({"instance":"a","run":1,"address":"x","limits":{"e":5,"f":{"process":1,"perSecond":-1,"ageMs":1}},"sent":{"e":["x",-1],"f":1}})");
    REQUIRE(malformed);
    CHECK(malformed->limits.empty());
    CHECK(malformed->sent.empty());
    REQUIRE(read->full.contains("e-1"));
    CHECK(read->full.at("e-1").process == status.full.at("e-1").process);
    CHECK(read->full.at("e-1").load == 10);
    CHECK(read->full.at("e-1").age == Millis(40));
    CHECK(read->leading);
    CHECK(read->stopping);
    CHECK(read->offer == status.offer);
    CHECK(read->slowness == status.slowness);
    CHECK(read->groups == status.groups);
    PeerStatus follower = status;
    follower.leading = false;
    CHECK(decodePeerStatus(encodePeerStatus(follower))->groups.empty());
    REQUIRE(read->crashes.crashes.size() == 1);
    CHECK(read->crashes.crashes[0].id == 7);
    CHECK(read->crashes.crashes[0].age == Millis(40));
    CHECK(read->crashes.crashes[0].suspects[0].request == status.crashes.crashes[0].suspects[0].request);
    CHECK(read->crashes.crashes[0].suspects[0].parts == std::vector<PartHash> { 8, 9 });
    CHECK(read->crashes.crashes[0].cleared == std::set<PartHash> { 9 });
    CHECK(read->crashes.refused == status.crashes.refused);
    CHECK(decodePeerStatus(R"({"instance":"a","run":1,"address":"x","crashes":[5,{"id":"x"},{"id":3,"suspects":[1,{"parts":"p"}]}],"refusedParts":[{}]})")->crashes.refused.empty());
    CHECK_FALSE(decodePeerStatus(""));
    CHECK_FALSE(decodePeerStatus("[]"));
    CHECK_FALSE(decodePeerStatus(R"({"instance":5,"run":1,"address":"x"})"));
    CHECK_FALSE(decodePeerStatus(R"({"instance":"a","address":"x"})"));
    CHECK(decodePeerStatus(R"({"instance":"a","run":1,"address":"x","inFlight":{"e":"many"}})")->inFlight.empty());
    CHECK_FALSE(decodePeerStatus(R"({"instance":"a","run":1,"address":"x","handover":{"to":"b","run":2,"base":-1,"end":5}})")->offer);
    CHECK_FALSE(decodePeerStatus(R"({"instance":"a","run":1,"address":"x","handover":{"to":"b","base":1,"end":5}})")->offer);
}

TEST_CASE("entries that were cut off from each other for longer than the silence limit hear each other again")
{
    boost::asio::io_context context;
    const PeerExchangeSettings settings { Millis(10), Millis(50), Millis(20), Millis(10'000) };
    // Reserves a port at which no peer listens yet.
    boost::asio::ip::udp::socket reserved(context, boost::asio::ip::udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const std::string secondAddress = "127.0.0.1:" + std::to_string(reserved.local_endpoint().port());
    const auto hooksFor = [](const std::string& name, const std::string& address, int& received) {
        PeerExchange::Hooks hooks;
        hooks.ownStatus = [name, address] {
            PeerStatus status;
            status.sender = { name, 1 };
            status.address = address;
            return status;
        };
        hooks.onStatus = [&received](const PeerStatus&) { ++received; };
        return hooks;
    };
    int receivedByFirst = 0;
    int receivedBySecond = 0;
    PeerExchange first(context.get_executor(), hooksFor("a", "127.0.0.1:1", receivedByFirst), settings);
    REQUIRE(first.start("127.0.0.1:0"));
    first.addPeer(secondAddress);
    context.run_for(std::chrono::milliseconds(200));
    reserved.close();
    PeerExchange second(context.get_executor(), hooksFor("b", secondAddress, receivedBySecond), settings);
    REQUIRE(second.start(secondAddress));
    context.run_for(std::chrono::milliseconds(300));
    CHECK(receivedBySecond > 0);
}

TEST_CASE("another instance takes over the leadership without the store, if enough numbers are left")
{
    boost::asio::io_context context;
    Metrics metrics;
    MapDriver::Hooks hooks;
    hooks.engines = [] { return std::vector<EngineAccess>(); };
    hooks.sidecars = []() -> Task<std::optional<std::vector<EngineAccess>>> { co_return std::nullopt; };
    MapDriver first(context.get_executor(), context.get_executor(), {}, hooks, metrics);
    MapDriver second(context.get_executor(), context.get_executor(), {}, hooks, metrics);
    first.takeOver({ 65'536, 131'072 });
    CHECK(first.isLeading());
    first.tick(Clock::now());
    CHECK_FALSE(first.releasedLeadership());
    first.stop();
    first.tick(Clock::now());
    CHECK_FALSE(first.isLeading());
    REQUIRE(first.releasedLeadership());
    CHECK(*first.releasedLeadership() == MapLeadership { 65'536, 131'072 });
    // A stopping instance does not take over.
    first.takeOver(*first.releasedLeadership());
    CHECK_FALSE(first.isLeading());
    second.takeOver({ 131'000, 131'072 });
    CHECK_FALSE(second.isLeading());
    second.takeOver(*first.releasedLeadership());
    CHECK(second.isLeading());
}

TEST_CASE("a leader that falls silent during a change of the map is replaced sooner, since the group may be held")
{
    boost::asio::io_context context;
    Metrics metrics;
    int acquired = 0;
    MapDriver::Hooks hooks;
    hooks.engines = [] { return std::vector<EngineAccess>(1); };
    hooks.isPreferredLeader = [] { return true; };
    hooks.acquireLeadership = [&]() -> Task<std::optional<uint64_t>> {
        ++acquired;
        co_return std::nullopt;
    };
    MapDriver driver(context.get_executor(), context.get_executor(), {}, hooks, metrics);
    const TimePoint now = Clock::now();
    const auto attemptsAfter = [&](bool isChanging, Millis silence) {
        acquired = 0;
        driver.onLeaderHeard(isChanging, now);
        driver.tick(now + silence);
        context.restart();
        context.poll();
        return acquired;
    };
    CHECK(attemptsAfter(false, Millis(600)) == 0);
    CHECK(attemptsAfter(false, Millis(1100)) == 1);
    CHECK(attemptsAfter(true, Millis(400)) == 0);
    CHECK(attemptsAfter(true, Millis(600)) == 1);
}

// Fails if a factor that is no number above 0 reaches the choice of endpoints.
TEST_CASE("a status with bytes changed or cut off is rejected, or holds only numbers that can be")
{
    PeerStatus status;
    status.sender = { "entry-1", 5 };
    status.address = "10.0.0.1:7340";
    status.inFlight = { { "e-1", 3 } };
    status.processorShare = 0.5;
    status.progress = { 3, { 17, 18, 19 } };
    status.limits = { { "e-1", { 7, 2.25, Millis(30) } } };
    status.sent = { { "e-1", { Millis(0), Millis(3900) } } };
    status.leading = true;
    status.slowness = { { "e-1", 4.5 }, { "e-2", 1.5 } };
    const std::string whole = encodePeerStatus(status);
    std::mt19937 random(49);
    const auto below = [&](size_t most) { return std::uniform_int_distribution<size_t>(0, most - 1)(random); };
    const auto check = [](const std::string& text) {
        CAPTURE(text);
        const auto read = decodePeerStatus(text);
        if (!read)
            return;
        for (const auto& [endpoint, factor] : read->slowness)
            CHECK((std::isfinite(factor) && factor > 0));
        for (const auto& [endpoint, limit] : read->limits)
            CHECK((std::isfinite(limit.perSecond) && limit.perSecond >= 0));
        CHECK((std::isfinite(read->processorShare) && read->processorShare >= 0));
    };
    for (int round = 0; round < 20'000; ++round) {
        std::string text = whole;
        for (size_t changes = below(3) + 1; changes; --changes)
            text[below(text.size())] = static_cast<char>(below(256));
        check(round % 5 ? text : text.substr(0, below(text.size())));
    }
    for (const char* number : { "-1", "0", "1e400", "-1e400", "1e999999999", "\"4\"", "null", "[]" }) {
        std::string text = whole;
        text.replace(text.find("4.5E0"), 5, number);
        text.replace(text.find("5E-1"), 4, number);
        check(text);
    }
}
