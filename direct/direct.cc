#include "direct/direct.h"

#include "direct/state.h"
#include "explain/query.h"
#include "gateway/async.h"
#include "memory/report.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis tickInterval { 50 };
    constexpr Millis expiryTickInterval { 500 };
    // Added to the report lag in the engine parameters.
    constexpr Millis reportLagMargin { 100 };
    // A request is refused after this many endpoint deaths. It may not have caused them.
    constexpr uint32_t maxDeathsPerRequest = 3;
    // The load balancer in front checks readiness once per second and stops sending requests after two
    // failed checks.
    constexpr Millis balancerReactionTime { 2200 };
    constexpr Millis drainCheckInterval { 10 };

} // namespace detail

DirectEntry::DirectEntry(DirectSettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
}

DirectEntry::~DirectEntry() = default;

bool DirectEntry::run()
{
    if (!m_state->start(m_lastError))
        return false;
    m_state->run();
    return true;
}

bool validate(const DirectSettings& settings, std::string& reason)
{
    if (!settings.settingsFile.empty() || platformSettingsPath())
        return true;
    reason = "--settings-file: not set, and the platform has passed no path of a settings file";
    return false;
}

DirectEntry::State::State(DirectSettings given)
    : settings(std::move(given))
{
}

bool DirectEntry::State::start(std::string& reason)
{
    if (settings.settingsFile.empty())
        settings.settingsFile = platformSettingsPath().value_or("");
    const std::optional<PlatformSettings> read = readPlatformSettings(settings.settingsFile, reason);
    if (!read)
        return false;
    platform = *read;
    const auto storeAddress = parseAddress(platform.storeAddress);
    const auto callerAddress = parseAddress(platform.callerAddress);
    const auto readinessAddress = parseAddress(platform.readinessAddress);
    if (!storeAddress || !callerAddress || !readinessAddress) {
        reason = "the settings name no valid address for the store, or none for callers or for readiness checks";
        return false;
    }
    dispatcher = std::make_unique<Dispatcher>(platform.zone, DispatchRules {}, platform.instance);
    dispatcher->setPartRetention(settings.partRetention);
    PoisonSettings poisonSettings;
    poisonSettings.refuseAfter = detail::maxDeathsPerRequest;
    poison = PoisonRecords(poisonSettings);
    trials = SuspectTrials(platform.instance);
    crashParts = CrashParts({}, [this](PartHash part, std::optional<double> chance, size_t crashCount) { onPartRefused(part, chance, crashCount); });
    retries = RetryBudget({ platform.retryRatio, platform.retryWindow });
    slackShare = SlackShare({ platform.retrySlack, platform.retryWindow }, Clock::now());
    addKnownInstance(platform.instance);
    store = std::make_unique<StoreClient>(controlIo.get_executor(), StoreClientSettings { storeAddress->first, storeAddress->second, settings.storeTimeout }, metrics);
    keeper = std::make_unique<DirectoryKeeper>([this](DirectorySnapshot updated) {
        asio::post(traffic, [this, updated = std::move(updated)] { onSnapshot(updated); });
    });
    registry = std::make_unique<InstanceRegistry>(*store);
    feed = std::make_unique<StoreFeed>(controlIo.get_executor());
    feeders = std::make_unique<Feeders>(platform.instance, platform.zone, platform.processorShare);
    StoreWatcher::Hooks watcherHooks;
    watcherHooks.onProgress = [this](const StoreProgress& progress) { asio::post(traffic, [this, progress] { storeProgress = progress; }); };
    watcherHooks.onRestored = [this] { asio::co_spawn(controlIo, rejoinPeers(), asio::detached); };
    watcherHooks.unixMillis = settings.unixMillis;
    watcher = std::make_unique<StoreWatcher>(controlIo.get_executor(), *store, *feed, *keeper, metrics, std::move(watcherHooks));
    store->onEraChanged([this](uint64_t era) { watcher->onEra(era); });
    auto refuseInvalid = [this](unsigned status, Reason refusalReason) {
        metrics.countRefusal(refusalReason, Outcome::NotRun);
        return refusalAnswer("", { status, refusalReason, Outcome::NotRun, Millis(0) });
    };
    limitRetainedMemory();
    constexpr size_t descriptorsPerCaller = 2;
    const auto memory = makeMemoryGuard(memorySettingsFor(platform.memoryBytes, platform.maxDescriptors, descriptorsPerCaller), metrics);
    callerServer = std::make_unique<HttpServer>(
        traffic.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return handleRequest(request, responder); }, refuseInvalid);
    auto serveAdmin = [this](const HttpRequest& request, Responder& responder) { return serveReadinessOrMetrics(request, responder); };
    readinessServer = std::make_unique<HttpServer>(traffic.get_executor(), HttpLimits {}, serveAdmin, refuseInvalid);
    auto serveMetrics = [this](const HttpRequest& request, Responder& responder) -> Task<> {
        if (request.path() != explainPath) {
            co_await serveReadinessOrMetrics(request, responder);
            co_return;
        }
        const HttpResponse answer = explainPlacement(request);
        co_await responder.respond(answer);
    };
    metricsServer = std::make_unique<HttpServer>(traffic.get_executor(), HttpLimits {}, serveMetrics, refuseInvalid);
    peerServer = std::make_unique<HttpServer>(
        traffic.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return serveConfiguration(request, responder); }, refuseInvalid);
    feedServer = std::make_unique<HttpServer>(
        controlIo.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return feed->serve(request, responder); },
        [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; });
    for (HttpServer* server : { callerServer.get(), readinessServer.get(), metricsServer.get(), peerServer.get(), feedServer.get() })
        server->setMemory(memory);
    PeerExchange::Hooks hooks;
    hooks.ownStatus = [this] { return ownStatus(); };
    hooks.onStatus = [this](PeerStatus status) { onPeerStatus(std::move(status)); };
    hooks.onFull = [this](const FullReports& reports) { onPeerFull(reports); };
    peers = std::make_unique<PeerExchange>(traffic.get_executor(), std::move(hooks));
    handover = std::make_unique<LeadershipHandover>(InstanceProcess { platform.instance, random() });
    createMapDriver();
    if (!readinessServer->listen(readinessAddress->first, readinessAddress->second)) {
        reason = readinessServer->lastError();
        return false;
    }
    if (settings.metricsPort && !metricsServer->listen(platform.address, settings.metricsPort)) {
        reason = metricsServer->lastError();
        return false;
    }
    if (platform.firstPeerPort && !peerServer->listen(platform.address, platform.firstPeerPort)) {
        reason = peerServer->lastError();
        return false;
    }
    if (platform.firstPeerPort && !feedServer->listen(platform.address, platform.firstPeerPort + detail::feedPortOffset)) {
        reason = feedServer->lastError();
        return false;
    }
    if (platform.firstPeerPort && !peers->start(platform.address + ':' + std::to_string(platform.firstPeerPort))) {
        reason = peers->lastError();
        return false;
    }
    if (!callerServer->listen(callerAddress->first, callerAddress->second)) {
        reason = callerServer->lastError();
        return false;
    }
    return true;
}

