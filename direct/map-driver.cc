#include "direct/map-driver.h"

#include "gateway/async.h"
#include "telemetry/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // An instance that is not the preferred leader waits this many times longer before it tries to lead.
    constexpr int nonPreferredDelayFactor = 3;
    // Minimum time between two rounds of direct requests for reports to all engines.
    constexpr Millis directReportInterval { 1000 };
    // A sidecar is considered silent after this time without a report through it.
    constexpr Millis sidecarTimeout { 1500 };
    // The same during a change, when the group may be held and wait for this rank: a few missed reports.
    constexpr Millis sidecarTimeoutDuringChange { 300 };
    // Time between two listings of the registered sidecars, while some ranks do not report through one.
    constexpr Millis sidecarListInterval { 2000 };
    constexpr Millis maxConnectionIdle { 4000 };
    // Of a report or of the answer to an order; the counts of a large group are the longest.
    constexpr size_t maxReportBytes = size_t { 256 } << 10;
    // The leader resigns when fewer numbers than this are left, so that they do not run out during a
    // change.
    constexpr uint64_t minNumbersLeft = 1000;
    // Endpoints that are slower than usual by more than this factor are reported as slow.
    constexpr double slownessThreshold = 1.2;
    // Groups beyond these are ignored: reports come from other processes.
    constexpr size_t maxGroups = 64;
    // An engine is silent after two missed reports.
    constexpr Millis silentAfter { 1000 };

    // A held group waits for every rank, so the orders that hold it and let it go are sent directly: a
    // sidecar that fails must not block the group. A rank whose whole machine is frozen cannot be
    // reached either way. All other orders go through sidecars, which is cheaper.
    bool bypassesSidecar(MapOrderKind kind)
    {
        return kind == MapOrderKind::Hold || kind == MapOrderKind::Arm || kind == MapOrderKind::Go;
    }

    // Scales the counts of each set to a sum of 1, so that readings over intervals of different length
    // are comparable.
    void normalizeSets(ExpertCounts& counts)
    {
        for (auto& set : counts) {
            const double total = std::accumulate(set.begin(), set.end(), 0.0);
            if (total > 0)
                for (double& count : set)
                    count /= total;
        }
    }

    // Sidecars report for a rank, and do not name the endpoint as the directory does.
    RankObservation observationOf(const EngineAccess& engine, const EngineStatus& status)
    {
        RankObservation observation { status.group, engine.service, status.groupSize, status.rank.rank, status.rank.epoch, status.rank.open, status.rank.held.has_value() };
        if (!engine.isSidecar) {
            observation.endpoint = engine.name;
            observation.processStartMs = status.processStartMs;
        }
        return observation;
    }

    // True if there is no set, or a set without counts.
    bool hasEmptySet(const ExpertCounts& counts)
    {
        for (const auto& set : counts)
            if (std::accumulate(set.begin(), set.end(), 0.0) <= 0)
                return true;
        return counts.empty();
    }

    Task<std::optional<MapProposal>> propose(const MapPlanInput& input)
    {
        co_return proposeMap(input.map, input.expected, input.slowness, input.limits, input.copyTime, input.settings);
    }

} // namespace detail

MapDriver::MapDriver(asio::any_io_executor executor, asio::any_io_executor planner, const MapDriverSettings& settings, Hooks hooks, Metrics& metrics)
    : m_executor(std::move(executor))
    , m_planner(std::move(planner))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
{
}

