#include "rank/rank.h"

#include "gateway/async.h"
#include "memory/report.h"
#include "rank/leader.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <random>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis tickInterval { 20 };
    constexpr Millis engineTimeout { 30'000 };

    HttpCall engineCall(std::string method, std::string target, std::string body)
    {
        HttpCall call;
        call.request.method = std::move(method);
        call.request.target = std::move(target);
        call.request.body = std::move(body);
        addRequestId(call.request);
        call.timeout = engineTimeout;
        return call;
    }

} // namespace detail

struct Rank::State {
    explicit State(RankSettings);

    bool start(std::string& reason);
    void run();

    Task<> acceptLoop();
    void addConnection(asio::ip::tcp::socket);
    void receive(const std::shared_ptr<Connection>&, Message&&);
    // Carries out what GroupRank has decided: loads a map, runs a step or replies.
    void carryOut(const std::shared_ptr<Connection>&, const RankActions&);
    // Has the engine load the weights of a version of the map, and reports it to the leader.
    Task<> load(std::shared_ptr<Connection>, uint64_t version, std::string map);
    // Has the engine run the steps of one agreement, and reports it to the leader.
    Task<> runStep(std::shared_ptr<Connection>, StepId, uint64_t version);
    Task<std::optional<std::vector<std::vector<double>>>> fetchCounts();

    Task<> tickLoop();
    // Reads or writes the group's lease if LeaseCandidate asks for it.
    void updateLease(TimePoint);
    Task<> readLease();
    Task<> writeLease(LeaseWrite);
    Task<> pollFrozen();
    Task<> serveAdmin(const HttpRequest&, Responder&);
    // Creates or destroys the driver as this process gains or loses the lease.
    void updateLeadership();

    RankSettings settings;
    // Random number that identifies this run of the process.
    uint64_t startNumber = 0;
    Metrics metrics;
    asio::io_context io { 1 };
    asio::ip::tcp::acceptor acceptor { io };
    asio::signal_set signals { io, SIGTERM, SIGINT };
    Platform platform;
    std::unique_ptr<HttpClient> engine;
    std::unique_ptr<HttpServer> admin;
    LeaseCandidate lease;
    // Empty until the lease has been read. Without its token the rank cannot tell an outdated leader
    // from the present one, so it takes part in no agreement until then.
    std::optional<GroupRank> member;
    // Set while this process leads the group.
    std::unique_ptr<LeaderDriver> driver;
    // Token with which the last driver was created.
    uint64_t driverToken = 0;
    // Maps that the engine is to load, as JSON, by version.
    std::map<uint64_t, std::string> maps;
    // Operators have frozen the map.
    bool frozen = false;
    // The engine is loading a map.
    bool loading = false;
    TimePoint nextFrozenPoll;
};

Rank::Rank(RankSettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

Rank::~Rank() = default;

bool Rank::run()
{
    if (!m_state->start(m_lastError))
        return false;
    m_state->run();
    return true;
}

bool validate(const RankSettings& settings, std::string& reason)
{
    std::vector<AddressFlag> addresses = { { "--listen", settings.listen }, { "--engine", settings.engine },
        { "--platform", settings.platform }, { "--admin", settings.admin } };
    for (const std::string& rank : settings.ranks)
        addresses.push_back({ "--ranks", rank });
    if (!checkAddresses(addresses, reason))
        return false;
    if (settings.rank >= settings.ranks.size()) {
        reason = "--rank: " + std::to_string(settings.rank) + " is not below the number of --ranks, " + std::to_string(settings.ranks.size());
        return false;
    }
    return true;
}

Rank::State::State(RankSettings given)
    : settings(std::move(given))
    , startNumber(std::random_device {}() | static_cast<uint64_t>(std::random_device {}()) << 32)
    , lease(startNumber, settings.lease)
{
}

bool Rank::State::start(std::string& reason)
{
    if (!validate(settings, reason))
        return false;
    const auto [platformHost, platformPort] = *parseAddress(settings.platform);
    const auto [engineHost, enginePort] = *parseAddress(settings.engine);
    const auto [adminHost, adminPort] = *parseAddress(settings.admin);
    platform = makeHttpPlatform(io.get_executor(), platformHost, platformPort, settings.platformTimeout, metrics);
    engine = std::make_unique<HttpClient>(io.get_executor(), engineHost, enginePort);
    admin = std::make_unique<HttpServer>(
        io.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return serveAdmin(request, responder); },
        [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; });
    limitRetainedMemory();
    admin->setMemory(makeMemoryGuard(memorySettingsFor(settings.memoryMegabytes << 20, 0, 1), metrics));
    if (!admin->listen(adminHost, adminPort)) {
        reason = "--admin: " + admin->lastError();
        return false;
    }
    return listenOn(acceptor, { "--listen", settings.listen }, reason);
}

