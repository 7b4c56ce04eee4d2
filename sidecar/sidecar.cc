#include "sidecar/sidecar.h"

#include "gateway/async.h"
#include "memory/report.h"
#include "sidecar/state.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <random>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis tickInterval { 50 };
    constexpr Millis ledgerInterval { 10 };
    // Probes that may fail in a row before the endpoint counts as lost.
    constexpr uint32_t probeFailuresAllowed = 3;
    // Probes that decide whether the endpoint process has died, and the pause between them.
    constexpr int deathChecks = 5;
    constexpr Millis deathCheckPause { 50 };
    constexpr size_t maxLoadReportBytes = size_t { 16 } << 10;

    // Returns nothing if the report has no process identifier.
    std::optional<LoadReport> parseLoadReport(std::string_view text)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text, error);
        if (error || !value.is_object())
            return std::nullopt;
        const auto& object = value.get_object();
        LoadReport report;
        if (const auto* start = object.if_contains("start"))
            report.start = start->to_number<uint64_t>(error);
        if (const auto* inFlight = object.if_contains("inFlight"))
            report.inFlight = inFlight->to_number<uint32_t>(error);
        if (const auto* rate = object.if_contains("cacheHitRate"))
            report.cacheHitRate = rate->to_number<double>(error);
        return report.start ? std::optional(report) : std::nullopt;
    }

} // namespace detail

Sidecar::Sidecar(SidecarSettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

Sidecar::~Sidecar() = default;

bool Sidecar::run()
{
    if (!m_state->start(m_lastError))
        return false;
    m_state->run();
    return true;
}

bool validate(const SidecarSettings& settings, std::string& reason)
{
    const AddressFlag addresses[] = { { "--listen", settings.listen }, { "--endpoint", settings.endpoint },
        { "--platform", settings.platform }, { "--admin", settings.admin } };
    if (!checkAddresses(addresses, reason))
        return false;
    if (settings.ramp.coldLimit > settings.ramp.warmLimit) {
        reason = "--cold-limit: " + std::to_string(settings.ramp.coldLimit) + " is above --warm-limit "
            + std::to_string(settings.ramp.warmLimit);
        return false;
    }
    return true;
}

Sidecar::State::State(SidecarSettings given)
    : settings(std::move(given))
    , startNumber(std::random_device {}() | static_cast<uint64_t>(std::random_device {}()) << 32)
    , ramp(settings.ramp)
{
}

bool Sidecar::State::start(std::string& reason)
{
    if (!validate(settings, reason))
        return false;
    const auto [endpointHost, endpointPort] = *parseAddress(settings.endpoint);
    const auto [platformHost, platformPort] = *parseAddress(settings.platform);
    const auto [adminHost, adminPort] = *parseAddress(settings.admin);
    endpoint = std::make_unique<HttpClient>(trafficIo.get_executor(), endpointHost, endpointPort);
    claims = std::make_unique<Claims>(trafficIo.get_executor(),
        makeHttpPlatform(trafficIo.get_executor(), platformHost, platformPort, settings.platformTimeout, metrics),
        settings.service, startNumber, settings.ledger);
    AgentSettings agentSettings;
    agentSettings.name = settings.name;
    agentSettings.zone = settings.zone;
    agentSettings.freshness = settings.freshness;
    agent = std::make_unique<ConfigAgent>(controlIo.get_executor(), agentSettings,
        makeHttpPlatform(controlIo.get_executor(), platformHost, platformPort, settings.platformTimeout, metrics),
        [this](const ControlView& latest) { asio::post(trafficIo, [this, latest] { onControlView(latest); }); });
    admin = std::make_unique<HttpServer>(
        controlIo.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return serveAdmin(request, responder); },
        [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; });
    limitRetainedMemory();
    admin->setMemory(makeMemoryGuard(memorySettingsFor(settings.memoryMegabytes << 20, 0, 1), metrics));
    if (!admin->listen(adminHost, adminPort)) {
        reason = "--admin: " + admin->lastError();
        return false;
    }
    if (!listenOn(acceptor, { "--listen", settings.listen }, reason))
        return false;
    return agent->start();
}

