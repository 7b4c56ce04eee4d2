#include "expertmap/map-leader.h"

#include <algorithm>
#include <array>

namespace orioletrail {

namespace detail {

    // Rank at which the group is held during a change.
    constexpr uint32_t holdRank = 0;
    // Weight of the latest passes in the moving average of their rate.
    constexpr double latestPace = 0.3;
    // The margin of a pass to hold at doubles with each order that came too late, up to this often.
    constexpr uint32_t mostDoublings = 6;
    // Bounds the time that a group waits at the pass for ranks that do not answer any more.
    constexpr Millis mostArmTime { 1500 };

    constexpr std::array<std::string_view, 5> orderNames = { "prepare", "arm", "disarm", "hold", "go" };
    constexpr std::array<std::string_view, 8> phaseNames = { "idle", "fencing", "settling", "ready", "preparing", "holding", "arming", "switching" };

} // namespace detail

std::string_view mapOrderName(MapOrderKind kind)
{
    return detail::orderNames[static_cast<size_t>(kind)];
}

std::string_view mapPhaseName(MapPhase phase)
{
    return detail::phaseNames[static_cast<size_t>(phase)];
}

MapLeader::MapLeader(const MapLeaderSettings& settings, const MapLeaderRules& rules)
    : m_settings(settings)
    , m_rules(rules)
    , m_ranks(settings.ranks)
{
}

void MapLeader::lead(uint64_t base, TimePoint now)
{
    m_next = base;
    startOver("began to lead", now);
}

void MapLeader::resign()
{
    m_phase = MapPhase::Idle;
}

std::shared_ptr<const ExpertMap> MapLeader::mapOf(uint64_t version) const
{
    return m_lastMap && version == m_lastVersion ? m_lastMap : nullptr;
}

void MapLeader::enter(MapPhase phase, TimePoint now)
{
    m_phase = phase;
    m_entered = now;
    for (Rank& rank : m_ranks) {
        rank.accepted = false;
        rank.inFlight = false;
    }
}

void MapLeader::startOver(std::string reason, TimePoint now)
{
    m_lastReason = std::move(reason);
    m_fence = ++m_next;
    enter(MapPhase::Fencing, now);
    if (!m_rules.fenceFirst) {
        m_reportsFrom = now;
        enter(MapPhase::Settling, now);
    }
}

MapOrder MapLeader::make(MapOrderKind kind, uint32_t rank) const
{
    MapOrder order;
    order.kind = kind;
    order.rank = rank;
    order.epoch = m_epoch;
    order.fence = m_fence;
    return order;
}

std::optional<MapOrder> MapLeader::orderFor(uint32_t rank) const
{
    MapOrder order;
    switch (m_phase) {
    case MapPhase::Idle:
        return std::nullopt;
    case MapPhase::Fencing:
        // Ranks refuse orders for another epoch, so it has to be known.
        if (!m_epoch)
            return std::nullopt;
        // Disarms a version that no rank has: does nothing but show the fence.
        order = make(MapOrderKind::Disarm, rank);
        order.version = m_fence;
        return order;
    case MapPhase::Settling:
        return settleOrder(rank);
    case MapPhase::Ready: {
        // A copy of an order that held the group came late.
        const auto& report = m_ranks[rank].report;
        if (!report || !report->held)
            return std::nullopt;
        order = make(MapOrderKind::Go, rank);
        order.step = *report->held;
        return order;
    }
    case MapPhase::Preparing:
        order = make(MapOrderKind::Prepare, rank);
        order.version = m_target;
        order.map = m_map;
        return order;
    case MapPhase::Holding:
    case MapPhase::Switching:
        if (rank != detail::holdRank)
            return std::nullopt;
        order = make(m_phase == MapPhase::Holding ? MapOrderKind::Hold : MapOrderKind::Go, rank);
        order.step = m_step;
        return order;
    case MapPhase::Arming:
        order = make(MapOrderKind::Arm, rank);
        order.version = m_target;
        order.step = m_step;
        return order;
    }
    return std::nullopt;
}

std::optional<MapOrder> MapLeader::settleOrder(uint32_t rank) const
{
    if (!hasFreshReports())
        return std::nullopt;
    const RankReport& report = *m_ranks[rank].report;
    const size_t armed = armedCount();
    const bool complete = isArmedAlike() && m_rules.completeArmed;
    if (armed && !complete) {
        if (!report.armed)
            return std::nullopt;
        MapOrder order = make(MapOrderKind::Disarm, rank);
        order.version = report.armed->first;
        if (m_rules.goLast || !report.held)
            return order;
    }
    if (!report.held)
        return std::nullopt;
    MapOrder order = make(MapOrderKind::Go, rank);
    order.step = *report.held;
    return order;
}

std::vector<MapOrder> MapLeader::orders(TimePoint now)
{
    std::vector<MapOrder> orders;
    const bool isChange = m_phase >= MapPhase::Preparing && m_phase < MapPhase::Switching;
    if (isChange && now - m_changeStarted > m_settings.changeTimeout)
        startOver("the change took too long", now);
    addOrders(orders, now);
    return orders;
}

void MapLeader::addOrders(std::vector<MapOrder>& orders, TimePoint now)
{
    for (uint32_t rank = 0; rank < m_ranks.size(); ++rank) {
        Rank& state = m_ranks[rank];
        if (state.accepted || state.inFlight || now - state.sentAt < (state.sentAt >= m_entered ? m_settings.resendAfter : Millis(0)))
            continue;
        std::optional<MapOrder> order = orderFor(rank);
        if (!order)
            continue;
        if (order->kind == MapOrderKind::Arm && !m_armingFrom)
            m_armingFrom = now;
        // A copy of an order to go may be carried out late: no later pass is held under its number.
        if (order->kind == MapOrderKind::Go && m_rules.freshSteps)
            m_step = std::max(m_step, order->step);
        state.inFlight = true;
        state.sentAt = now;
        orders.push_back(std::move(*order));
    }
}

bool MapLeader::wantsReports(TimePoint now) const
{
    if (m_phase == MapPhase::Idle)
        return false;
    return now - m_reportsAsked >= (m_phase == MapPhase::Ready ? m_settings.idleReports : m_settings.busyReports);
}

void MapLeader::onReport(const RankReport& report, TimePoint asOf, TimePoint now)
{
    if (m_phase == MapPhase::Idle || report.rank >= m_ranks.size())
        return;
    Rank& rank = m_ranks[report.rank];
    if (rank.report && (asOf < rank.asOf || report.epoch < rank.report->epoch))
        return;
    if (report.rank == detail::holdRank && rank.report)
        notePace(*rank.report, rank.asOf, report, asOf);
    rank.report = report;
    rank.asOf = asOf;
    // A copy of the order to hold came after the one to go.
    if (m_phase == MapPhase::Switching && report.held == m_step && asOf >= rank.sentAt)
        rank.accepted = false;
    if (report.epoch > m_epoch) {
        m_epoch = report.epoch;
        m_step = 0;
        startOver("the group was formed anew", now);
        return;
    }
    advance(now);
}

void MapLeader::onAnswer(const MapOrder& order, OrderAnswer answer, TimePoint now)
{
    if (order.fence != m_fence || m_phase == MapPhase::Idle || order.rank >= m_ranks.size())
        return;
    if (answer == OrderAnswer::Fenced) {
        m_lastReason = "another process leads";
        resign();
        return;
    }
    Rank& rank = m_ranks[order.rank];
    // Also if the order has become needless: the rank may need another one.
    rank.inFlight = false;
    const std::optional<MapOrder> expected = orderFor(order.rank);
    const bool isPresent = expected && expected->kind == order.kind && expected->version == order.version && expected->step == order.step;
    if (!isPresent || answer == OrderAnswer::Unknown)
        return;
    if (answer == OrderAnswer::Accepted) {
        if (m_phase == MapPhase::Settling || m_phase == MapPhase::Ready) {
            // Reports have to show what the order did before another one follows.
            m_reportsFrom = now;
            if (rank.report && order.kind == MapOrderKind::Go)
                rank.report->held.reset();
            return;
        }
        rank.accepted = true;
        advance(now);
        return;
    }
    // A conflict: while the group is held, what was begun has to be undone.
    if (m_phase == MapPhase::Holding) {
        if (rank.report && rank.report->held)
            startOver("a rank is held for another pass", now);
        else {
            ++m_lateHolds;
            rank.sentAt = TimePoint();
            chooseStep(now);
        }
        return;
    }
    if (m_phase == MapPhase::Preparing || m_phase == MapPhase::Arming)
        startOver(std::string(mapOrderName(order.kind)) + " does not fit rank " + std::to_string(order.rank), now);
}

bool MapLeader::allAccepted() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [](const Rank& rank) { return rank.accepted; });
}

