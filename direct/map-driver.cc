#include "direct/map-driver.h"

#include "telemetry/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <numeric>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // An instance that does not come first waits so many times longer before it takes the lead.
    constexpr int laterFactor = 3;
    // Engines are asked directly at most so often.
    constexpr Millis directInterval { 1000 };
    // Without a report through its sidecar for so long, a rank counts as not heard through it.
    constexpr Millis sidecarSilence { 1500 };
    // The same while a change is under way and the group may stand still for it: some missed reports.
    constexpr Millis sidecarSilenceInChange { 300 };
    // Between two looks at the registered sidecars while some ranks are not heard through one.
    constexpr Millis sidecarSearch { 2000 };
    constexpr Millis connectionReuse { 4000 };
    // A lead ends before its numbers run out within a change.
    constexpr uint64_t numbersLeft = 1000;
    // An endpoint counts as slow from here on.
    constexpr double slowFrom = 1.2;
    // An engine that has missed two reports is silent.
    constexpr Millis silentFrom { 1000 };

    // While a group is held it stands still for each rank that cannot be reached, and a rank cannot
    // be reached by anyone while its own machine, with its sidecar, stands still. Orders of that
    // time come from the leader itself, so that no sidecar is part of them. The others are
    // cheaper through sidecars.
    bool goesDirectly(MapOrderKind kind)
    {
        return kind == MapOrderKind::Hold || kind == MapOrderKind::Arm || kind == MapOrderKind::Go;
    }

    // Counts of a set brought to a sum of 1, so that readings of unequal length compare.
    void normalize(ExpertCounts& counts)
    {
        for (auto& set : counts) {
            const double total = std::accumulate(set.begin(), set.end(), 0.0);
            if (total > 0)
                for (double& count : set)
                    count /= total;
        }
    }

    bool isEmpty(const ExpertCounts& counts)
    {
        for (const auto& set : counts)
            if (std::accumulate(set.begin(), set.end(), 0.0) <= 0)
                return true;
        return counts.empty();
    }

} // namespace detail

MapDriver::MapDriver(asio::any_io_executor executor, const MapDriverSettings& settings, Hooks hooks, Metrics& metrics)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
{
}

void MapDriver::tick(TimePoint now)
{
    if (!m_lead) {
        const Millis patience = m_hooks.isFirst() ? m_settings.leaderSilence : detail::laterFactor * m_settings.leaderSilence;
        if (m_claiming || m_stopping || now - m_leaderHeard < patience || m_hooks.engines().empty())
            return;
        m_claiming = true;
        asio::co_spawn(m_executor, claim(), asio::detached);
        return;
    }
    if (now - m_reportHeard > m_settings.unheardLimit) {
        resign("no engine answers");
        return;
    }
    askReports(now);
    bool isQuiet = true;
    const auto groups = m_groups;
    for (const auto& [name, group] : groups) {
        pump(group);
        MapLeader& leader = group->leader;
        if (leader.phase() == MapPhase::Idle) {
            resign(leader.lastReason());
            return;
        }
        isQuiet = isQuiet && leader.phase() == MapPhase::Ready;
        if (leader.phase() == MapPhase::Ready && leader.lastNumber() + detail::numbersLeft > m_lead->end) {
            resign("its numbers are used up");
            return;
        }
        if (!group->reading && now >= group->nextReading) {
            group->reading = true;
            group->nextReading = now + (isHeardLocally(*group, now) ? m_settings.countInterval : m_settings.directCountInterval);
            asio::co_spawn(m_executor, read(group), asio::detached);
        }
    }
    if (m_stopping && isQuiet) {
        m_handedOver = MapLead { lastNumber(), m_lead->end };
        resign("stopping");
    }
}

void MapDriver::pump(const GroupPtr& group)
{
    const TimePoint now = Clock::now();
    MapLeader& leader = group->leader;
    for (MapOrder& order : leader.orders(now)) {
        const auto direct = group->direct.find(order.rank);
        const bool isDirect = detail::goesDirectly(order.kind) && group->directEpoch == leader.epoch() && direct != group->direct.end();
        const EngineAccess* way = isDirect ? &direct->second : wayTo(*group, order.rank, now);
        if (way)
            asio::co_spawn(m_executor, sendOrder(group, *way, std::move(order)), asio::detached);
        else
            leader.onAnswer(order, OrderAnswer::Unknown, now);
    }
    if (leader.phase() == group->loggedPhase)
        return;
    group->loggedPhase = leader.phase();
    log(LogLevel::Info, "expert map", { { "phase", std::string(mapPhaseName(leader.phase())) }, { "service", group->service }, { "epoch", std::to_string(leader.epoch()) }, { "version", std::to_string(leader.version()) }, { "fence", std::to_string(leader.fence()) }, { "reason", leader.lastReason() } });
    if (leader.phase() == MapPhase::Ready)
        plan(group);
}