void MapDriver::tick(TimePoint now)
{
    if (!m_leadership) {
        const Millis silence = m_isLeaderChanging ? m_settings.leaderTimeoutDuringChange : m_settings.leaderTimeout;
        const Millis timeout = m_hooks.isPreferredLeader() ? silence : detail::nonPreferredDelayFactor * silence;
        if (m_isAcquiring || m_isStopping || now - m_leaderHeardAt < timeout || m_hooks.engines().empty())
            return;
        m_isAcquiring = true;
        asio::co_spawn(m_executor, acquireLeadership(), asio::detached);
        return;
    }
    if (now - m_lastReportAt > m_settings.reportTimeout) {
        resign("no engine has sent a report recently");
        return;
    }
    requestReports(now);
    bool allReady = true;
    const auto groups = m_groups;
    for (const auto& [name, group] : groups) {
        sendDueOrders(group);
        MapLeader& leader = group->leader;
        if (leader.phase() == MapPhase::Idle) {
            resign(leader.lastReason());
            return;
        }
        allReady = allReady && leader.phase() == MapPhase::Ready;
        if (leader.phase() == MapPhase::Ready && leader.lastUsedNumber() + detail::minNumbersLeft > m_leadership->end) {
            resign("the numbers for fences and versions are used up");
            return;
        }
        const Millis interval = reportsThroughSidecars(*group, now) ? m_settings.countInterval : m_settings.directCountInterval;
        if (!group->isReading && now - group->lastReadingAt >= interval) {
            group->isReading = true;
            group->lastReadingAt = now;
            asio::co_spawn(m_executor, readAndPlan(group), asio::detached);
        }
    }
    if (m_isStopping && allReady) {
        m_releasedLeadership = MapLeadership { lastUsedNumber(), m_leadership->end };
        resign("stopping");
    }
}

void MapDriver::sendDueOrders(const GroupPtr& group)
{
    const TimePoint now = Clock::now();
    MapLeader& leader = group->leader;
    for (MapOrder& order : leader.orders(now)) {
        if (order.kind == MapOrderKind::Prepare && group->preparing >= m_settings.maxPreparing) {
            leader.postpone(order);
            continue;
        }
        const auto direct = group->directAccess.find(order.rank);
        const bool isSentDirectly = detail::bypassesSidecar(order.kind) && group->directEpoch == leader.epoch() && direct != group->directAccess.end();
        const EngineAccess* access = isSentDirectly ? &direct->second : accessTo(*group, order.rank, now);
        if (!access) {
            leader.onAnswer(order, OrderAnswer::Unknown, now);
            continue;
        }
        if (order.kind == MapOrderKind::Prepare && direct != group->directAccess.end())
            openOrderConnections(direct->second, order.rank);
        group->preparing += order.kind == MapOrderKind::Prepare;
        asio::co_spawn(m_executor, sendOrder(group, *access, std::move(order)), asio::detached);
    }
    if (leader.phase() == group->loggedPhase)
        return;
    group->loggedPhase = leader.phase();
    reportMap(*group);
    log(LogLevel::Info, "expert map phase changed", { { "phase", std::string(mapPhaseName(leader.phase())) }, { "service", group->service }, { "epoch", std::to_string(leader.epoch()) }, { "version", std::to_string(leader.version()) }, { "fence", std::to_string(leader.fence()) }, { "reason", leader.lastReason() } });
    if (leader.phase() == MapPhase::Ready)
        planChange(group);
}

void MapDriver::reportMap(const Group& group) const
{
    if (m_hooks.onMap)
        m_hooks.onMap(group.name, group.leader.phase() >= MapPhase::Preparing, group.unevenness);
}

void MapDriver::openOrderConnections(const EngineAccess& engine, uint32_t rank)
{
    // The first rank is also ordered to hold the group and to let it go.
    const size_t count = rank ? 1 : 3;
    for (size_t i = 0; i < count; ++i) {
        auto open = [](std::shared_ptr<HttpClient> client, Millis timeout) -> Task<> { co_await client->isListening(timeout); };
        asio::co_spawn(m_executor, open(engine.orderClient, m_settings.readTimeout), asio::detached);
    }
}

Task<> MapDriver::acquireLeadership()
{
    const std::optional<uint64_t> number = co_await m_hooks.acquireLeadership();
    m_isAcquiring = false;
    const TimePoint now = Clock::now();
    // Also delays the next attempt if this one failed.
    m_leaderHeardAt = now;
    m_isLeaderChanging = false;
    if (!number || m_isStopping)
        co_return;
    startLeading({ *number * m_settings.numbersPerLeadership, (*number + 1) * m_settings.numbersPerLeadership });
}

void MapDriver::takeOver(const MapLeadership& leadership)
{
    if (m_leadership || m_isStopping || leadership.base + detail::minNumbersLeft > leadership.end)
        return;
    startLeading(leadership);
}

uint64_t MapDriver::lastUsedNumber() const
{
    uint64_t last = m_leadership ? m_leadership->base : 0;
    for (const auto& [name, group] : m_groups)
        last = std::max(last, group->leader.lastUsedNumber());
    return last;
}

