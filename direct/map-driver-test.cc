#include "direct/map-driver.h"

#include "gateway/async.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <doctest/doctest.h>

using namespace orioletrail;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr uint32_t rankCount = 129;
constexpr uint32_t setCount = 16;
constexpr uint32_t expertCount = 258;
constexpr Millis passTime { 30 };
// Time that an engine takes to answer any call.
constexpr Millis answerTime { 10 };
// Time after which an engine closes a connection on which it ignored an order.
constexpr Millis unansweredTime { 3000 };

// A group of engines that run passes in lock-step, each behind a server of its own.
class EngineGroupFake {
public:
    explicit EngineGroupFake(asio::io_context& context)
        : m_context(context)
        , m_ranks(rankCount)
        , m_counts(setCount * expertCount)
    {
        for (uint32_t rank = 0; rank < rankCount; ++rank) {
            auto handler = [this, rank](const HttpRequest& request, Responder& responder) { return handle(rank, request, responder); };
            auto refuse = [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; };
            m_servers.push_back(std::make_unique<HttpServer>(context.get_executor(), HttpLimits {}, handler, refuse));
            const std::optional<uint16_t> port = m_servers.back()->listen("127.0.0.1", 0);
            REQUIRE(port);
            m_ports.push_back(*port);
        }
    }

    std::vector<EngineAccess> accesses(bool areSidecars) const
    {
        std::vector<EngineAccess> engines;
        for (uint32_t rank = 0; rank < rankCount; ++rank) {
            const auto makeClient = [&] { return std::make_shared<HttpClient>(m_context.get_executor(), "127.0.0.1", m_ports[rank]); };
            engines.push_back({ "engine-" + std::to_string(rank), "model", makeClient(), Millis(0), areSidecars, makeClient() });
        }
        return engines;
    }

    // Runs passes. The popularity of the experts follows a power law, with `first` as the most popular one.
    Task<> run()
    {
        while (true) {
            co_await sleepFor(passTime);
            if (std::any_of(m_ranks.begin(), m_ranks.end(), [this](const Rank& rank) { return rank.held == m_step + 1; }))
                continue;
            ++m_step;
            for (Rank& rank : m_ranks)
                if (rank.armed && rank.armed->second == m_step) {
                    rank.version = rank.armed->first;
                    rank.armed.reset();
                    rank.prepared.reset();
                }
            isSafe = isSafe && std::all_of(m_ranks.begin(), m_ranks.end(), [this](const Rank& rank) { return rank.version == m_ranks[0].version; });
            for (uint32_t set = 0; set < setCount; ++set)
                for (uint32_t expert = 0; expert < expertCount; ++expert)
                    m_counts[set * expertCount + (first + expert * 5) % expertCount] += static_cast<uint64_t>(1000 / std::pow(expert + 1, 0.45));
        }
    }

    uint64_t version() const { return m_ranks[0].version; }

    // From now on each order's answer is sent once more where the next answer on its connection is due, and some
    // engines ignore every second order to arm.
    void startFaults() { m_isFaulty = true; }

    uint32_t first = 0;
    bool isSafe = true;
    // When the counts of a rank were last read.
    std::map<uint32_t, TimePoint> countsRead;
    // Longest time between two readings of one rank.
    Clock::duration longestReadGap { 0 };

private:
    struct Rank {
        uint64_t version = 0;
        std::optional<uint64_t> prepared;
        std::optional<std::pair<uint64_t, uint64_t>> armed;
        std::optional<uint64_t> held;
        uint32_t armOrders = 0;
    };

    bool ignores(uint32_t number, const json::object& order)
    {
        return m_isFaulty && number % 10 == 3 && order.at("op").as_string() == "arm" && ++m_ranks[number].armOrders % 2 == 0;
    }