Task<> MapDriver::claim()
{
    const std::optional<uint64_t> lead = co_await m_hooks.claim();
    m_claiming = false;
    const TimePoint now = Clock::now();
    // Whatever came of it, the next try has to wait.
    m_leaderHeard = now;
    if (!lead || m_stopping)
        co_return;
    begin({ *lead * m_settings.numbersPerLead, (*lead + 1) * m_settings.numbersPerLead });
}

void MapDriver::takeOver(const MapLead& lead)
{
    if (m_lead || m_stopping || lead.base + detail::numbersLeft > lead.end)
        return;
    begin(lead);
}

uint64_t MapDriver::lastNumber() const
{
    uint64_t last = m_lead ? m_lead->base : 0;
    for (const auto& [name, group] : m_groups)
        last = std::max(last, group->leader.lastNumber());
    return last;
}

void MapDriver::begin(const MapLead& lead)
{
    m_lead = lead;
    const TimePoint now = Clock::now();
    m_reportHeard = now;
    m_groups.clear();
    m_metrics.count("orioletrail_map_leads_total");
    log(LogLevel::Info, "leading expert maps", { { "base", std::to_string(lead.base) } });
}

void MapDriver::resign(std::string_view reason)
{
    log(LogLevel::Info, "leading expert maps no more", { { "reason", std::string(reason) } });
    m_lead.reset();
    m_groups.clear();
    m_leaderHeard = Clock::now();
}

Task<> MapDriver::findSidecars()
{
    std::optional<std::vector<EngineAccess>> found = co_await m_hooks.sidecars();
    m_findingSidecars = false;
    m_sidecarsFound = Clock::now();
    if (found)
        m_sidecars = std::move(*found);
}

bool MapDriver::isHeardLocally(const Group& group, TimePoint now) const
{
    return group.ranks.size() == group.leader.ranks() && std::all_of(group.ranks.begin(), group.ranks.end(), [&](const auto& rank) {
        return rank.second.engine.isLocal && now - rank.second.heard < detail::sidecarSilence;
    });
}

void MapDriver::askReports(TimePoint now)
{
    // Direct ways are looked for once in each epoch too.
    const bool allLocal = !m_groups.empty() && std::all_of(m_groups.begin(), m_groups.end(), [&](const auto& item) {
        const Group& group = *item.second;
        return isHeardLocally(group, now) && group.direct.size() == group.leader.ranks() && group.directEpoch == group.leader.epoch();
    });
    if (!allLocal && !m_findingSidecars && now - m_sidecarsFound >= detail::sidecarSearch) {
        m_findingSidecars = true;
        asio::co_spawn(m_executor, findSidecars(), asio::detached);
    }
    const bool wanted = std::any_of(m_groups.begin(), m_groups.end(), [&](const auto& group) { return group.second->leader.wantsReports(now); });
    const bool directly = !allLocal && now - m_discovered >= detail::directInterval;
    if (!wanted && !directly)
        return;
    for (const auto& [name, group] : m_groups)
        group->leader.onReportsAsked(now);
    for (const EngineAccess& sidecar : m_sidecars)
        askReport(sidecar);
    if (directly) {
        m_discovered = now;
        for (const EngineAccess& engine : m_hooks.engines())
            askReport(engine);
        return;
    }
    for (const auto& [name, group] : m_groups) {
        for (const auto& [rank, engine] : group->direct)
            if (wayTo(*group, rank, now) == &engine)
                askReport(engine);
    }
}

const EngineAccess* MapDriver::wayTo(const Group& group, uint32_t rank, TimePoint now) const
{
    const auto best = group.ranks.find(rank);
    const auto direct = group.direct.find(rank);
    const Millis silence = group.leader.phase() == MapPhase::Ready ? detail::sidecarSilence : detail::sidecarSilenceInChange;
    if (best != group.ranks.end() && (now - best->second.heard < silence || direct == group.direct.end()))
        return &best->second.engine;
    return direct == group.direct.end() ? nullptr : &direct->second;
}

