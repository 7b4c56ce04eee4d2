#include "rank/leader.h"

#include "telemetry/log.h"
#include "transport/heartbeat.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    constexpr Millis resendInterval { 100 };
    constexpr Millis reconnectDelay { 200 };
    // Versions of the map that are kept for ranks that have not loaded them yet.
    constexpr size_t maxRecentMaps = 3;

    RankTopology topologyOf(const RankSettings& settings)
    {
        return { static_cast<uint32_t>(settings.ranks.size()), settings.slotsPerRank, {}, 1 };
    }

} // namespace detail

LeaderDriver::LeaderDriver(asio::any_io_executor executor, const RankSettings& settings, Platform platform, Metrics& metrics, uint64_t token, Hooks hooks)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_platform(std::move(platform))
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_leader(static_cast<uint32_t>(settings.ranks.size()), token)
    , m_planner(detail::topologyOf(settings), settings.planner)
    , m_members(settings.ranks.size())
{
}

LeaderDriver::~LeaderDriver()
{
    *m_alive = false;
    for (Member& member : m_members)
        if (member.connection)
            member.connection->close("no longer leading");
}

void LeaderDriver::tick(TimePoint now)
{
    for (uint32_t rank = 0; rank < m_members.size(); ++rank) {
        checkMember(m_members[rank], now);
        if (!m_members[rank].connection && !m_members[rank].connecting && now >= m_members[rank].nextConnect)
            connect(rank, now);
    }
    advancePhase(now);
    planIfDue(now);
    if (now >= m_nextSend)
        sendPending(now);
}

void LeaderDriver::checkMember(Member& member, TimePoint now)
{
    if (member.connection && now - member.connection->lastReceived() > idleHeartbeatInterval + heartbeatTimeout) {
        m_metrics.count("orioletrail_silent_connections_total");
        const auto silent = member.connection;
        silent->close("silent");
    }
    if (member.connection && now - member.lastPing >= heartbeatInterval) {
        member.lastPing = now;
        member.connection->send(Ping {});
    }
}

void LeaderDriver::connect(uint32_t rank, TimePoint now)
{
    const auto address = parseAddress(m_settings.ranks[rank]);
    m_members[rank].connecting = true;
    m_members[rank].nextConnect = now + detail::reconnectDelay;
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->first), address->second);
    socket->async_connect(endpoint, [this, rank, socket, alive = m_alive](boost::system::error_code error) {
        if (!*alive)
            return;
        Member& member = m_members[rank];
        member.connecting = false;
        if (error)
            return;
        member.connection = std::make_shared<Connection>(std::move(*socket));
        member.connection->start({ [this, alive](Message&& message) {
                                      if (auto* group = std::get_if<GroupMessage>(&message); group && *alive)
                                          receive(std::move(*group));
                                  },
            [this, rank, alive](std::string_view) {
                if (*alive)
                    m_members[rank].connection = nullptr;
            } });
        member.connection->send(GroupHello { m_settings.group, rank });
    });
}

void LeaderDriver::receive(GroupMessage&& message)
{
    const LeaderPhase before = m_leader.phase();
    m_leader.receive(message);
    if (m_leader.phase() == before)
        return;
    if (before == LeaderPhase::Running && m_leader.phase() == LeaderPhase::Ready)
        m_metrics.count("orioletrail_group_steps_total");
    advancePhase(Clock::now());
    sendPending(Clock::now());
}

void LeaderDriver::sendPending(TimePoint now)
{
    m_nextSend = now + detail::resendInterval;
    for (GroupMessage& message : m_leader.messages()) {
        Member& member = m_members[message.rank];
        if (!member.connection)
            continue;
        if (message.kind == GroupMessageKind::Prepare) {
            const auto map = m_recentMaps.find(message.version);
            if (map == m_recentMaps.end())
                continue;
            message.map = map->second;
        }
        member.connection->send(std::move(message));
    }
}

void LeaderDriver::advancePhase(TimePoint now)
{
    if (m_leader.phase() != m_lastPhase) {
        m_lastPhase = m_leader.phase();
        m_phaseSince = now;
    }
    const bool stepping = m_lastPhase == LeaderPhase::Proposing || m_lastPhase == LeaderPhase::Running;
    if (stepping && now - m_phaseSince > m_settings.stepTimeout) {
        m_metrics.count("orioletrail_group_steps_given_up_total");
        log(LogLevel::Warning, "step timed out", { { "group", m_settings.group }, { "token", std::to_string(m_leader.step().token) }, { "step", std::to_string(m_leader.step().number) } });
        m_leader.abandonStep();
        m_lastPhase = m_leader.phase();
        m_phaseSince = now;
    }
    if (m_leader.preparing() && now - m_prepareSince > m_settings.prepareTimeout) {
        m_metrics.count("orioletrail_group_preparations_given_up_total");
        m_leader.abandonPrepare();
    }
    if (m_leader.phase() == LeaderPhase::Ready && m_leader.startStep()) {
        m_lastPhase = m_leader.phase();
        m_phaseSince = now;
    }
}