void MapDriver::startLeading(const MapLeadership& leadership)
{
    m_leadership = leadership;
    const TimePoint now = Clock::now();
    m_lastReportAt = now;
    m_groups.clear();
    m_metrics.count("orioletrail_map_leads_total");
    log(LogLevel::Info, "now leading the expert maps", { { "base", std::to_string(leadership.base) } });
}

void MapDriver::resign(std::string_view reason)
{
    log(LogLevel::Info, "no longer leading the expert maps", { { "reason", std::string(reason) } });
    m_leadership.reset();
    m_groups.clear();
    m_leaderHeardAt = Clock::now();
    m_isLeaderChanging = false;
}

void MapDriver::onLeaderHeard(bool isChanging, TimePoint now)
{
    m_leaderHeardAt = now;
    m_isLeaderChanging = isChanging;
}

bool MapDriver::isChanging() const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](const auto& group) { return group.second->leader.phase() >= MapPhase::Preparing; });
}

Task<> MapDriver::refreshSidecars()
{
    std::optional<std::vector<EngineAccess>> found = co_await m_hooks.sidecars();
    m_isListingSidecars = false;
    m_sidecarsListedAt = Clock::now();
    if (found)
        m_sidecars = std::move(*found);
}

bool MapDriver::reportsThroughSidecars(const Group& group, TimePoint now) const
{
    return group.ranks.size() == group.leader.ranks() && std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto& rank) {
        return rank.second.engine.isSidecar && now - rank.second.reportedAt < detail::sidecarTimeout;
    });
}

void MapDriver::requestReports(TimePoint now)
{
    // Even if all ranks report through sidecars, engines are asked directly once per epoch, so that the
    // direct access to each rank is known.
    const bool allThroughSidecars = !m_groups.empty() && std::all_of(m_groups.begin(), m_groups.end(), [&](const auto& item) {
        const Group& group = *item.second;
        return reportsThroughSidecars(group, now) && group.directAccess.size() == group.leader.ranks() && group.directEpoch == group.leader.epoch();
    });
    if (!allThroughSidecars && !m_isListingSidecars && now - m_sidecarsListedAt >= detail::sidecarListInterval) {
        m_isListingSidecars = true;
        asio::co_spawn(m_executor, refreshSidecars(), asio::detached);
    }
    const bool reportsDue = std::any_of(m_groups.begin(), m_groups.end(), [&](const auto& group) { return group.second->leader.needsReports(now); });
    const bool askDirectly = !allThroughSidecars && now - m_directReportsAt >= detail::directReportInterval;
    if (!reportsDue && !askDirectly)
        return;
    for (const auto& [name, group] : m_groups)
        group->leader.onReportsRequested(now);
    for (const EngineAccess& sidecar : m_sidecars)
        requestReport(sidecar);
    if (askDirectly) {
        m_directReportsAt = now;
        for (const EngineAccess& engine : m_hooks.engines())
            requestReport(engine);
        return;
    }
    for (const auto& [name, group] : m_groups) {
        for (const auto& [rank, engine] : group->directAccess)
            if (accessTo(*group, rank, now) == &engine)
                requestReport(engine);
    }
}

const EngineAccess* MapDriver::accessTo(const Group& group, uint32_t rank, TimePoint now) const
{
    const auto best = group.ranks.find(rank);
    const auto direct = group.directAccess.find(rank);
    const Millis timeout = group.leader.phase() == MapPhase::Ready ? detail::sidecarTimeout : detail::sidecarTimeoutDuringChange;
    if (best != group.ranks.end() && (now - best->second.reportedAt < timeout || direct == group.directAccess.end()))
        return &best->second.engine;
    return direct == group.directAccess.end() ? nullptr : &direct->second;
}

Task<HttpResult> MapDriver::call(EngineAccess engine, HttpRequest request, Millis timeout)
{
    HttpCall call;
    call.request = std::move(request);
    call.timeout = timeout;
    call.connectTimeout = timeout;
    call.maxIdle = detail::maxConnectionIdle;
    const bool isOrder = call.request.method != "GET";
    call.maxBodyBytes = detail::maxReportBytes;
    co_return co_await (isOrder ? engine.orderClient : engine.client)->call(std::move(call));
}