Task<HttpResult> MapDriver::call(EngineAccess engine, HttpRequest request, Millis timeout)
{
    HttpCall call;
    call.request = std::move(request);
    call.timeout = timeout;
    call.connectTimeout = timeout;
    call.maxIdle = detail::connectionReuse;
    co_return co_await engine.client->call(std::move(call));
}

void MapDriver::askReport(const EngineAccess& engine)
{
    asio::co_spawn(m_executor, askReportOf(engine), asio::detached);
}

Task<> MapDriver::askReportOf(EngineAccess engine)
{
    const TimePoint asked = Clock::now();
    const HttpResult result = co_await call(engine, statusRequest(), m_settings.callTimeout);
    if (!result.ok() || result.status != 200 || !m_lead)
        co_return;
    const std::optional<EngineStatus> status = decodeStatus(result.body);
    if (!status) {
        log(LogLevel::Warning, "unreadable report of an engine", { { "engine", engine.name } });
        co_return;
    }
    const TimePoint now = Clock::now();
    m_reportHeard = now;
    const GroupPtr group = groupOf(engine.service, *status);
    if (!group)
        co_return;
    if (!engine.isLocal) {
        if (group->directEpoch != status->rank.epoch)
            group->direct.clear();
        group->directEpoch = status->rank.epoch;
        group->direct.insert_or_assign(status->rank.rank, engine);
    }
    const auto known = group->ranks.find(status->rank.rank);
    const bool hasSidecar = known != group->ranks.end() && known->second.engine.isLocal && now - known->second.heard < detail::sidecarSilence;
    if (engine.isLocal || !hasSidecar)
        group->ranks.insert_or_assign(status->rank.rank, RankAccess { engine, now });
    if (status->rank.rank < group->slowness.size())
        group->slowness[status->rank.rank] = std::max(1.0, status->slowness);
    group->leader.onReport(status->rank, asked - engine.lag, now);
    pump(group);
}

MapDriver::GroupPtr MapDriver::groupOf(const std::string& service, const EngineStatus& status)
{
    if (status.group.empty() || !status.groupSize)
        return nullptr;
    const auto found = m_groups.find(status.group);
    if (found != m_groups.end() && found->second->leader.ranks() == status.groupSize)
        return found->second;
    const EngineProfile* profile = m_hooks.profile(service);
    if (!profile)
        return nullptr;
    MapLeaderSettings settings;
    settings.ranks = status.groupSize;
    auto group = std::make_shared<Group>(service, settings);
    group->slowness.assign(status.groupSize, 1);
    group->leader.lead(m_lead->base, Clock::now());
    m_groups.insert_or_assign(status.group, group);
    return group;
}

Task<> MapDriver::sendOrder(GroupPtr group, EngineAccess engine, MapOrder order)
{
    const HttpResult result = co_await call(engine, orderRequest(order), m_settings.orderTimeout);
    const OrderAnswer answer = decodeOrderAnswer(result);
    std::string labels = "order=\"";
    labels += mapOrderName(order.kind);
    labels += "\"";
    m_metrics.count("orioletrail_map_orders_total", labels);
    if (answer != OrderAnswer::Accepted)
        log(LogLevel::Info, "order not accepted", { { "order", std::string(mapOrderName(order.kind)) }, { "rank", std::to_string(order.rank) }, { "version", std::to_string(order.version) }, { "step", std::to_string(order.step) }, { "epoch", std::to_string(order.epoch) }, { "engine", engine.name }, { "status", std::to_string(result.status) } });
    group->leader.onAnswer(order, answer, Clock::now());
    pump(group);
}

std::map<std::string, double, std::less<>> MapDriver::slowEndpoints() const
{
    std::map<std::string, double, std::less<>> slow;
    const TimePoint now = Clock::now();
    for (const auto& [name, group] : m_groups) {
        for (const auto& [rank, engine] : group->direct) {
            const auto access = group->ranks.find(rank);
            const bool isSilent = access != group->ranks.end() && now - access->second.heard > detail::silentFrom;
            const double factor = isSilent ? silentSlowness : rank < group->slowness.size() ? group->slowness[rank]
                                                                                            : 1;
            if (factor > detail::slowFrom)
                slow.emplace(engine.name, factor);
        }
    }
    return slow;
}

Task<> MapDriver::read(GroupPtr group)
{
    ExpertCounts chosen;
    const bool counted = co_await readCounts(group, chosen);
    if (counted) {
        detail::normalize(chosen);
        group->forecast.update(chosen);
    }
    if (counted && group->leader.phase() == MapPhase::Ready)
        co_await readMap(group);
    group->reading = false;
    plan(group);
}