bool MapLeader::hasFreshReports() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Rank& rank) {
        return rank.report && rank.report->epoch == m_epoch && rank.report->open && (rank.asOf >= m_reportsFrom || !m_rules.waitForReports);
    });
}

size_t MapLeader::armedCount() const
{
    return static_cast<size_t>(std::count_if(m_ranks.begin(), m_ranks.end(), [](const Rank& rank) { return rank.report && rank.report->armed; }));
}

bool MapLeader::isArmedAlike() const
{
    const auto& first = m_ranks.front().report;
    return first && first->armed && std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Rank& rank) { return rank.report && rank.report->armed == first->armed; });
}

bool MapLeader::isAnyHeld() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [](const Rank& rank) { return rank.report && rank.report->held; });
}

bool MapLeader::isPreparedEverywhere() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Rank& rank) { return rank.report && rank.report->epoch == m_epoch && rank.report->prepared == m_target; });
}

uint64_t MapLeader::expectedStep(TimePoint at) const
{
    uint64_t latest = 0;
    for (const Rank& rank : m_ranks) {
        if (!rank.report || rank.report->epoch != m_epoch)
            continue;
        const double since = m_passesPerSecond * std::chrono::duration<double>(at - rank.asOf).count();
        latest = std::max(latest, rank.report->step + static_cast<uint64_t>(std::max(0.0, since)));
    }
    return latest;
}