void DirectEntry::State::run()
{
    log(LogLevel::Info, "direct entry started", { { "instance", platform.instance }, { "zone", platform.zone }, { "callers", platform.callerAddress }, { "store", platform.storeAddress } });
    awaitStop();
    awaitReload();
    watcher->start();
    asio::co_spawn(controlIo, joinPeers(), asio::detached);
    asio::co_spawn(traffic, tickLoop(), asio::detached);
    controlThread = std::thread([this] { controlIo.run(); });
    traffic.run();
    controlIo.stop();
    controlThread.join();
    plannerThread.join();
    log(LogLevel::Info, "direct entry stopped", { { "instance", platform.instance } });
}

void DirectEntry::State::onSnapshot(DirectorySnapshot updated)
{
    snapshot = std::move(updated);
    const CallerLimits& limits = snapshot.catalog->limits();
    HttpLimits http;
    http.maxHeaderBytes = limits.headerBytes;
    http.maxBodyBytes = limits.bodyBytes;
    // The request to the endpoint.
    http.bodyCopies = 1;
    http.receiveTimeout = limits.headerTimeout;
    http.idleTimeout = limits.idleTimeout;
    callerServer->setLimits(http);
    updateTargets();
    updateDispatcher();
}

void DirectEntry::State::updateDispatcher()
{
    DirectorySnapshot merged = snapshot;
    merged.closedZones.insert(peerClosedZones.begin(), peerClosedZones.end());
    dispatcher->setSnapshot(merged);
    dispatcher->wakeWaiting(Clock::now());
}