void MapDriver::requestReport(const EngineAccess& engine)
{
    asio::co_spawn(m_executor, fetchReport(engine), asio::detached);
}

Task<> MapDriver::fetchReport(EngineAccess engine)
{
    const TimePoint requestedAt = Clock::now();
    const HttpResult result = co_await call(engine, statusRequest(), m_settings.readTimeout);
    if (!result.ok() || result.status != 200 || !m_leadership)
        co_return;
    const std::optional<EngineStatus> status = decodeStatus(result.body);
    if (!status) {
        log(LogLevel::Warning, "invalid report of an engine ignored", { { "engine", engine.name } });
        co_return;
    }
    const TimePoint now = Clock::now();
    m_lastReportAt = now;
    const GroupPtr group = findOrAddGroup(engine.service, *status);
    if (!group)
        co_return;
    if (m_hooks.onRank)
        m_hooks.onRank(detail::observationOf(engine, *status));
    if (!engine.isSidecar) {
        if (group->directEpoch != status->rank.epoch)
            group->directAccess.clear();
        group->directEpoch = status->rank.epoch;
        group->directAccess.insert_or_assign(status->rank.rank, engine);
    }
    const auto known = group->ranks.find(status->rank.rank);
    const bool hasSidecar = known != group->ranks.end() && known->second.engine.isSidecar && now - known->second.reportedAt < detail::sidecarTimeout;
    if (engine.isSidecar || !hasSidecar)
        group->ranks.insert_or_assign(status->rank.rank, RankAccess { engine, now });
    if (status->rank.rank < group->slowness.size())
        group->slowness[status->rank.rank] = std::max(1.0, status->slowness);
    group->leader.onReport(status->rank, requestedAt - engine.reportLag, now);
    sendDueOrders(group);
}

MapDriver::GroupPtr MapDriver::findOrAddGroup(const std::string& service, const EngineStatus& status)
{
    if (status.group.empty() || !status.groupSize)
        return nullptr;
    const auto found = m_groups.find(status.group);
    if (found != m_groups.end() && found->second->leader.ranks() == status.groupSize)
        return found->second;
    const EngineProfile* profile = m_hooks.profile(service);
    if (!profile || (found == m_groups.end() && m_groups.size() >= detail::maxGroups))
        return nullptr;
    MapLeaderSettings settings;
    settings.ranks = status.groupSize;
    auto group = std::make_shared<Group>(status.group, service, settings);
    group->slowness.assign(status.groupSize, 1);
    group->leader.startLeading(m_leadership->base, Clock::now());
    m_groups.insert_or_assign(status.group, group);
    return group;
}

HttpRequest MapDriver::requestFor(Group& group, const MapOrder& order)
{
    if (order.kind != MapOrderKind::Prepare)
        return orderRequest(order);
    // Fences and versions are drawn from one sequence, so a version is prepared under one fence only.
    if (group.prepareVersion != order.version) {
        group.prepareVersion = order.version;
        group.prepareRequest = orderRequest(order);
    }
    return group.prepareRequest;
}

Task<> MapDriver::sendOrder(GroupPtr group, EngineAccess engine, MapOrder order)
{
    const bool isPrepare = order.kind == MapOrderKind::Prepare;
    HttpRequest request = requestFor(*group, order);
    addRequestId(request);
    const HttpResult result = co_await call(engine, std::move(request), isPrepare ? m_settings.prepareTimeout : m_settings.orderTimeout);
    group->preparing -= isPrepare;
    const OrderAnswer answer = decodeOrderAnswer(result);
    std::string labels = "order=\"";
    labels += mapOrderName(order.kind);
    labels += result.usedPooledConnection ? "\",connection=\"pooled\"" : "\",connection=\"new\"";
    m_metrics.count("orioletrail_map_orders_total", labels);
    if (answer != OrderAnswer::Accepted)
        log(LogLevel::Info, "order not accepted by an engine", { { "order", std::string(mapOrderName(order.kind)) }, { "rank", std::to_string(order.rank) }, { "version", std::to_string(order.version) }, { "step", std::to_string(order.step) }, { "epoch", std::to_string(order.epoch) }, { "engine", engine.name }, { "status", std::to_string(result.status) } });
    group->leader.onAnswer(order, answer, Clock::now());
    sendDueOrders(group);
}

