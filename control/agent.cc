#include "control/agent.h"

#include "gateway/async.h"
#include "membership/peers.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace orioletrail {

namespace detail {

    constexpr Millis idleInterval { 100 };
    constexpr Millis minBackoff { 100 };
    constexpr Millis maxBackoff { 2000 };
    // Added to maxBackoff for each entry, so that the total rate of requests to the platform does not
    // grow with the number of entries.
    constexpr Millis backoffPerInstance { 10 };

} // namespace detail

ConfigAgent::ConfigAgent(boost::asio::any_io_executor executor, AgentSettings settings, Platform platform, std::function<void(const ControlView&)> viewChanged)
    : m_executor(std::move(executor))
    , m_settings(std::move(settings))
    , m_platform(std::move(platform))
    , m_viewChanged(std::move(viewChanged))
    , m_control(m_settings.zone, m_settings.freshness,
          { [this](const ControlView& view) { onView(view); }, [this](const ConfigDelta& changes) { onChangesApplied(changes); } })
{
}

ConfigAgent::~ConfigAgent() = default;

bool ConfigAgent::start()
{
    if (!m_settings.gossipAddress.empty()) {
        m_server = std::make_unique<GossipServer>([this](Message&& message, const GossipServer::Reply& reply) {
            if (auto* request = std::get_if<GossipRequest>(&message))
                onRequest(std::move(*request), reply);
            else
                reply(GossipReply {});
        });
        if (!m_server->listen(m_settings.gossipAddress)) {
            m_lastError = m_server->lastError();
            return false;
        }
        boost::asio::co_spawn(m_executor, gossipLoop(), boost::asio::detached);
    }
    boost::asio::co_spawn(m_executor, watchLoop(), boost::asio::detached);
    return true;
}

void ConfigAgent::stop()
{
    m_stopped = true;
    m_server.reset();
    m_neighbours.clear();
}

bool ConfigAgent::isWatcher() const
{
    return !m_settings.gossipAddress.empty() && watcherRank(*m_view.config, m_settings.name, m_settings.zone) < watchersPerZone;
}

bool ConfigAgent::shouldPollPlatform() const
{
    if (!m_view.config->revision || isWatcher())
        return true;
    // An instance that takes no part in gossip polls only without recent contact to any zone.
    if (m_settings.gossipAddress.empty())
        return !m_view.freshness.hasRecentContact(Clock::now());
    const auto rank = static_cast<Millis::rep>(watcherRank(*m_view.config, m_settings.name, m_settings.zone));
    return m_view.freshness.age(Clock::now()) > m_settings.pollAfter + rank * m_settings.pollDelayPerRank;
}

Task<> ConfigAgent::watchLoop()
{
    Millis backoff = detail::minBackoff;
    while (!m_stopped) {
        Millis pause = detail::idleInterval;
        if (shouldPollPlatform()) {
            const bool watching = isWatcher() && m_view.config->revision;
            const bool answered = co_await pollPlatform(watching ? m_settings.watchWait : Millis(0));
            const Millis backoffLimit = detail::maxBackoff + detail::backoffPerInstance * static_cast<Millis::rep>(m_view.config->instances.size());
            backoff = answered ? detail::minBackoff : std::min(backoff * 2, backoffLimit);
            pause = answered && watching ? Millis(0) : withJitter(backoff);
        }
        co_await sleepFor(pause);
    }
}

Task<bool> ConfigAgent::pollPlatform(Millis wait)
{
    const TimePoint sent = Clock::now();
    const uint64_t since = m_view.config->revision;
    std::optional<ConfigDelta> delta = co_await m_platform.listChanges(std::string(configPrefix), since, wait);
    if (!delta)
        co_return false;
    // A watch without changes was held by the platform for the whole wait, so the configuration was
    // still current at its end.
    const TimePoint currentAsOf = delta->changes.empty() ? std::min(sent + wait, Clock::now()) : sent;
    m_control.submitDelta(std::move(*delta), m_settings.zone, currentAsOf, Millis(0));
    co_return true;
}

Task<> ConfigAgent::gossipLoop()
{
    size_t turn = 0;
    while (!m_stopped) {
        updateNeighbours();
        if (!m_neighbours.empty()) {
            const auto next = std::next(m_neighbours.begin(), static_cast<ptrdiff_t>(turn++ % m_neighbours.size()));
            gossipWith(*next->second, {});
        }
        co_await sleepFor(m_settings.gossipInterval);
    }
}

void ConfigAgent::updateNeighbours()
{
    const ConfigView& config = *m_view.config;
    if (config.revision && config.revision == m_neighboursRevision)
        return;
    m_neighboursRevision = config.revision;
    std::vector<std::string> addresses;
    for (const std::string& name : chooseNeighbours(config, m_settings.name, m_settings.neighbours))
        addresses.push_back(config.instances.find(name)->second.gossip);
    if (addresses.empty())
        addresses = m_settings.peers;
    std::erase_if(m_neighbours, [&](const auto& item) { return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end(); });
    for (const std::string& address : addresses)
        if (!m_neighbours.contains(address) && address != m_settings.gossipAddress)
            m_neighbours.emplace(address, std::make_unique<GossipClient>(address, m_settings.gossipTimeout));
}

void ConfigAgent::gossipWith(GossipClient& peer, const ConfigDelta& changes)
{
    const TimePoint sent = Clock::now();
    const GossipRequest request { m_settings.name, m_settings.zone, m_view.config->revision, changes };
    peer.call(request, [this, sent](std::optional<Message> message) {
        if (!message)
            return;
        if (auto* reply = std::get_if<GossipReply>(&*message))
            m_control.submitDelta(std::move(reply->delta), reply->zone, sent, Millis(reply->ageMs));
    });
}

void ConfigAgent::onRequest(GossipRequest&& request, const GossipServer::Reply& reply)
{
    if (!request.recentChanges.changes.empty())
        m_control.submitDelta(std::move(request.recentChanges), std::move(request.zone), std::nullopt, Millis(0));
    m_control.requestDelta(request.revision, [this, reply](ConfigDelta delta, const ControlView& view) {
        const auto age = static_cast<uint64_t>(view.freshness.age(Clock::now()).count());
        reply(GossipReply { m_settings.name, m_settings.zone, age, std::move(delta) });
    });
}

void ConfigAgent::onView(const ControlView& view)
{
    boost::asio::post(m_executor, [this, view] { m_view = view; });
    m_viewChanged(view);
}

void ConfigAgent::onChangesApplied(const ConfigDelta& changes)
{
    boost::asio::post(m_executor, [this, changes] {
        for (auto& [address, peer] : m_neighbours)
            gossipWith(*peer, changes);
    });
}

} // namespace orioletrail
