#include "entry/entry.h"

#include "entry/state.h"
#include "gateway/async.h"
#include "membership/peers.h"
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
    // Credits asked of one sidecar beyond those held.
    constexpr uint32_t mostWanted = 16;

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

Entry::State::State(EntrySettings given)
    : settings(std::move(given))
    , startNumber(std::random_device {}() | static_cast<uint64_t>(std::random_device {}()) << 32)
{
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
    agentSettings.gossip = settings.gossip;
    agentSettings.peers = settings.peers;
    agentSettings.freshness = settings.freshness;
    platform = makeHttpPlatform(controlIo.get_executor(), platformHost, platformPort, settings.platformTimeout, metrics);
    agent = std::make_unique<Agent>(controlIo.get_executor(), agentSettings, platform, [this](const ControlView& latest) {
        asio::post(traffic, [this, latest] { onView(latest); });
        asio::post(controlIo, [this, latest] { controlView = latest; });
    });
    auto refuseBroken = [this](unsigned status, Reason reason) {
        metrics.countRefusal(reason, Outcome::NotRun);
        return refusalAnswer("", { status, reason, Outcome::NotRun, {} });
    };
    server = std::make_unique<HttpServer>(
        traffic.get_executor(), settings.http, [this](const HttpRequest& request, Responder& responder) { return handle(request, responder); }, refuseBroken);
    admin = std::make_unique<HttpServer>(
        controlIo.get_executor(), HttpLimits {}, [this](const HttpRequest& request, Responder& responder) { return serveAdmin(request, responder); }, refuseBroken);
    if (!admin->listen(adminHost, adminPort)) {
        reason = "--admin: " + admin->lastError();
        return false;
    }
    if (!server->listen(listenHost, listenPort)) {
        reason = "--listen: " + server->lastError();
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
    asio::co_spawn(traffic, tickLoop(), asio::detached);
    controlThread = std::thread([this] { controlIo.run(); });
    traffic.run();
    controlIo.stop();
    controlThread.join();
    agent->stop();
    log(LogLevel::Info, "entry stopped", { { "instance", settings.name } });
}

void Entry::State::onView(const ControlView& latest)
{
    const bool changed = latest.config->revision != view.config->revision;
    view = latest;
    if (!changed)
        return;
    updateLinks();
    for (const auto& [name, link] : links)
        if (link->isOpen() && link->peerRevision() < view.config->revision)
            sendConfigTo(name, link->peerRevision());
}

void Entry::State::updateLinks()
{
    const std::vector<std::string> wanted = chooseSubset(*view.config, settings.name, settings.subset);
    std::erase_if(links, [&](const auto& item) {
        const auto endpoint = view.config->endpoints.find(item.first);
        const bool kept = endpoint != view.config->endpoints.end() && endpoint->second.sidecar == item.second->address();
        // A link with attempts in progress is kept until they have ended.
        return !kept && !item.second->inFlight();
    });
    for (const std::string& name : wanted) {
        if (links.contains(name))
            continue;
        Link::Hooks hooks;
        hooks.changed = [this] { creditWake.cancel(); };
        hooks.behind = [this, name](uint64_t since) { sendConfigTo(name, since); };
        hooks.delta = [this](ConfigDelta&& delta) { agent->control().offer(std::move(delta), "", std::nullopt, Millis(0)); };
        hooks.proof = [this, name](std::string_view, const Ping& ping, const HeartbeatProof& proof) {
            const auto endpoint = view.config->endpoints.find(name);
            if (endpoint != view.config->endpoints.end())
                agent->control().offer(ConfigDelta { 0, ping.revision, {} }, endpoint->second.zone, proof.asked, proof.age);
        };
        hooks.revisionAndAge = [this] { return std::pair(view.config->revision, view.freshness.age(Clock::now())); };
        hooks.count = [this](std::string_view event) { metrics.count(event); };
        links.emplace(name, std::make_shared<Link>(traffic.get_executor(), Link::Identity { startNumber, settings.name, settings.zone }, name, view.config->endpoints.find(name)->second.sidecar, std::move(hooks)));
    }
}

void Entry::State::sendConfigTo(const std::string& endpoint, uint64_t since)
{
    agent->control().ask(since, [this, endpoint](const ConfigDelta& delta, const ControlView&) {
        asio::post(traffic, [this, endpoint, delta] {
            const auto link = links.find(endpoint);
            if (link == links.end())
                return;
            link->second->setPeerRevision(delta.to);
            link->second->send(delta);
        });
    });
}

uint32_t Entry::State::capacityOf(std::string_view service) const
{
    uint32_t capacity = 0;
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        if (endpoint != view.config->endpoints.end() && endpoint->second.service == service && link->isOpen())
            capacity += link->credits() + link->inFlight();
    }
    return capacity;
}

void Entry::State::updateWants()
{
    for (const auto& [name, link] : links) {
        const auto endpoint = view.config->endpoints.find(name);
        if (endpoint == view.config->endpoints.end() || !link->isOpen())
            continue;
        const auto queued = waiting.find(endpoint->second.service);
        link->want(queued == waiting.end() ? 0 : std::min(queued->second, detail::mostWanted));
    }
}

void Entry::State::updateGauges(TimePoint now, size_t openLinks)
{
    if (now < nextGauges)
        return;
    nextGauges = now + detail::gaugeInterval;
    metrics.set("orioletrail_links_open", static_cast<double>(openLinks));
    metrics.set("orioletrail_in_progress", static_cast<double>(server->inProgress()));
    metrics.set("orioletrail_config_revision", static_cast<double>(view.config->revision));
    metrics.set("orioletrail_config_age_ms", static_cast<double>(view.freshness.age(now).count()));
    std::map<std::string, uint64_t> revisions;
    for (const auto& [name, link] : links)
        revisions[name] = link->isConnected() ? link->peerRevision() : 0;
    asio::post(controlIo, [this, copy = std::move(revisions)]() mutable { sidecarRevisions = std::move(copy); });
}

Task<> Entry::State::tickLoop()
{
    while (true) {
        co_await sleepFor(detail::tickInterval);
        const TimePoint now = Clock::now();
        size_t open = 0;
        for (const auto& [name, link] : links) {
            link->tick(now);
            open += link->isOpen() ? 1 : 0;
        }
        updateWants();
        ready = view.mayAct(now) && open;
        updateGauges(now, open);
    }
}

void Entry::State::shutDown()
{
    log(LogLevel::Info, "entry shutting down", { { "inProgress", std::to_string(server->inProgress()) } });
    stopping = true;
    asio::co_spawn(traffic, drain(), asio::detached);
}

Task<> Entry::State::drain()
{
    co_await sleepFor(settings.drainGrace);
    server->stopAccepting();
    const TimePoint limit = Clock::now() + settings.drainTimeout;
    while (server->inProgress() && Clock::now() < limit)
        co_await sleepFor(detail::tickInterval);
    // Acknowledgements of the last frames leave before the process does.
    co_await sleepFor(detail::tickInterval);
    traffic.stop();
}

} // namespace orioletrail