void MapDriver::plan(const GroupPtr& group)
{
    const EngineProfile* profile = m_hooks.profile(group->service);
    const ExpertCounts& expected = group->forecast.counts();
    MapLeader& leader = group->leader;
    if (!profile || !m_lead || m_stopping || expected.empty() || leader.phase() != MapPhase::Ready)
        return;
    if (const auto own = leader.mapOf(leader.version())) {
        group->map = *own;
        group->mapVersion = leader.version();
        group->mapEpoch = leader.epoch();
    }
    if (!group->map || group->mapVersion != leader.version() || group->mapEpoch != leader.epoch())
        return;
    const double before = mapUnevenness(*group->map, expected, group->slowness);
    m_metrics.set("orioletrail_map_unevenness", before);
    if (m_hooks.expectedPause(group->service, before) < m_settings.comfortablePause)
        return;
    const MapLimits limits { profile->expertPlaces, profile->expertsPerChange, 0 };
    std::optional<MapProposal> proposed = proposeMap(*group->map, expected, group->slowness, limits, profile->expertCopyTime, m_settings.proposals);
    if (!proposed)
        return;
    MapProposal& proposal = *proposed;
    std::string reason;
    if (!isValidMap(proposal.map, profile->experts, limits, reason)) {
        log(LogLevel::Error, "plan is no valid map", { { "reason", reason } });
        return;
    }
    log(LogLevel::Info, "expert map planned", { { "before", std::to_string(before) }, { "after", std::to_string(proposal.unevenness) }, { "copies", std::to_string(proposal.copies) }, { "copyMs", std::to_string(proposal.copyTime.count()) }, { "gain", std::to_string(proposal.gain) } });
    m_metrics.count("orioletrail_map_changes_total");
    m_metrics.count("orioletrail_map_copies_total", {}, proposal.copies);
    leader.change(std::move(proposal.map), Clock::now());
    pump(group);
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
    if (const auto own = group->leader.mapOf(version)) {
        map = *own;
    } else if (!version) {
        map = startingMap(profile->expertSets, profile->experts, group->leader.ranks());
    } else {
        map.experts.assign(profile->expertSets, std::vector<std::vector<uint32_t>>(group->leader.ranks()));
        const auto ranks = group->ranks;
        for (const auto& [rank, engine] : ranks) {
            const HttpResult result = co_await call(engine.engine, expertsRequest(), m_settings.callTimeout);
            const auto held = result.ok() ? decodeExperts(result.body) : std::nullopt;
            if (!held || held->version != version || held->epoch != epoch || held->experts.size() != map.experts.size() || rank >= group->leader.ranks())
                co_return false;
            for (size_t set = 0; set < map.experts.size(); ++set)
                map.experts[set][rank] = held->experts[set];
        }
    }
    group->map = std::move(map);
    group->mapVersion = version;
    group->mapEpoch = epoch;
    co_return true;
}

Task<bool> MapDriver::readCounts(GroupPtr group, ExpertCounts& chosen)
{
    const EngineProfile* profile = m_hooks.profile(group->service);
    if (!profile)
        co_return false;
    const size_t experts = profile->experts;
    chosen.assign(profile->expertSets, std::vector<double>(experts));
    if (group->countsEpoch != group->leader.epoch()) {
        group->counts.clear();
        group->countsEpoch = group->leader.epoch();
    }
    const auto ranks = group->ranks;
    const size_t stride = isHeardLocally(*group, Clock::now()) ? 1 : std::max<size_t>(1, ranks.size() / m_settings.ranksSampled);
    size_t index = 0;
    for (const auto& [rank, engine] : ranks) {
        if (index++ % stride)
            continue;
        const HttpResult result = co_await call(engine.engine, countsRequest(), m_settings.callTimeout);
        const auto read = result.ok() ? decodeCounts(result.body) : std::nullopt;
        if (!read || read->counts.size() != chosen.size() * experts || read->epoch != group->countsEpoch)
            continue;
        const std::vector<double>& last = group->counts[rank];
        for (size_t i = 0; i < read->counts.size(); ++i)
            chosen[i / experts][i % experts] += std::max(0.0, read->counts[i] - (last.empty() ? 0 : last[i]));
        group->counts[rank] = read->counts;
    }
    co_return !detail::isEmpty(chosen);
}

} // namespace orioletrail