    Task<> handle(uint32_t number, const HttpRequest& request, Responder& responder)
    {
        HttpResponse answer { 200, {}, {} };
        if (const auto copy = m_lateCopies.extract(std::pair(number, responder.connectionNumber())); !copy.empty())
            co_await responder.respond(copy.mapped());
        if (request.path() == "/orioletrail/order") {
            const json::object body = json::parse(request.body).as_object();
            if (ignores(number, body)) {
                co_await sleepFor(unansweredTime);
                responder.abort();
                co_return;
            }
            answer.status = order(m_ranks[number], body);
            if (m_isFaulty)
                m_lateCopies.insert_or_assign(std::pair(number, responder.connectionNumber()), answer);
        }
        if (request.path() == "/orioletrail/report")
            answer.body = json::serialize(report(number));
        else if (request.path() == "/orioletrail/picked")
            answer.body = readCounts(number);
        co_await sleepFor(answerTime);
        co_await responder.respond(answer);
    }

    json::object report(uint32_t number) const
    {
        const Rank& rank = m_ranks[number];
        json::object group { { "name", "g" }, { "epoch", 1 }, { "rank", number }, { "state", "open" } };
        json::object object { { "group", group }, { "size", rankCount }, { "step", m_step }, { "map", rank.version }, { "pace", 1 } };
        if (rank.prepared)
            object["prepared"] = *rank.prepared;
        if (rank.held)
            object["held"] = *rank.held;
        if (rank.armed)
            object["armed"] = json::object { { "version", rank.armed->first }, { "step", rank.armed->second } };
        return object;
    }

    std::string readCounts(uint32_t number)
    {
        const TimePoint now = Clock::now();
        const auto [read, isNew] = countsRead.try_emplace(number, now);
        longestReadGap = std::max(longestReadGap, now - read->second);
        read->second = now;
        return json::serialize(json::object { { "step", m_step }, { "epoch", 1 }, { "counts", json::array(m_counts.begin(), m_counts.end()) } });
    }

    unsigned order(Rank& rank, const json::object& order)
    {
        constexpr unsigned accepted = 202;
        constexpr unsigned conflict = 409;
        const std::string_view op = order.at("op").as_string();
        const auto number = [&](std::string_view name) { return order.at(name).to_number<uint64_t>(); };
        const bool isLate = (op == "hold" || op == "arm") && number("step") <= m_step;
        if (isLate || (op == "arm" && rank.prepared != number("version")))
            return conflict;
        if (op == "prepare")
            rank.prepared = number("version");
        else if (op == "disarm")
            rank.armed.reset();
        else if (op == "go")
            rank.held.reset();
        else if (op == "hold")
            rank.held = number("step");
        else
            rank.armed = { number("version"), number("step") };
        return accepted;
    }

    asio::io_context& m_context;
    std::vector<Rank> m_ranks;
    std::vector<uint64_t> m_counts;
    uint64_t m_step = 1;
    bool m_isFaulty = false;
    // Answers that are sent once more, by rank and connection.
    std::map<std::pair<uint32_t, uint64_t>, HttpResponse> m_lateCopies;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::vector<uint16_t> m_ports;
};

// A leader with its group of engines on one event loop.
class LeaderFixture {
public:
    LeaderFixture()
        : group(context)
        , m_engines(group.accesses(false))
        , m_sidecars(group.accesses(true))
    {
        m_profile.expertSets = setCount;
        m_profile.experts = expertCount;
        m_profile.expertsPerRank = 3;
        m_profile.newExpertsPerChange = 2;
        m_profile.expertCopyTime = Millis(6);
        MapDriver::Hooks hooks;
        hooks.engines = [this]() -> std::vector<EngineAccess> { return m_engines; };
        hooks.sidecars = [this]() -> Task<std::optional<std::vector<EngineAccess>>> { co_return m_sidecars; };
        hooks.profile = [this](const std::string&) { return &m_profile; };
        hooks.expectedGapRatio = [](const std::string&, const std::string&, double) { return 1.0; };
        driver = std::make_unique<MapDriver>(context.get_executor(), m_planner.get_executor(), MapDriverSettings {}, hooks, metrics);
        driver->takeOver({ 65'536, 131'072 });
    }

    ~LeaderFixture() { m_planner.join(); }

    // Calls the driver regularly for this time, or until the group has another version than this one.
    Task<> playUntilNot(uint64_t version, Millis limit)
    {
        const TimePoint started = Clock::now();
        while (group.version() == version && Clock::now() - started < limit) {
            co_await sleepFor(Millis(50));
            driver->tick(Clock::now());
        }
    }