std::map<std::string, double, std::less<>> MapDriver::slowEndpoints() const
{
    std::map<std::string, double, std::less<>> slow;
    const TimePoint now = Clock::now();
    for (const auto& [name, group] : m_groups) {
        for (const auto& [rank, engine] : group->directAccess) {
            const auto access = group->ranks.find(rank);
            const bool isSilent = access != group->ranks.end() && now - access->second.reportedAt > detail::silentAfter;
            const double factor = isSilent ? unreportedSlowness : rank < group->slowness.size() ? group->slowness[rank]
                                                                                                : 1;
            if (factor > detail::slownessThreshold)
                slow.emplace(engine.name, factor);
        }
    }
    return slow;
}

Task<> MapDriver::readAndPlan(GroupPtr group)
{
    ExpertCounts chosen;
    const bool counted = co_await readCounts(group, chosen);
    if (counted) {
        detail::normalizeSets(chosen);
        group->forecast.update(chosen);
    }
    if (counted && group->leader.phase() == MapPhase::Ready)
        co_await readMap(group);
    group->isReading = false;
    planChange(group);
}

void MapDriver::planChange(const GroupPtr& group)
{
    const EngineProfile* profile = m_hooks.profile(group->service);
    const ExpertCounts& expected = group->forecast.counts();
    MapLeader& leader = group->leader;
    if (!profile || !m_leadership || m_isStopping || group->isPlanning || expected.empty() || leader.phase() != MapPhase::Ready)
        return;
    if (const auto own = leader.completedMap(leader.version())) {
        group->map = *own;
        group->mapVersion = leader.version();
        group->mapEpoch = leader.epoch();
    }
    if (!group->map || group->mapVersion != leader.version() || group->mapEpoch != leader.epoch())
        return;
    const double before = mapUnevenness(*group->map, expected, group->slowness);
    m_metrics.setGauge("orioletrail_map_unevenness", before);
    group->unevenness = before;
    reportMap(*group);
    if (m_hooks.expectedGapRatio(group->service, group->name, before) < m_settings.minGapRatio)
        return;
    const MapLimits limits { profile->expertsPerRank, profile->newExpertsPerChange, 0 };
    group->isPlanning = true;
    asio::co_spawn(m_executor, proposeAndStart(group, { *group->map, expected, group->slowness, limits, profile->expertCopyTime, m_settings.proposals }), asio::detached);
}

Task<> MapDriver::proposeAndStart(GroupPtr group, MapPlanInput input)
{
    const uint64_t version = group->mapVersion;
    const uint64_t epoch = group->mapEpoch;
    const double before = mapUnevenness(input.map, input.expected, input.slowness);
    std::optional<MapProposal> proposal = co_await asio::co_spawn(m_planner, detail::propose(input), asio::use_awaitable);
    group->isPlanning = false;
    MapLeader& leader = group->leader;
    // While the plan was made, the leadership may have been lost or the group may have changed.
    const bool isCurrent = m_leadership && !m_isStopping && leader.phase() == MapPhase::Ready && leader.version() == version && leader.epoch() == epoch;
    if (!proposal || !isCurrent)
        co_return;
    std::string reason;
    if (!isValidMap(proposal->map, static_cast<uint32_t>(input.expected.front().size()), input.limits, reason)) {
        log(LogLevel::Error, "expert map plan is invalid", { { "reason", reason } });
        co_return;
    }
    log(LogLevel::Info, "expert map planned", { { "before", std::to_string(before) }, { "after", std::to_string(proposal->unevenness) }, { "copies", std::to_string(proposal->copies) }, { "copyMs", std::to_string(proposal->copyTime.count()) }, { "gain", std::to_string(proposal->gain) } });
    m_metrics.count("orioletrail_map_changes_total");
    m_metrics.count("orioletrail_map_copies_total", {}, proposal->copies);
    leader.startChange(std::move(proposal->map), Clock::now());
    sendDueOrders(group);
}

