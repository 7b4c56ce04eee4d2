// What an entry tells the other entries and learns from them.
#include "direct/state.h"
#include "gateway/async.h"
#include "platform/decode.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr std::string_view configurationPath = "/configuration";
    constexpr Millis fetchTimeout { 500 };
    constexpr Millis registryRetryDelay { 400 };
    // Escapes may double what the store's object takes.
    constexpr size_t maxConfigurationBytes = size_t { 2 } << 20;

} // namespace detail

Task<> DirectEntry::State::joinPeers()
{
    if (!platform.firstPeerPort) {
        asio::post(traffic, [this] { catchUp.onJoined({}, Clock::now()); });
        co_return;
    }
    const std::string address = platform.address + ':' + std::to_string(platform.firstPeerPort);
    RegisteredInstance self { platform.instance, address, {} };
    const bool isNew = co_await registry->add(std::string(entryKind), std::move(self));
    auto entries = co_await registry->list(std::string(entryKind));
    while (!entries) {
        co_await sleepFor(withJitter(detail::registryRetryDelay));
        entries = co_await registry->list(std::string(entryKind));
    }
    asio::post(traffic, [this, isNew, entries = std::move(*entries)] {
        addPeers(entries);
        const TimePoint now = Clock::now();
        std::set<std::string, std::less<>> others;
        for (const RegisteredInstance& entry : entries)
            if (entry.name != platform.instance)
                others.insert(entry.name);
        catchUp.onJoined(std::move(others), now);
        slackShare.onRegistered(isNew, now);
        updateSlackShare(now);
    });
}

Task<> DirectEntry::State::rejoinPeers()
{
    if (!platform.firstPeerPort)
        co_return;
    const std::string address = platform.address + ':' + std::to_string(platform.firstPeerPort);
    RegisteredInstance self { platform.instance, address, {} };
    co_await registry->add(std::string(entryKind), std::move(self));
    auto entries = co_await registry->list(std::string(entryKind));
    if (entries)
        asio::post(traffic, [this, entries = std::move(*entries)] { addPeers(entries); });
}

void DirectEntry::State::addPeers(std::span<const RegisteredInstance> entries)
{
    for (const RegisteredInstance& entry : entries) {
        addKnownInstance(entry.name);
        peers->addPeer(entry.address);
    }
}

void DirectEntry::State::addKnownInstance(std::string_view name)
{
    slackShare.onInstance(name);
    dispatcher->addInstance(name);
    dispatcher->setKnownInstances(slackShare.instanceCount());
}

void DirectEntry::State::updateSlackShare(TimePoint now)
{
    const double share = slackShare.share(now);
    if (share == currentSlackShare)
        return;
    currentSlackShare = share;
    retries.setExtra(share);
    log(LogLevel::Info, "retry slack shared", { { "instances", std::to_string(slackShare.instanceCount()) }, { "share", std::to_string(share) }, { "slack", std::to_string(platform.retrySlack) } });
}

bool DirectEntry::State::isCaughtUp()
{
    return snapshot.catalog && catchUp.isReady(snapshot.catalog->version(), Clock::now());
}

Task<> DirectEntry::State::serveConfiguration(const HttpRequest& request, Responder& responder)
{
    HttpResponse answer { 404, { { "Content-Type", "text/plain" } }, {} };
    if (request.path() == detail::configurationPath && snapshot.catalog && !snapshot.catalog->source().empty())
        answer = { 200, { { "Content-Type", "application/json" } }, std::string(snapshot.catalog->source()) };
    co_await responder.respond(answer);
}

Task<> DirectEntry::State::fetchConfiguration(std::string address)
{
    const auto parsed = parseAddress(address);
    HttpResult result;
    if (parsed) {
        HttpClient client(traffic.get_executor(), parsed->first, parsed->second);
        HttpCall call;
        call.request = HttpRequest { "GET", std::string(detail::configurationPath), { { "Host", address } }, {} };
        call.timeout = detail::fetchTimeout;
        call.connectTimeout = detail::fetchTimeout;
        call.maxBodyBytes = detail::maxConfigurationBytes;
        result = co_await client.call(std::move(call));
    }
    catchUp.onFetched();
    boost::system::error_code error;
    const boost::json::value content = boost::json::parse(result.ok() && result.status == 200 ? result.body : "", error);
    std::string reason = "no answer";
    std::optional<Catalog> catalog = error ? std::nullopt : decodeCatalog(content, reason);
    log(catalog ? LogLevel::Info : LogLevel::Warning, "configuration fetched from another entry", { { "address", address }, { "version", std::to_string(catalog ? catalog->version() : 0) }, { "reason", catalog ? "" : reason } });
    metrics.count("orioletrail_configuration_fetches_total", catalog ? "result=\"ok\"" : "result=\"failed\"");
    if (catalog)
        keeper->send(CatalogUpdate { std::make_shared<const Catalog>(std::move(*catalog)) });
}

void DirectEntry::State::onPeerProgress(const PeerStatus& status)
{
    const auto address = parseAddress(status.address);
    if (address)
        feeders->onPeer(status.sender.instance, status.zone, address->first + ':' + std::to_string(address->second + detail::feedPortOffset), status.processorShare, status.stopping, Clock::now());
    StoreProgress highest = peerProgress;
    if (status.progress.era > highest.era)
        highest = { status.progress.era, {} };
    for (size_t kind = 0; status.progress.era == highest.era && kind < highest.changes.size(); ++kind)
        highest.changes[kind] = std::max(highest.changes[kind], status.progress.changes[kind]);
    if (highest == peerProgress)
        return;
    peerProgress = highest;
    asio::post(controlIo, [this, highest] { watcher->onPeerProgress(highest); });
}