    Task<> play(Millis time)
    {
        const TimePoint started = Clock::now();
        while (Clock::now() - started < time) {
            co_await sleepFor(Millis(50));
            driver->tick(Clock::now());
        }
    }

    asio::io_context context;
    EngineGroupFake group;
    std::unique_ptr<MapDriver> driver;

    Metrics metrics;

private:
    asio::thread_pool m_planner { 1 };
    EngineProfile m_profile;
    std::vector<EngineAccess> m_engines;
    std::vector<EngineAccess> m_sidecars;
};

} // namespace

TEST_CASE("a group of 129 ranks gets a better map within two seconds of a shift, from counts of 300 ms at most")
{
    constexpr Millis changeBound { 2000 };
    constexpr Millis countBound { 300 };
    LeaderFixture fixture;
    EngineGroupFake& group = fixture.group;
    std::vector<Clock::duration> changeTimes;
    auto play = [&]() -> Task<> {
        for (uint32_t shift = 0; shift < 3; ++shift) {
            group.first = shift * 29;
            const TimePoint shifted = Clock::now();
            co_await fixture.playUntilNot(group.version(), 2 * changeBound);
            changeTimes.push_back(Clock::now() - shifted);
            co_await fixture.play(Millis(1000));
        }
        fixture.context.stop();
    };
    asio::co_spawn(fixture.context, group.run(), asio::detached);
    asio::co_spawn(fixture.context, play(), asio::detached);
    fixture.context.run_for(std::chrono::seconds(30));
    CHECK(group.isSafe);
    REQUIRE(changeTimes.size() == 3);
    // The first includes the start of the leadership.
    CHECK(changeTimes[1] < changeBound);
    CHECK(changeTimes[2] < changeBound);
    CHECK(group.countsRead.size() >= 32);
    CHECK(group.longestReadGap < countBound);
    for (const auto& time : changeTimes)
        MESSAGE("map in force after ", std::chrono::duration_cast<Millis>(time).count(), " ms");
    MESSAGE("counts read at least every ", std::chrono::duration_cast<Millis>(group.longestReadGap).count(), " ms");
}

// Fails if the copy of an engine's answer to an earlier order is taken for that to one which it ignored.
TEST_CASE("a late copy of an answer to an order does not let the group go with a rank that is not armed")
{
    LeaderFixture fixture;
    EngineGroupFake& group = fixture.group;
    uint32_t changes = 0;
    auto play = [&]() -> Task<> {
        for (uint32_t shift = 0; shift < 4; ++shift) {
            group.first = shift * 29;
            const uint64_t before = group.version();
            co_await fixture.playUntilNot(before, Millis(4000));
            changes += group.version() != before;
            group.startFaults();
        }
        fixture.context.stop();
    };
    asio::co_spawn(fixture.context, group.run(), asio::detached);
    asio::co_spawn(fixture.context, play(), asio::detached);
    fixture.context.run_for(std::chrono::seconds(30));
    CHECK(group.isSafe);
    CHECK(changes >= 2);
}

// Fails if the group is held for the time of new connections to all its engines.
TEST_CASE("orders to a group that is held go on connections that were opened before")
{
    LeaderFixture fixture;
    auto play = [&]() -> Task<> {
        co_await fixture.playUntilNot(0, Millis(4000));
        fixture.context.stop();
    };
    asio::co_spawn(fixture.context, fixture.group.run(), asio::detached);
    asio::co_spawn(fixture.context, play(), asio::detached);
    fixture.context.run_for(std::chrono::seconds(30));
    CHECK(fixture.group.version() > 0);
    const std::string text = fixture.metrics.toPrometheusText();
    CHECK(text.find("orioletrail_map_orders_total{order=\"arm\",connection=\"pooled\"}") != std::string::npos);
    for (const char* order : { "hold", "arm", "go" })
        CHECK(text.find("orioletrail_map_orders_total{order=\"" + std::string(order) + "\",connection=\"new\"}") == std::string::npos);
}
