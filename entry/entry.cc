#include "entry/entry.h"

#include "entry/state.h"
#include "gateway/async.h"
#include "membership/peers.h"
#include "memory/report.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis tickInterval { 50 };
    constexpr Millis gaugeInterval { 500 };
    // Retries of a service or an account that need no requests before. Each start of an entry adds them,
    // so there are only enough for the first failures.
    constexpr double retriesAfterStart = 2;
    // For the answers to requests that are cut off at the end of the drain timeout.
    constexpr Millis cutOffTime { 500 };
    // Most credits to request from one sidecar on top of those held.
    constexpr uint32_t maxCreditDemand = 16;

} // namespace detail

Entry::Entry(EntrySettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

Entry::~Entry() = default;

bool Entry::run()
{
    if (!m_state->start(m_lastError))
        return false;
    m_state->run();
    return true;
}

bool validate(const EntrySettings& settings, std::string& reason)
{
    std::vector<AddressFlag> addresses = { { "--listen", settings.listen }, { "--admin", settings.admin },
        { "--gossip", settings.gossip }, { "--platform", settings.platform } };
    for (const std::string& peer : settings.peers)
        addresses.push_back({ "--peer", peer });
    return checkAddresses(addresses, reason);
}

Entry::State::State(EntrySettings initialSettings)
    : settings(std::move(initialSettings))
    , incarnation(std::random_device {}() | static_cast<uint64_t>(std::random_device {}()) << 32)
{
    retryBudget.setExtra(detail::retriesAfterStart);
    accountRetryBudget.setExtra(detail::retriesAfterStart);
    trials = SuspectTrials(settings.name);
}

bool Entry::State::start(std::string& reason)
{
    if (!validate(settings, reason))
        return false;
    const auto [platformHost, platformPort] = *parseAddress(settings.platform);
    const auto [adminHost, adminPort] = *parseAddress(settings.admin);
    const auto [listenHost, listenPort] = *parseAddress(settings.listen);
    AgentSettings agentSettings;
    agentSettings.name = settings.name;
    agentSettings.zone = settings.zone;
    agentSettings.gossipAddress = settings.gossip;
    agentSettings.peers = settings.peers;
    agentSettings.freshness = settings.freshness;
    platform = makeHttpPlatform(controlIo.get_executor(), platformHost, platformPort, settings.platformTimeout, metrics);
    agent = std::make_unique<ConfigAgent>(controlIo.get_executor(), agentSettings, platform, [this](const ControlView& newView) {
        asio::post(trafficIo, [this, newView] { onControlView(newView); });
        asio::post(controlIo, [this, newView] { controlThreadView = newView; });
    });
    auto refuseMalformed = [this](unsigned status, Reason reason) {
        metrics.countRefusal(reason, Outcome::NotRun);
        return makeRefusalAnswer("", { status, reason, Outcome::NotRun, {} });
    };
    // The attempt, the encoded message and the decoded JSON.
    settings.http.bodyCopies = 3;
    callerServer = std::make_unique<HttpServer>(
        trafficIo.get_executor(), settings.http, [this](const HttpRequest& request, Responder& responder) { return handleRequest(request, responder); }, refuseMalformed);
    adminServer = std::make_unique<HttpServer>(
        controlIo.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return handleAdminRequest(request, responder); }, refuseMalformed);
    limitRetainedMemory();
    const auto memory = makeMemoryGuard(memorySettingsFor(settings.memoryMegabytes << 20, 0, 1), metrics);
    callerServer->setMemory(memory);
    adminServer->setMemory(memory);
    if (!adminServer->listen(adminHost, adminPort)) {
        reason = "--admin: " + adminServer->lastError();
        return false;
    }
    if (!callerServer->listen(listenHost, listenPort)) {
        reason = "--listen: " + callerServer->lastError();
        return false;
    }
    if (!agent->start()) {
        reason = "--gossip: " + agent->lastError();
        return false;
    }
    return true;
}

void Entry::State::run()
{
    log(LogLevel::Info, "entry started", { { "instance", settings.name }, { "zone", settings.zone }, { "listen", settings.listen }, { "admin", settings.admin }, { "gossip", settings.gossip } });
    signals.async_wait([this](boost::system::error_code error, int) {
        if (!error)
            shutDown();
    });
    asio::co_spawn(trafficIo, tickLoop(), asio::detached);
    controlThread = std::thread([this] { controlIo.run(); });
    trafficIo.run();
    controlIo.stop();
    controlThread.join();
    agent->stop();
    log(LogLevel::Info, "entry stopped", { { "instance", settings.name } });
}

void Entry::State::onControlView(const ControlView& newView)
{
    const bool configChanged = newView.config->revision != view.config->revision;
    view = newView;
    if (!configChanged)
        return;
    updateLinks();
    for (const auto& [name, link] : links)
        if (link->isOpen() && link->peerRevision() < view.config->revision)
            sendConfigDelta(name, link->peerRevision());
}