void DirectEntry::State::updateTargets()
{
    std::erase_if(targets, [&](const auto& item) {
        if (snapshot.endpoints.contains(item.first))
            return false;
        // A planned end proves nothing against the requests that were lost before it.
        if (item.second->record.leaving)
            crashes.onEnded(item.first, Clock::now());
        else if (!snapshot.unreadable.contains(item.first))
            onEndpointEnded(item.first);
        return true;
    });
    for (const auto& [id, record] : snapshot.endpoints) {
        std::shared_ptr<Target>& target = targets[id];
        const bool isSameProcess = target && target->record.processStartMs == record.processStartMs && target->record.host == record.host && target->record.port == record.port;
        if (isSameProcess) {
            target->record = record;
            continue;
        }
        if (snapshot.catalog->namesService(record.service))
            onEndpointEnded(id);
        target = std::make_shared<Target>();
        target->record = record;
        target->client = std::make_shared<HttpClient>(traffic.get_executor(), record.host, record.port);
        target->orderClient = std::make_shared<HttpClient>(traffic.get_executor(), record.host, record.port);
    }
}

const EngineProfile* DirectEntry::State::expertProfile(const std::string& name) const
{
    const ServiceProfile* service = snapshot.catalog ? snapshot.catalog->findService(name) : nullptr;
    return service && service->engine && service->engine->expertSets ? &*service->engine : nullptr;
}

Task<std::optional<std::vector<EngineAccess>>> DirectEntry::State::listSidecars()
{
    const auto registered = co_await asio::co_spawn(controlIo, registry->list(std::string(sidecarKind)), asio::use_awaitable);
    if (!registered)
        co_return std::nullopt;
    std::vector<EngineAccess> sidecars;
    for (const RegisteredInstance& instance : *registered) {
        const auto address = parseAddress(instance.address);
        if (!address)
            continue;
        auto client = std::make_shared<HttpClient>(traffic.get_executor(), address->first, address->second);
        sidecars.push_back({ instance.name, instance.service, client, Millis(0), true, client });
    }
    co_return sidecars;
}

void DirectEntry::State::createMapDriver()
{
    MapDriver::Hooks hooks;
    hooks.engines = [this] {
        std::vector<EngineAccess> engines;
        for (const auto& [id, target] : targets) {
            const EngineProfile* profile = expertProfile(target->record.service);
            if (profile)
                engines.push_back({ id, target->record.service, target->client, profile->reportLag + detail::reportLagMargin, false, target->orderClient });
        }
        return engines;
    };
    hooks.sidecars = [this] { return listSidecars(); };
    hooks.profile = [this](const std::string& service) { return expertProfile(service); };
    hooks.expectedGapRatio = [this](const std::string& service, const std::string& group, double unevenness) { return dispatcher->expectedGapRatio(service, group, unevenness, Clock::now()); };
    hooks.onRank = [this](const RankObservation& rank) { groupWatch.onRank(rank, Clock::now()); };
    hooks.onMap = [this](const std::string& group, bool isChanging, double unevenness) { groupWatch.onMap(group, isChanging, unevenness); };
    hooks.acquireLeadership = [this] { return acquireMapLeadership(); };
    hooks.isPreferredLeader = [this] { return livePeers.isPreferredLeader(platform.instance, platform.processorShare, Clock::now()); };
    mapDriver = std::make_unique<MapDriver>(traffic.get_executor(), plannerThread.get_executor(), MapDriverSettings {}, std::move(hooks), metrics);
}

void DirectEntry::State::updateSlowness(std::map<std::string, double, std::less<>> updated)
{
    dispatcher->setSlowness(updated, Clock::now());
    if (updated == slowness)
        return;
    slowness = std::move(updated);
    std::string endpoints;
    for (const auto& [endpoint, factor] : slowness)
        endpoints += endpoint + '=' + std::to_string(factor) + ' ';
    log(LogLevel::Info, "slow endpoints changed", { { "endpoints", endpoints } });
}

void DirectEntry::State::updateGroups(TimePoint now)
{
    const bool isLeading = mapDriver->isLeading();
    if (isLeading && !wasLeading)
        groupWatch.startLeading(now);
    wasLeading = isLeading;
    if (isLeading && groupWatch.isReady(now))
        dispatcher->setGroups(groupWatch.reports(now), now);
    if (groupLog.isDue(now))
        groupLog.update(dispatcher->groupViews(now), metrics);
}

Task<std::optional<uint64_t>> DirectEntry::State::acquireMapLeadership()
{
    co_return co_await asio::co_spawn(controlIo, registry->acquireLease("expert-maps", platform.instance), asio::use_awaitable);
}