void Sidecar::State::run()
{
    log(LogLevel::Info, "sidecar started", { { "instance", settings.name }, { "zone", settings.zone }, { "listen", settings.listen }, { "endpoint", settings.endpoint } });
    signals.async_wait([this](boost::system::error_code error, int) {
        if (!error)
            shutDown();
    });
    asio::co_spawn(trafficIo, acceptLoop(), asio::detached);
    asio::co_spawn(trafficIo, tickLoop(), asio::detached);
    asio::co_spawn(trafficIo, ledgerLoop(), asio::detached);
    asio::co_spawn(trafficIo, probeLoop(), asio::detached);
    controlThread = std::thread([this] { controlIo.run(); });
    trafficIo.run();
    controlIo.stop();
    controlThread.join();
    agent->stop();
    log(LogLevel::Info, "sidecar stopped", { { "instance", settings.name } });
}

void Sidecar::State::onControlView(const ControlView& latest)
{
    const bool changed = latest.config->revision != view.config->revision;
    view = latest;
    if (!changed)
        return;
    const bool zoneOut = view.config->isZoneOut(settings.zone);
    if (wasZoneOut && !zoneOut)
        ramp.restart();
    wasZoneOut = zoneOut;
    updateCredits();
    for (auto& [number, peer] : peers) {
        sendPing(peer);
        if (peer.heartbeat.peerRevision() < view.config->revision)
            sendConfigTo(number, peer.heartbeat.peerRevision());
    }
}

Reason Sidecar::State::closedReason(TimePoint now) const
{
    if (stopping)
        return Reason::ShuttingDown;
    if (!view.mayAcceptWork(now))
        return Reason::NoConfiguration;
    if (view.config->isZoneOut(settings.zone))
        return Reason::ZoneOut;
    const auto own = view.config->endpoints.find(settings.name);
    if (own == view.config->endpoints.end() || own->second.leaving)
        return Reason::Leaving;
    if (notices.isLeaving(settings.name, endpointStart))
        return Reason::Leaving;
    if (notices.pauseLeft(settings.name, endpointStart, now) > Millis(0))
        return Reason::EndpointRefused;
    return ramp.isProbed() ? Reason::None : Reason::NotProbed;
}

void Sidecar::State::updateCredits()
{
    const uint32_t limit = closedReason(Clock::now()) == Reason::None ? ramp.limit() : 0;
    pool.setLimit(exclusiveAttempt ? std::min(limit, 1U) : limit);
    for (const CreditChange& change : pool.rebalance()) {
        const auto peer = peers.find(change.connection);
        if (peer == peers.end())
            continue;
        const auto credits = static_cast<uint32_t>(std::abs(change.credits));
        logCredits(peer->second, change.credits > 0 ? "credits granted" : "credits recalled", credits);
        if (change.credits > 0)
            peer->second.connection->send(GrantCredits { credits });
        else
            peer->second.connection->send(RecallCredits { credits });
    }
}

void Sidecar::State::logCredits(const Peer& peer, std::string_view event, uint32_t credits) const
{
    if (isLogged(LogLevel::Debug))
        log(LogLevel::Debug, event, { { "endpoint", settings.name }, { "entry", std::to_string(peer.entry) }, { "connection", std::to_string(peer.entryConnection) }, { "credits", std::to_string(credits) }, { "held", std::to_string(pool.held(peer.number)) }, { "heldByAll", std::to_string(pool.held()) }, { "inFlight", std::to_string(pool.inFlight()) }, { "limit", std::to_string(pool.limit()) } });
}

Task<> Sidecar::State::tickLoop()
{
    while (true) {
        co_await sleepFor(detail::tickInterval);
        tick();
    }
}

Task<> Sidecar::State::ledgerLoop()
{
    while (true) {
        co_await sleepFor(detail::ledgerInterval);
        if (!claims->isIdle())
            claims->tick();
    }
}