void Rank::State::run()
{
    log(LogLevel::Info, "rank started", { { "group", settings.group }, { "rank", std::to_string(settings.rank) }, { "listen", settings.listen } });
    signals.async_wait([this](boost::system::error_code error, int) {
        if (!error)
            io.stop();
    });
    asio::co_spawn(io, acceptLoop(), asio::detached);
    asio::co_spawn(io, tickLoop(), asio::detached);
    io.run();
    log(LogLevel::Info, "rank stopped", { { "group", settings.group }, { "rank", std::to_string(settings.rank) } });
}

Task<> Rank::State::acceptLoop()
{
    while (acceptor.is_open()) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            addConnection(std::move(socket));
    }
}

void Rank::State::addConnection(asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<Connection>(std::move(socket));
    // An open connection keeps itself alive, so its handler needs only a weak pointer.
    connection->start({ [this, weak = std::weak_ptr(connection)](Message&& message) {
                           if (const auto strong = weak.lock())
                               receive(strong, std::move(message));
                       },
        [](std::string_view) {} });
}

void Rank::State::receive(const std::shared_ptr<Connection>& connection, Message&& message)
{
    if (const auto* hello = std::get_if<GroupHello>(&message)) {
        if (hello->group != settings.group || hello->rank != settings.rank)
            connection->close("another rank answers at this address");
        return;
    }
    // All other messages come from the group's leader.
    lease.onLeaderHeard(Clock::now());
    if (std::holds_alternative<Ping>(message))
        connection->send(message);
    auto* group = std::get_if<GroupMessage>(&message);
    if (!group || !member)
        return;
    if (group->kind == GroupMessageKind::Prepare)
        maps[group->version] = std::move(group->map);
    carryOut(connection, member->receive(*group));
}

void Rank::State::carryOut(const std::shared_ptr<Connection>& connection, const RankActions& actions)
{
    if (actions.load) {
        if (!std::exchange(loading, true))
            asio::co_spawn(io, load(connection, *actions.load, maps[*actions.load]), asio::detached);
    } else if (actions.run) {
        asio::co_spawn(io, runStep(connection, actions.run->first, actions.run->second), asio::detached);
    } else if (actions.reply) {
        connection->send(*actions.reply);
    }
}

Task<> Rank::State::load(std::shared_ptr<Connection> connection, uint64_t version, std::string map)
{
    HttpCall call = detail::engineCall("POST", "/load?version=" + std::to_string(version), std::move(map));
    const HttpResult result = co_await engine->call(std::move(call));
    loading = false;
    maps.erase(version);
    if (result.ok() && result.status == 200)
        carryOut(connection, member->onLoaded(version));
}

Task<> Rank::State::runStep(std::shared_ptr<Connection> connection, StepId step, uint64_t version)
{
    const std::string target = "/step?token=" + std::to_string(step.token) + "&number=" + std::to_string(step.number)
        + "&version=" + std::to_string(version) + "&count=" + std::to_string(settings.stepsPerAgreement);
    HttpCall call = detail::engineCall("POST", target, {});
    const HttpResult result = co_await engine->call(std::move(call));
    if (result.ok() && result.status == 200)
        carryOut(connection, member->onStepDone(step));
}

Task<std::optional<std::vector<std::vector<double>>>> Rank::State::fetchCounts()
{
    HttpCall call = detail::engineCall("GET", "/counts", {});
    const HttpResult result = co_await engine->call(std::move(call));
    if (!result.ok() || result.status != 200)
        co_return std::nullopt;
    co_return parseCounts(result.body);
}