void LeaderDriver::planIfDue(TimePoint now)
{
    if (m_planning || now < m_nextPlan)
        return;
    m_nextPlan = now + m_settings.planInterval;
    m_planning = true;
    auto run = [this, alive = m_alive]() -> Task<> {
        if (!m_restored)
            co_await restore();
        else
            co_await plan();
        if (*alive)
            m_planning = false;
    };
    asio::co_spawn(m_executor, std::move(run), asio::detached);
}

// Adopting the stored map lets a rank that was replaced, and so lost its map, load it again.
Task<> LeaderDriver::restore()
{
    const std::shared_ptr<bool> alive = m_alive;
    const PlatformReply reply = co_await m_platform.get("map/" + m_settings.group);
    if (!*alive || (reply.status != PlatformStatus::Ok && reply.status != PlatformStatus::NotFound))
        co_return;
    m_restored = true;
    m_nextPlan = Clock::now();
    if (reply.status == PlatformStatus::NotFound)
        co_return;
    std::string reason;
    const std::optional<StoredMap> map = parseMap(reply.value, reason);
    if (!map) {
        log(LogLevel::Error, "stored map is malformed", { { "group", m_settings.group }, { "reason", reason } });
        co_return;
    }
    m_latestVersion = map->version;
    m_mapRevision = reply.revision;
    m_recentMaps[map->version] = reply.value;
    m_planner.adopt(map->layers);
    if (m_leader.inForce() != map->version) {
        m_leader.prepare(map->version);
        m_prepareSince = Clock::now();
    }
}

Task<> LeaderDriver::plan()
{
    const std::shared_ptr<bool> alive = m_alive;
    const auto counts = co_await m_hooks.counts();
    if (!*alive || m_leader.preparing() || isSuperseded())
        co_return;
    if (!counts) {
        m_metrics.count("orioletrail_group_counts_unusable_total");
        log(LogLevel::Warning, "no usable token counts from the engine", { { "group", m_settings.group } });
        co_return;
    }
    m_planner.setFrozen(m_hooks.isFrozen());
    std::string reason;
    std::optional<Plan> planned = m_planner.plan(*counts, reason);
    if (!planned) {
        log(LogLevel::Error, "no feasible expert map", { { "group", m_settings.group }, { "reason", reason } });
        co_return;
    }
    m_metrics.count("orioletrail_group_plans_total", "reason=\"" + std::string(planReasonName(planned->reason)) + "\"");
    if (m_latestVersion && (planned->reason == PlanReason::Balanced || planned->reason == PlanReason::Frozen))
        co_return;
    StoredMap map { m_latestVersion + 1, std::string(planReasonName(planned->reason)), std::move(planned->layers) };
    const uint64_t version = map.version;
    if (!co_await publish(std::move(map)) || !*alive)
        co_return;
    m_leader.prepare(version);
    m_prepareSince = Clock::now();
}

Task<bool> LeaderDriver::publish(StoredMap map)
{
    const std::shared_ptr<bool> alive = m_alive;
    PutRequest put { "map/" + m_settings.group, toJson(map), m_mapRevision };
    PlatformReply reply = co_await m_platform.put(put);
    if (!*alive)
        co_return false;
    if (reply.status == PlatformStatus::Unknown) {
        // The write has succeeded only if the object now holds this value.
        const PlatformReply found = co_await m_platform.get(put.key);
        if (!*alive)
            co_return false;
        if (found.status == PlatformStatus::Ok && found.value == put.value)
            reply = { PlatformStatus::Ok, found.revision, {} };
    }
    if (reply.status != PlatformStatus::Ok) {
        // The version may exist, stored by this or another leader, so the object is read again
        // before the next plan.
        m_restored = false;
        co_return false;
    }
    m_mapRevision = reply.revision;
    m_latestVersion = map.version;
    m_recentMaps[map.version] = std::move(put.value);
    while (m_recentMaps.size() > detail::maxRecentMaps)
        m_recentMaps.erase(m_recentMaps.begin());
    co_return true;
}

} // namespace orioletrail