void Sidecar::State::tick()
{
    const TimePoint now = Clock::now();
    attempts.expire(now);
    std::vector<AttemptPtr> late;
    for (const auto& [id, attempt] : activeAttempts)
        if ((attempt->claiming || (exclusiveWaits && attempt == exclusiveAttempt)) && now >= attempt->deadline)
            late.push_back(attempt);
    for (const AttemptPtr& attempt : late) {
        if (attempt->claiming)
            claims->abandon(attempt->ticket, attempt->claimKey);
        fail(attempt, Outcome::NotRun, Reason::Deadline);
    }
    std::vector<std::shared_ptr<Connection>> silent;
    for (auto& [number, peer] : peers)
        if (now - peer.connection->lastReceived() > entrySilenceTimeout)
            silent.push_back(peer.connection);
    for (const auto& connection : silent) {
        metrics.count("orioletrail_silent_connections_total");
        connection->close("silent");
    }
    updateCredits();
    updateGauges();
}

void Sidecar::State::updateGauges()
{
    const Reason closed = closedReason(Clock::now());
    ready = closed == Reason::None;
    metrics.setGauge("orioletrail_limit", ramp.limit());
    metrics.setGauge("orioletrail_in_flight", pool.inFlight());
    metrics.setGauge("orioletrail_credits_held", pool.held());
    metrics.setGauge("orioletrail_cold_cuts", ramp.coldCuts());
    metrics.setGauge("orioletrail_config_revision", static_cast<double>(view.config->revision));
    metrics.setGauge("orioletrail_closed", static_cast<double>(closed));
    metrics.setGauge("orioletrail_entries", static_cast<double>(peers.size()));
}

Task<> Sidecar::State::probeLoop()
{
    while (true) {
        co_await probe();
        co_await sleepFor(settings.probeInterval);
    }
}

Task<std::optional<LoadReport>> Sidecar::State::fetchLoadReport(HttpFailure& failure)
{
    HttpCall call;
    call.request.method = "GET";
    call.request.target = "/load";
    call.timeout = settings.probeTimeout;
    call.maxBodyBytes = detail::maxLoadReportBytes;
    call.allowReuse = false;
    const HttpResult result = co_await endpoint->call(std::move(call));
    failure = result.failure;
    if (result.ok() && result.status == 200)
        co_return detail::parseLoadReport(result.body);
    co_return std::nullopt;
}

Task<bool> Sidecar::State::hasEndpointDied()
{
    // A dying process may close some of its sockets before others, so one failed call proves
    // nothing.
    for (int i = 0; i < detail::deathChecks; ++i) {
        HttpFailure failure = HttpFailure::None;
        const std::optional<LoadReport> report = co_await fetchLoadReport(failure);
        if (report)
            co_return report->start != endpointStart;
        if (failure == HttpFailure::Connect)
            co_return true;
        co_await sleepFor(detail::deathCheckPause);
    }
    co_return true;
}

Task<> Sidecar::State::probe()
{
    HttpFailure failure = HttpFailure::None;
    const std::optional<LoadReport> report = co_await fetchLoadReport(failure);
    if (report) {
        endpointStart = report->start;
        probeFailures = 0;
        ramp.onReport(*report);
    } else if (failure == HttpFailure::Connect || ++probeFailures >= detail::probeFailuresAllowed) {
        ramp.onLost();
    }
    updateCredits();
}

void Sidecar::State::shutDown()
{
    log(LogLevel::Info, "sidecar shutting down", { { "running", std::to_string(activeAttempts.size()) } });
    stopping = true;
    updateCredits();
    for (auto& [number, peer] : peers)
        sendPing(peer);
    asio::co_spawn(trafficIo, drain(), asio::detached);
}

Task<> Sidecar::State::drain()
{
    const TimePoint limit = Clock::now() + settings.drainTimeout;
    // Entries learn of the shutdown by heartbeat; attempts that they send until then are refused.
    co_await sleepFor(heartbeatInterval);
    while (Clock::now() < limit && (!activeAttempts.empty() || attempts.unacknowledged() || !claims->isIdle()))
        co_await sleepFor(detail::tickInterval);
    trafficIo.stop();
}

Task<> Sidecar::State::serveAdmin(const HttpRequest& request, Responder& responder)
{
    HttpResponse answer;
    if (request.path() == "/metrics") {
        answer.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
        answer.body = metrics.toPrometheusText();
    } else if (request.path() == "/readyz") {
        answer.status = ready && !stopping ? 200 : 503;
    } else if (request.path() != "/healthz") {
        answer.status = 404;
    }
    co_await responder.respond(answer);
}

} // namespace orioletrail