Task<> Rank::State::tickLoop()
{
    while (true) {
        const TimePoint now = Clock::now();
        updateLease(now);
        updateLeadership();
        if (driver)
            driver->tick(now);
        if (driver && now >= nextFrozenPoll) {
            nextFrozenPoll = now + settings.freezePollInterval;
            asio::co_spawn(io, pollFrozen(), asio::detached);
        }
        co_await sleepFor(detail::tickInterval);
    }
}

void Rank::State::updateLease(TimePoint now)
{
    // A rank that is no candidate reads the lease only once, to learn the token.
    if (settings.rank >= settings.candidates && member)
        return;
    const LeaseActions actions = lease.tick(now);
    if (actions.read)
        asio::co_spawn(io, readLease(), asio::detached);
    if (actions.write)
        asio::co_spawn(io, writeLease(*actions.write), asio::detached);
}

Task<> Rank::State::readLease()
{
    const PlatformReply reply = co_await platform.get("lease/" + settings.group);
    const TimePoint now = Clock::now();
    std::string reason;
    std::optional<LeaseRecord> record;
    if (reply.status == PlatformStatus::Ok)
        record = parseLeaseRecord(reply.value, reason);
    else if (reply.status == PlatformStatus::NotFound)
        record = LeaseRecord {};
    if (!record) {
        lease.onUnresolved(now);
        co_return;
    }
    const LeaseActions actions = lease.onRead(*record, reply.revision, now);
    if (!member)
        member.emplace(settings.rank, startNumber, lease.highestToken());
    if (actions.write && settings.rank < settings.candidates)
        co_await writeLease(*actions.write);
}

Task<> Rank::State::writeLease(LeaseWrite write)
{
    PutRequest put { "lease/" + settings.group, toJson(write.record), write.expectedRevision };
    const PlatformReply reply = co_await platform.put(std::move(put));
    if (reply.status == PlatformStatus::Ok)
        lease.onWritten(reply.revision, Clock::now());
    else
        lease.onUnresolved(Clock::now());
}

void Rank::State::updateLeadership()
{
    const std::optional<uint64_t> token = lease.token();
    if (driver && (token != driverToken || driver->isSuperseded())) {
        lease.onUnresolved(Clock::now());
        log(LogLevel::Info, "stopped leading", { { "group", settings.group }, { "token", std::to_string(driverToken) } });
        driver = nullptr;
    }
    // This process does not lead again with a token that was superseded.
    if (driver || !token || *token <= driverToken)
        return;
    driverToken = *token;
    log(LogLevel::Info, "leading", { { "group", settings.group }, { "token", std::to_string(driverToken) } });
    driver = std::make_unique<LeaderDriver>(io.get_executor(), settings, platform, metrics, driverToken,
        LeaderDriver::Hooks { [this] { return fetchCounts(); }, [this] { return frozen; } });
}

// Operators freeze a map by setting "frozen" in the object "config/group/NAME".
Task<> Rank::State::pollFrozen()
{
    const PlatformReply reply = co_await platform.get("config/group/" + settings.group);
    if (reply.status != PlatformStatus::Ok)
        co_return;
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(reply.value, error);
    const boost::json::value* flag = !error && value.is_object() ? value.get_object().if_contains("frozen") : nullptr;
    frozen = flag && flag->is_bool() && flag->get_bool();
}

Task<> Rank::State::serveAdmin(const HttpRequest& request, Responder& responder)
{
    HttpResponse answer;
    if (request.path() == "/metrics") {
        metrics.setGauge("orioletrail_group_leading", driver ? 1 : 0);
        if (driver) {
            metrics.setGauge("orioletrail_group_map_in_force", static_cast<double>(driver->leader().inForce()));
            metrics.setGauge("orioletrail_group_token", static_cast<double>(driverToken));
        }
        answer.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
        answer.body = metrics.toPrometheusText();
    } else if (request.path() == "/readyz") {
        answer.status = member ? 200 : 503;
    } else if (request.path() != "/healthz") {
        answer.status = 404;
    }
    co_await responder.respond(answer);
}

} // namespace orioletrail