void MapLeader::notePace(const RankReport& before, TimePoint asOfBefore, const RankReport& after, TimePoint asOf)
{
    const double seconds = std::chrono::duration<double>(asOf - asOfBefore).count();
    if (before.epoch != after.epoch || after.step < before.step || seconds <= 0)
        return;
    m_passesPerSecond += detail::latestPace * (static_cast<double>(after.step - before.step) / seconds - m_passesPerSecond);
}

void MapLeader::noteArmed(TimePoint now)
{
    const Millis took = std::chrono::duration_cast<Millis>(now - m_armingFrom.value_or(now));
    m_armTime = std::min(detail::mostArmTime, std::max(took, (m_armTime + took) / 2));
    m_armingFrom.reset();
}

void MapLeader::chooseStep(TimePoint now)
{
    m_step = std::max(m_step + 1, expectedStep(now + m_settings.orderTime + m_armTime) + (m_settings.leastPassesAhead << std::min(m_lateHolds, detail::mostDoublings)));
}

void MapLeader::settle(TimePoint now)
{
    if (!hasFreshReports() || armedCount() || isAnyHeld())
        return;
    const uint64_t version = m_ranks.front().report->version;
    if (!std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Rank& rank) { return rank.report->version == version; }))
        return;
    m_version = version;
    enter(MapPhase::Ready, now);
}

void MapLeader::advance(TimePoint now)
{
    switch (m_phase) {
    case MapPhase::Idle:
    case MapPhase::Ready:
        return;
    case MapPhase::Fencing:
        if (!allAccepted())
            return;
        m_reportsFrom = now;
        enter(MapPhase::Settling, now);
        return;
    case MapPhase::Settling:
        settle(now);
        return;
    case MapPhase::Preparing:
        if (!allAccepted() || !isPreparedEverywhere())
            return;
        chooseStep(now);
        enter(m_rules.holdFirst ? MapPhase::Holding : MapPhase::Arming, now);
        return;
    case MapPhase::Holding:
        if (m_ranks[detail::holdRank].accepted)
            enter(MapPhase::Arming, now);
        return;
    case MapPhase::Arming:
        if (!allAccepted() && m_rules.goLast)
            return;
        noteArmed(now);
        enter(MapPhase::Switching, now);
        return;
    case MapPhase::Switching: {
        const bool switched = std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Rank& rank) { return rank.report && rank.report->epoch == m_epoch && rank.report->version == m_target; });
        if (!switched)
            return;
        m_version = m_lastVersion = m_target;
        m_lastMap = m_map;
        m_lastReason.clear();
        enter(MapPhase::Ready, now);
        return;
    }
    }
}

void MapLeader::change(ExpertMap target, TimePoint now)
{
    if (m_phase != MapPhase::Ready)
        return;
    m_map = std::make_shared<const ExpertMap>(std::move(target));
    m_target = ++m_next;
    m_changeStarted = now;
    m_armingFrom.reset();
    m_lateHolds = 0;
    enter(MapPhase::Preparing, now);
}

} // namespace orioletrail