Task<> DirectEntry::State::serveReadinessOrMetrics(const HttpRequest& request, Responder& responder)
{
    HttpResponse answer { 404, { { "Content-Type", "text/plain" } }, {} };
    if (request.path() == readinessPath) {
        answer.status = isCaughtUp() && !stoppingSince ? 200 : 503;
    } else if (request.path() == "/metrics") {
        answer.status = 200;
        answer.body = metrics.toPrometheusText();
    }
    co_await responder.respond(answer);
}

Task<> DirectEntry::State::tickLoop()
{
    TimePoint lastExpiryTick;
    while (true) {
        co_await sleepFor(detail::tickInterval);
        const TimePoint now = Clock::now();
        updateSlackShare(now);
        updateFeeders(now);
        if (const auto source = catchUp.fetchSource(snapshot.catalog ? snapshot.catalog->version() : 0, now))
            asio::co_spawn(traffic, fetchConfiguration(*source), asio::detached);
        if (auto zones = catchUp.closedZones(now); zones != peerClosedZones) {
            peerClosedZones = std::move(zones);
            updateDispatcher();
        }
        mapDriver->tick(now);
        if (mapDriver->isLeading())
            updateSlowness(mapDriver->slowEndpoints());
        updateGroups(now);
        if (now - lastExpiryTick >= detail::expiryTickInterval) {
            lastExpiryTick = now;
            keeper->send(ExpiryTick {});
        }
        dispatcher->wakeWaiting(now);
    }
}

void DirectEntry::State::awaitStop()
{
    stopSignals.async_wait([this](boost::system::error_code error, int) {
        if (!error)
            shutDown();
    });
}

void DirectEntry::State::awaitReload()
{
    reloadSignals.async_wait([this](boost::system::error_code error, int) {
        if (error)
            return;
        reload();
        awaitReload();
    });
}

void DirectEntry::State::reload()
{
    std::string reason;
    const std::optional<PlatformSettings> read = readPlatformSettings(settings.settingsFile, reason);
    if (!read) {
        log(LogLevel::Error, "reloading the settings failed", { { "reason", reason } });
        return;
    }
    platform.stopGrace = read->stopGrace;
    log(LogLevel::Info, "settings reloaded", { { "instance", platform.instance } });
}

void DirectEntry::State::shutDown()
{
    log(LogLevel::Info, "stopping", { { "instance", platform.instance }, { "inProgress", std::to_string(callerServer->inProgress()) }, { "graceMs", std::to_string(platform.stopGrace.count()) } });
    stoppingSince = Clock::now();
    DrainSettings drainSettings;
    drainSettings.grace = platform.stopGrace;
    drainPlan = DrainPlan(*stoppingSince, drainSettings);
    mapDriver->stop();
    callerServer->closeAfterResponses();
    asio::co_spawn(traffic, drain(), asio::detached);
}

Task<> DirectEntry::State::drain()
{
    co_await sleepFor(std::min(detail::balancerReactionTime, std::chrono::duration_cast<Millis>(drainPlan->answerBy() - *stoppingSince)));
    while (callerServer->inProgress() && Clock::now() < drainPlan->answerBy()) {
        refuseLateJobs();
        co_await sleepFor(detail::drainCheckInterval);
    }
    isClosing = true;
    cutOffJobs();
    // Callers use kept connections until the end; a request of which a part was read still gets its refusal.
    callerServer->stopReading();
    // At least once, since a request may have been read whose handler has not started.
    do
        co_await sleepFor(detail::drainCheckInterval);
    while ((callerServer->inProgress() || callerServer->receiving()) && Clock::now() < drainPlan->closeBy());
    if (const size_t left = callerServer->inProgress())
        log(LogLevel::Warning, "stopped with requests in progress", { { "inProgress", std::to_string(left) } });
    traffic.stop();
}

void DirectEntry::State::refuseLateJobs()
{
    const TimePoint now = Clock::now();
    for (DirectJob* job : jobs) {
        if (!job->queueTimer || job->isCutOff || !refusalForStop(*job, true, now))
            continue;
        job->isCutOff = true;
        job->queueTimer->cancel();
    }
}

void DirectEntry::State::cutOffJobs()
{
    if (!jobs.empty())
        log(LogLevel::Warning, "requests cut off at the end of the grace period", { { "requests", std::to_string(jobs.size()) } });
    metrics.count("orioletrail_requests_cut_off_total", {}, jobs.size());
    for (DirectJob* job : jobs) {
        job->isCutOff = true;
        if (job->queueTimer)
            job->queueTimer->cancel();
        else if (job->cancelToken)
            job->cancelToken->cancel();
    }
}

} // namespace orioletrail
