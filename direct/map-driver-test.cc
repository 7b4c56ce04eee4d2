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
        for (uint32_t rank = 0; rank < rankCount; ++rank)
            engines.push_back({ "engine-" + std::to_string(rank), "model", std::make_shared<HttpClient>(m_context.get_executor(), "127.0.0.1", m_ports[rank]), Millis(0), areSidecars });
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
    };

    Task<> handle(uint32_t number, const HttpRequest& request, Responder& responder)
    {
        HttpResponse answer { 200, {}, {} };
        if (request.path() == "/orioletrail/order")
            answer.status = order(m_ranks[number], json::parse(request.body).as_object());
        else if (request.path() == "/orioletrail/report")
            answer.body = json::serialize(report(number));
        else
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
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::vector<uint16_t> m_ports;
};

} // namespace

TEST_CASE("a group of 129 ranks gets a better map within two seconds of a shift, from counts of 300 ms at most")
{
    constexpr Millis changeBound { 2000 };
    constexpr Millis countBound { 300 };
    asio::io_context context;
    asio::thread_pool planner { 1 };
    Metrics metrics;
    EngineGroupFake group(context);
    EngineProfile profile;
    profile.expertSets = setCount;
    profile.experts = expertCount;
    profile.expertsPerRank = 3;
    profile.newExpertsPerChange = 2;
    profile.expertCopyTime = Millis(6);
    std::vector<EngineAccess> engines = group.accesses(false);
    std::vector<EngineAccess> sidecars = group.accesses(true);
    MapDriver::Hooks hooks;
    hooks.engines = [&engines]() -> std::vector<EngineAccess> { return engines; };
    hooks.sidecars = [&sidecars]() -> Task<std::optional<std::vector<EngineAccess>>> { co_return sidecars; };
    hooks.profile = [&](const std::string&) { return &profile; };
    hooks.expectedGapRatio = [](const std::string&, double) { return 1.0; };
    MapDriver driver(context.get_executor(), planner.get_executor(), {}, hooks, metrics);
    driver.takeOver({ 65'536, 131'072 });
    std::vector<Clock::duration> changeTimes;
    auto play = [&]() -> Task<> {
        for (uint32_t shift = 0; shift < 3; ++shift) {
            group.first = shift * 29;
            const uint64_t before = group.version();
            const TimePoint shifted = Clock::now();
            while (group.version() == before && Clock::now() - shifted < 2 * changeBound) {
                co_await sleepFor(Millis(50));
                driver.tick(Clock::now());
            }
            changeTimes.push_back(Clock::now() - shifted);
            for (int tick = 0; tick < 20; ++tick) {
                co_await sleepFor(Millis(50));
                driver.tick(Clock::now());
            }
        }
        context.stop();
    };
    asio::co_spawn(context, group.run(), asio::detached);
    asio::co_spawn(context, play(), asio::detached);
    context.run_for(std::chrono::seconds(30));
    planner.join();
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