Task<bool> MapDriver::readMap(GroupPtr group)
{
    const uint64_t version = group->leader.version();
    const uint64_t epoch = group->leader.epoch();
    if (group->map && group->mapVersion == version && group->mapEpoch == epoch)
        co_return true;
    const EngineProfile* profile = m_hooks.profile(group->service);
    if (!profile)
        co_return false;
    ExpertMap map;
    if (const auto own = group->leader.completedMap(version)) {
        map = *own;
    } else if (!version) {
        map = initialMap(profile->expertSets, profile->experts, group->leader.ranks());
    } else {
        auto read = std::make_shared<std::optional<ExpertMap>>(ExpertMap {});
        (*read)->experts.assign(profile->expertSets, std::vector<std::vector<uint32_t>>(group->leader.ranks()));
        std::vector<Task<>> readings;
        for (const auto& [rank, access] : group->ranks)
            readings.push_back(readRankExperts(group, rank, access.engine, read));
        if (readings.size() < group->leader.ranks())
            co_return false;
        co_await runAll(std::move(readings));
        // The group may have changed while the ranks were asked.
        if (!*read || group->leader.version() != version || group->leader.epoch() != epoch)
            co_return false;
        map = std::move(**read);
    }
    group->map = std::move(map);
    group->mapVersion = version;
    group->mapEpoch = epoch;
    co_return true;
}

Task<> MapDriver::readRankExperts(GroupPtr group, uint32_t rank, EngineAccess engine, std::shared_ptr<std::optional<ExpertMap>> map)
{
    const uint64_t version = group->leader.version();
    const uint64_t epoch = group->leader.epoch();
    const HttpResult result = co_await call(std::move(engine), expertsRequest(), m_settings.readTimeout);
    const auto held = result.ok() ? decodeExperts(result.body) : std::nullopt;
    if (!*map)
        co_return;
    ExpertMap& read = **map;
    const EngineProfile* profile = m_hooks.profile(group->service);
    const auto isExpert = [&](uint32_t expert) { return profile && expert < profile->experts; };
    const auto holdsExperts = [&](const auto& set) { return std::all_of(set.begin(), set.end(), isExpert); };
    const bool isKnown = held && std::all_of(held->experts.begin(), held->experts.end(), holdsExperts);
    if (!isKnown || held->version != version || held->epoch != epoch || held->experts.size() != read.experts.size() || rank >= group->leader.ranks()) {
        map->reset();
        co_return;
    }
    for (size_t set = 0; set < read.experts.size(); ++set)
        read.experts[set][rank] = held->experts[set];
}

Task<bool> MapDriver::readCounts(GroupPtr group, ExpertCounts& chosen)
{
    const EngineProfile* profile = m_hooks.profile(group->service);
    if (!profile)
        co_return false;
    if (group->countsEpoch != group->leader.epoch()) {
        group->lastCounts.clear();
        group->countsEpoch = group->leader.epoch();
    }
    auto sum = std::make_shared<ExpertCounts>(profile->expertSets, std::vector<double>(profile->experts));
    const size_t sampled = reportsThroughSidecars(*group, Clock::now()) ? m_settings.sampledRanks : m_settings.directlySampledRanks;
    const size_t stride = std::max<size_t>(1, group->ranks.size() / sampled);
    size_t index = 0;
    std::vector<Task<>> readings;
    for (const auto& [rank, access] : group->ranks)
        if (index++ % stride == 0)
            readings.push_back(readRankCounts(group, rank, access.engine, sum));
    co_await runAll(std::move(readings));
    chosen = std::move(*sum);
    co_return !detail::hasEmptySet(chosen);
}

Task<> MapDriver::readRankCounts(GroupPtr group, uint32_t rank, EngineAccess engine, std::shared_ptr<ExpertCounts> chosen)
{
    const HttpResult result = co_await call(std::move(engine), countsRequest(), m_settings.readTimeout);
    const auto read = result.ok() ? decodeCounts(result.body) : std::nullopt;
    const size_t experts = chosen->empty() ? 0 : chosen->front().size();
    if (!read || read->counts.size() != chosen->size() * experts || read->epoch != group->countsEpoch)
        co_return;
    const std::vector<double>& last = group->lastCounts[rank];
    for (size_t i = 0; i < read->counts.size(); ++i)
        (*chosen)[i / experts][i % experts] += std::max(0.0, read->counts[i] - (last.empty() ? 0 : last[i]));
    group->lastCounts[rank] = read->counts;
}

} // namespace orioletrail