void Entry::State::updateLinks()
{
    const std::vector<std::string> selected = chooseEndpointSubset(*view.config, settings.name, settings.subsetSize);
    std::erase_if(links, [&](const auto& item) {
        const auto endpoint = view.config->endpoints.find(item.first);
        const bool unchanged = endpoint != view.config->endpoints.end() && endpoint->second.sidecar == item.second->address();
        // A link with attempts in flight stays until they have ended.
        return !unchanged && !item.second->inFlight();
    });
    for (const std::string& name : selected) {
        if (links.contains(name))
            continue;
        SidecarLink::Hooks hooks;
        hooks.onAvailabilityChanged = [this] { queueWakeup.cancel(); };
        hooks.onConfigBehind = [this, name](uint64_t since) { sendConfigDelta(name, since); };
        hooks.onConfigDelta = [this](ConfigDelta&& delta) { agent->control().submitDelta(std::move(delta), "", std::nullopt, Millis(0)); };
        hooks.onHeartbeatAnswered = [this, name](std::string_view, const Ping& ping, const FreshnessProof& proof) {
            const auto endpoint = view.config->endpoints.find(name);
            if (endpoint != view.config->endpoints.end())
                agent->control().submitDelta(ConfigDelta { 0, ping.revision, {} }, endpoint->second.zone, proof.pingSentAt, proof.age);
        };
        hooks.configRevisionAndAge = [this] { return std::pair(view.config->revision, view.freshness.age(Clock::now())); };
        hooks.onPoisonReport = [this](const PoisonReport& report) { onPoisonReport(report); };
        hooks.poisonReports = [this] {
            std::vector<PoisonReport> reports;
            for (const PoisonEvidence& evidence : poisonRecords.fullReport(Clock::now()))
                reports.push_back(toPoisonReport(evidence));
            return reports;
        };
        hooks.incrementCounter = [this](std::string_view counter) { metrics.count(counter); };
        links.emplace(name, std::make_shared<SidecarLink>(trafficIo.get_executor(), SidecarLink::Identity { incarnation, settings.name, settings.zone }, name, view.config->endpoints.find(name)->second.sidecar, std::move(hooks)));
    }
}

void Entry::State::sendConfigDelta(const std::string& endpoint, uint64_t since)
{
    agent->control().requestDelta(since, [this, endpoint](const ConfigDelta& delta, const ControlView&) {
        asio::post(trafficIo, [this, endpoint, delta] {
            const auto link = links.find(endpoint);
            if (link == links.end())
                return;
            link->second->setPeerRevision(delta.to);
            link->second->send(delta);
        });
    });
}

uint32_t Entry::State::serviceCapacity(std::string_view service) const
{
    uint32_t capacity = 0;
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        if (endpoint != view.config->endpoints.end() && endpoint->second.service == service && link->isOpen())
            capacity += link->credits() + link->inFlight();
    }
    return capacity;
}

void Entry::State::updateCreditDemand()
{
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        if (endpoint == view.config->endpoints.end() || !link->isOpen())
            continue;
        const auto queued = queuedByService.find(endpoint->second.service);
        link->setCreditDemand(queued == queuedByService.end() ? 0 : std::min(queued->second, detail::maxCreditDemand));
    }
}

void Entry::State::updateGauges(TimePoint now, size_t openLinks)
{
    if (now < nextGaugeUpdate)
        return;
    nextGaugeUpdate = now + detail::gaugeInterval;
    metrics.setGauge("orioletrail_links_open", static_cast<double>(openLinks));
    metrics.setGauge("orioletrail_in_progress", static_cast<double>(callerServer->inProgress()));
    metrics.setGauge("orioletrail_config_revision", static_cast<double>(view.config->revision));
    metrics.setGauge("orioletrail_config_age_ms", static_cast<double>(view.freshness.age(now).count()));
    std::map<std::string, uint64_t> revisions;
    for (const auto& [name, link] : links)
        metrics.setGauge("orioletrail_link_credits", Metrics::label("endpoint", name), link->credits());
    for (const auto& [name, link] : links)
        revisions[name] = link->isConnected() ? link->peerRevision() : 0;
    asio::post(controlIo, [this, copy = std::move(revisions)]() mutable { sidecarRevisions = std::move(copy); });
}

Task<> Entry::State::tickLoop()
{
    while (true) {
        co_await sleepFor(detail::tickInterval);
        const TimePoint now = Clock::now();
        size_t openLinks = 0;
        for (const auto& [name, link] : links) {
            link->tick(now);
            openLinks += link->isOpen() ? 1 : 0;
        }
        updateCreditDemand();
        queueWakeup.cancel();
        ready = view.mayAcceptWork(now) && openLinks;
        updateGauges(now, openLinks);
    }
}

void Entry::State::shutDown()
{
    log(LogLevel::Info, "entry shutting down", { { "inProgress", std::to_string(callerServer->inProgress()) } });
    stopping = true;
    DrainSettings drainSettings;
    drainSettings.grace = settings.drainGrace + settings.drainTimeout + detail::cutOffTime;
    drainSettings.acceptFor = settings.drainGrace;
    drainPlan = DrainPlan(Clock::now(), drainSettings);
    asio::co_spawn(trafficIo, drain(), asio::detached);
}

Task<> Entry::State::drain()
{
    co_await sleepFor(settings.drainGrace);
    callerServer->stopAccepting();
    while (callerServer->inProgress() && Clock::now() < drainPlan->answerBy())
        co_await sleepFor(detail::tickInterval);
    isClosing = true;
    cutOffRequests();
    // Callers use kept connections until the end; a request of which a part was read still gets its refusal.
    callerServer->stopReading();
    // At least once, since a request may have been read whose handler has not started, and the acknowledgements of the
    // last frames need time to be sent.
    do
        co_await sleepFor(detail::tickInterval);
    while ((callerServer->inProgress() || callerServer->receiving()) && Clock::now() < drainPlan->closeBy());
    trafficIo.stop();
}

void Entry::State::cutOffRequests()
{
    if (!contexts.empty())
        log(LogLevel::Warning, "requests cut off at the end of the drain timeout", { { "requests", std::to_string(contexts.size()) } });
    metrics.count("orioletrail_requests_cut_off_total", {}, contexts.size());
    for (RequestContext* context : contexts) {
        context->isCutOff = true;
        if (context->stream)
            context->stream->fail(Outcome::MayHaveRun, Reason::ShuttingDown);
    }
    queueWakeup.cancel();
}

} // namespace orioletrail