void DirectEntry::State::updateFeeders(TimePoint now)
{
    if (!platform.firstPeerPort || !catchUp.hasWaitedForPeers(now))
        return;
    std::vector<std::string> sources = feeders->sources(now);
    if (hasFeeders && sources == currentFeeders)
        return;
    hasFeeders = true;
    currentFeeders = sources;
    asio::post(controlIo, [this, sources = std::move(sources)] { watcher->setFeeders(sources); });
}

PeerStatus DirectEntry::State::ownStatus()
{
    PeerStatus status;
    status.sender = handover->self();
    status.address = platform.address + ':' + std::to_string(platform.firstPeerPort);
    status.inFlight = dispatcher->loads().ownCounts();
    status.configuration = isCaughtUp() ? snapshot.catalog->version() : 0;
    status.closedZones = snapshot.closedZones;
    status.limits = dispatcher->namedLimits(Clock::now());
    status.sent = dispatcher->sentAges(Clock::now());
    status.outages = dispatcher->outageReports(Clock::now());
    status.full = dispatcher->fullReports(Clock::now());
    status.poison = poison.report(Clock::now());
    status.crashes = crashParts.report(Clock::now());
    status.zone = platform.zone;
    status.progress = storeProgress;
    status.processorShare = platform.processorShare;
    status.leading = mapDriver->isLeading();
    status.stopping = stoppingSince.has_value();
    status.changingMap = mapDriver->isChanging();
    if (status.leading) {
        status.slowness = mapDriver->slowEndpoints();
        status.groups = groupWatch.due(Clock::now());
    }
    if (mapDriver->releasedLeadership())
        status.offer = handover->offer(*mapDriver->releasedLeadership(), [this] { return livePeers.nextLeader(Clock::now()); });
    return status;
}

void DirectEntry::State::onPeerFull(const FullReports& reports)
{
    const size_t news = dispatcher->onPeerFull(reports, Clock::now());
    if (!news)
        return;
    metrics.count("orioletrail_full_endpoints_total", "source=\"peer\"", news);
    if (isLogged(LogLevel::Debug))
        log(LogLevel::Debug, "full endpoints reported", { { "endpoints", std::to_string(news) } });
}

void DirectEntry::State::tellFull()
{
    if (peers->tellFull(dispatcher->takeFullNews(Clock::now())))
        metrics.count("orioletrail_full_messages_total");
}

void DirectEntry::State::onRejected(const Target& target, const EndpointHead& head)
{
    const std::string& endpoint = target.record.id;
    const bool isOwnFault = head.failedEndpoint.empty() || head.failedEndpoint == target.record.host + ':' + std::to_string(target.record.port);
    // Endpoints reject for other reasons too: a pause, a limit in requests per second, another endpoint's failure,
    // or another one that was meant. Only one that states that its slots are taken is full.
    const bool isFull = head.load && head.load->running + head.load->waiting >= head.load->slots;
    if (!head.notRun || head.wrongEndpoint || head.isLeaving || head.pause > Millis(0) || head.requestsPerSecond > 0 || !isOwnFault || !isFull)
        return;
    const uint32_t load = head.load->running + head.load->waiting;
    const bool isNews = dispatcher->onRejected(endpoint, load, Clock::now());
    metrics.count("orioletrail_full_endpoints_total", "source=\"own\"");
    log(LogLevel::Info, "endpoint is full", { { "endpoint", endpoint }, { "load", std::to_string(load) }, { "isNews", isNews ? "true" : "false" }, { "fullEndpoints", std::to_string(dispatcher->fullEndpoints(Clock::now())) } });
    tellFull();
}

void DirectEntry::State::onPeerStatus(PeerStatus status)
{
    livePeers.onStatus(status.sender, status.stopping, status.processorShare, Clock::now());
    onPeerProgress(status);
    trials.onInstance(status.sender.instance, Clock::now());
    addKnownInstance(status.sender.instance);
    catchUp.onPeer(status.sender.instance, status.address, status.configuration, std::move(status.closedZones), Clock::now());
    if (status.leading) {
        mapDriver->onLeaderHeard(status.changingMap, Clock::now());
        updateSlowness(std::move(status.slowness));
        dispatcher->setGroups(std::move(status.groups), Clock::now());
    }
    if (dispatcher->onPeerRates(status.sender.instance, status.limits, status.sent, Clock::now())) {
        metrics.count("orioletrail_endpoint_limits_total", "event=\"reported\"");
        log(LogLevel::Info, "limits of endpoints changed by report", { { "peer", status.sender.instance }, { "limits", std::to_string(status.limits.size()) } });
    }
    dispatcher->onPeerOutages(status.sender.instance, status.outages, Clock::now());
    for (const PoisonEvidence& evidence : status.poison) {
        if (!poison.merge(evidence, Clock::now()))
            continue;
        metrics.count("orioletrail_request_deaths_total", "source=\"peer\"");
        log(LogLevel::Warning, "deaths of a request reported", { { "digest", evidence.digest }, { "peer", status.sender.instance }, { "deaths", std::to_string(poison.deathCount(evidence.digest)) } });
    }
    crashParts.merge(status.crashes, Clock::now());
    const std::optional<MapLeadership> accepted = status.offer ? handover->accept(*status.offer) : std::nullopt;
    if (accepted)
        mapDriver->takeOver(*accepted);
    dispatcher->loads().onPeerCounts(status.sender.instance, std::move(status.inFlight), Clock::now());
    onPeerFull(status.full);
    dispatcher->wakeWaiting(Clock::now());
}

} // namespace orioletrail
