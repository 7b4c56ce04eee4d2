#include "direct/map-driver.h"

#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <numeric>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // An instance that does not come first waits so many times longer before it takes the lead.
    constexpr int laterFactor = 3;
    // Engines are asked at least so often whether there are groups not known yet.
    constexpr Millis discoveryInterval { 1000 };
    // Between reports and the moments that they describe there is the way to this machine too.
    constexpr Millis reportTravel { 100 };
    constexpr Millis connectionReuse { 4000 };

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
    if (!m_base) {
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
    for (const auto& [name, group] : m_groups) {
        MapLeader& leader = group->leader;
        for (MapOrder& order : leader.orders(now)) {
            const auto rank = group->ranks.find(order.rank);
            if (rank == group->ranks.end())
                leader.onAnswer(order, OrderAnswer::Unknown, now);
            else
                asio::co_spawn(m_executor, sendOrder(group, rank->second, std::move(order)), asio::detached);
        }
        if (leader.phase() != group->loggedPhase) {
            log(LogLevel::Info, "expert map", { { "group", name }, { "phase", std::string(mapPhaseName(leader.phase())) }, { "epoch", std::to_string(leader.epoch()) }, { "version", std::to_string(leader.version()) }, { "fence", std::to_string(leader.fence()) }, { "reason", leader.lastReason() } });
            group->loggedPhase = leader.phase();
        }
        if (leader.phase() == MapPhase::Idle) {
            resign(leader.lastReason());
            return;
        }
        isQuiet = isQuiet && leader.phase() == MapPhase::Ready;
        if (leader.phase() == MapPhase::Ready && !group->planning && !m_stopping && now >= group->nextPlan) {
            group->planning = true;
            group->nextPlan = now + m_settings.planInterval;
            asio::co_spawn(m_executor, plan(group), asio::detached);
        }
    }
    if (m_stopping && isQuiet)
        resign("stopping");
}

Task<> MapDriver::claim()
{
    const std::optional<uint64_t> base = co_await m_hooks.claim();
    m_claiming = false;
    const TimePoint now = Clock::now();
    // Whatever came of it, the next try has to wait.
    m_leaderHeard = now;
    if (!base || m_stopping)
        co_return;
    m_base = base;
    m_reportHeard = now;
    m_groups.clear();
    m_metrics.count("orioletrail_map_leads_total");
    log(LogLevel::Info, "leading expert maps", { { "base", std::to_string(*base) } });
}

void MapDriver::resign(std::string_view reason)
{
    log(LogLevel::Info, "leading expert maps no more", { { "reason", std::string(reason) } });
    m_base.reset();
    m_groups.clear();
    m_leaderHeard = Clock::now();
}

void MapDriver::askReports(TimePoint now)
{
    bool wanted = now - m_discovered >= detail::discoveryInterval;
    for (const auto& [name, group] : m_groups)
        wanted = wanted || group->leader.wantsReports(now);
    if (!wanted)
        return;
    m_discovered = now;
    for (const auto& [name, group] : m_groups)
        group->leader.onReportsAsked(now);
    for (const auto& [service, engines] : m_hooks.engines())
        for (const EngineAccess& engine : engines)
            asio::co_spawn(m_executor, askReport(service, engine), asio::detached);
}

Task<HttpResult> MapDriver::call(EngineAccess engine, HttpRequest request)
{
    HttpCall call;
    call.request = std::move(request);
    call.timeout = m_settings.callTimeout;
    call.connectTimeout = m_settings.callTimeout;
    call.maxIdle = detail::connectionReuse;
    co_return co_await engine.client->call(std::move(call));
}

Task<> MapDriver::askReport(std::string service, EngineAccess engine)
{
    const TimePoint asked = Clock::now();
    const HttpResult result = co_await call(engine, statusRequest());
    if (!result.ok() || result.status != 200 || !m_base)
        co_return;
    const std::optional<EngineStatus> status = decodeStatus(result.body);
    if (!status) {
        log(LogLevel::Warning, "unreadable report of an engine", { { "endpoint", engine.endpoint } });
        co_return;
    }
    m_reportHeard = Clock::now();
    const GroupPtr group = groupOf(service, *status);
    if (!group)
        co_return;
    group->ranks.insert_or_assign(status->rank.rank, engine);
    group->leader.onReport(status->rank, asked, Clock::now());
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
    settings.reportLag = profile->reportLag + detail::reportTravel;
    auto group = std::make_shared<Group>(service, settings);
    group->leader.lead(*m_base, Clock::now());
    m_groups.insert_or_assign(status.group, group);
    return group;
}

Task<> MapDriver::sendOrder(GroupPtr group, EngineAccess engine, MapOrder order)
{
    const HttpResult result = co_await call(engine, orderRequest(order));
    const OrderAnswer answer = decodeOrderAnswer(result);
    std::string labels = "order=\"";
    labels += mapOrderName(order.kind);
    labels += "\"";
    m_metrics.count("orioletrail_map_orders_total", labels);
    if (answer != OrderAnswer::Accepted)
        log(LogLevel::Info, "order not accepted", { { "order", std::string(mapOrderName(order.kind)) }, { "rank", std::to_string(order.rank) }, { "version", std::to_string(order.version) }, { "step", std::to_string(order.step) }, { "epoch", std::to_string(order.epoch) }, { "status", std::to_string(result.status) } });
    group->leader.onAnswer(order, answer, Clock::now());
}

Task<> MapDriver::plan(GroupPtr group)
{
    ExpertCounts chosen;
    const bool known = co_await readMap(group);
    const bool counted = known && co_await readCounts(group, chosen);
    group->planning = false;
    const EngineProfile* profile = m_hooks.profile(group->service);
    if (!counted || !profile || !m_base || group->leader.phase() != MapPhase::Ready || group->leader.version() != group->mapVersion)
        co_return;
    detail::normalize(chosen);
    group->forecast.update(chosen);
    const ExpertCounts& expected = group->forecast.counts();
    const MapLimits limits { profile->expertPlaces, profile->expertsPerChange };
    ExpertMap target = improveMap(*group->map, expected, limits);
    const double before = mapUnevenness(*group->map, expected);
    const double after = mapUnevenness(target, expected);
    const uint32_t copies = countCopies(*group->map, target);
    const bool pays = before > after * m_settings.leastGain;
    std::string reason;
    if (pays && !isValidMap(target, profile->experts, limits, reason)) {
        log(LogLevel::Error, "plan is no valid map", { { "reason", reason } });
        co_return;
    }
    log(LogLevel::Info, "expert map planned", { { "before", std::to_string(before) }, { "after", std::to_string(after) }, { "copies", std::to_string(copies) }, { "changes", pays ? "true" : "false" } });
    m_metrics.set("orioletrail_map_unevenness", before);
    if (!pays)
        co_return;
    m_metrics.count("orioletrail_map_changes_total");
    m_metrics.count("orioletrail_map_copies_total", {}, copies);
    group->leader.change(std::move(target), Clock::now());
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
            const HttpResult result = co_await call(engine, expertsRequest());
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
    const size_t stride = std::max<size_t>(1, ranks.size() / m_settings.ranksSampled);
    size_t index = 0;
    for (const auto& [rank, engine] : ranks) {
        if (index++ % stride)
            continue;
        const HttpResult result = co_await call(engine, countsRequest());
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
