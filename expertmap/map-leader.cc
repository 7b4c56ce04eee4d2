#include "expertmap/map-leader.h"

#include <algorithm>
#include <array>

namespace orioletrail {

namespace detail {

    // Rank at which the group is held during a change.
    constexpr uint32_t holdRank = 0;
    // Weight of the latest rate in the moving average of passes per second.
    constexpr double passRateWeight = 0.3;
    // The minimum pass margin doubles with each order to hold that came too late, up to this often.
    constexpr uint32_t maxMarginDoublings = 6;
    // Bounds the time that a group waits at the pass for ranks that no longer answer.
    constexpr Millis maxArmTime { 1500 };

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

void MapLeader::startLeading(uint64_t base, TimePoint now)
{
    m_lastNumber = base;
    startOver("started to lead", now);
}

void MapLeader::resign()
{
    m_phase = MapPhase::Idle;
}

std::shared_ptr<const ExpertMap> MapLeader::completedMap(uint64_t version) const
{
    return m_completedMap && version == m_completedVersion ? m_completedMap : nullptr;
}

void MapLeader::enterPhase(MapPhase phase, TimePoint now)
{
    m_phase = phase;
    m_phaseEntered = now;
    for (RankState& rank : m_ranks) {
        rank.accepted = false;
        rank.inFlight = false;
    }
}

void MapLeader::startOver(std::string reason, TimePoint now)
{
    m_lastReason = std::move(reason);
    m_fence = ++m_lastNumber;
    enterPhase(MapPhase::Fencing, now);
    if (!m_rules.fenceFirst) {
        m_freshSince = now;
        enterPhase(MapPhase::Settling, now);
    }
}

MapOrder MapLeader::makeOrder(MapOrderKind kind, uint32_t rank) const
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
        // Ranks refuse orders for another epoch, so wait for a report that shows it.
        if (!m_epoch)
            return std::nullopt;
        // No rank has this version, so the only effect is that the rank stores the fencing token.
        order = makeOrder(MapOrderKind::Disarm, rank);
        order.version = m_fence;
        return order;
    case MapPhase::Settling:
        return settlingOrder(rank);
    case MapPhase::Ready: {
        // A delayed copy of an order to hold has taken effect: release the rank again.
        const auto& report = m_ranks[rank].report;
        if (!report || !report->held)
            return std::nullopt;
        order = makeOrder(MapOrderKind::Go, rank);
        order.step = *report->held;
        return order;
    }
    case MapPhase::Preparing:
        order = makeOrder(MapOrderKind::Prepare, rank);
        order.version = m_targetVersion;
        order.map = m_targetMap;
        return order;
    case MapPhase::Holding:
    case MapPhase::Switching:
        if (rank != detail::holdRank)
            return std::nullopt;
        order = makeOrder(m_phase == MapPhase::Holding ? MapOrderKind::Hold : MapOrderKind::Go, rank);
        order.step = m_step;
        return order;
    case MapPhase::Arming:
        order = makeOrder(MapOrderKind::Arm, rank);
        order.version = m_targetVersion;
        order.step = m_step;
        return order;
    }
    return std::nullopt;
}

std::optional<MapOrder> MapLeader::settlingOrder(uint32_t rank) const
{
    if (!hasFreshReports())
        return std::nullopt;
    const RankReport& report = *m_ranks[rank].report;
    const size_t armed = armedCount();
    const bool completeSwitch = isArmedAlike() && m_rules.completeArmed;
    if (armed && !completeSwitch) {
        if (!report.armed)
            return std::nullopt;
        MapOrder order = makeOrder(MapOrderKind::Disarm, rank);
        order.version = report.armed->first;
        if (m_rules.releaseLast || !report.held)
            return order;
    }
    if (!report.held)
        return std::nullopt;
    MapOrder order = makeOrder(MapOrderKind::Go, rank);
    order.step = *report.held;
    return order;
}

std::vector<MapOrder> MapLeader::orders(TimePoint now)
{
    std::vector<MapOrder> orders;
    const bool isChanging = m_phase >= MapPhase::Preparing && m_phase < MapPhase::Switching;
    if (isChanging && now - m_changeStarted > m_settings.changeTimeout)
        startOver("the change timed out", now);
    addDueOrders(orders, now);
    return orders;
}

void MapLeader::addDueOrders(std::vector<MapOrder>& orders, TimePoint now)
{
    for (uint32_t rank = 0; rank < m_ranks.size(); ++rank) {
        RankState& state = m_ranks[rank];
        if (state.accepted || state.inFlight || now - state.sentAt < (state.sentAt >= m_phaseEntered ? m_settings.resendInterval : Millis(0)))
            continue;
        std::optional<MapOrder> order = orderFor(rank);
        if (!order)
            continue;
        if (order->kind == MapOrderKind::Arm && !m_armingStarted)
            m_armingStarted = now;
        // A delayed copy of this order would release a later hold at the same pass, so the group is
        // never held at this pass again.
        if (order->kind == MapOrderKind::Go && m_rules.neverReuseReleasedPass)
            m_step = std::max(m_step, order->step);
        state.inFlight = true;
        state.sentAt = now;
        orders.push_back(std::move(*order));
    }
}

void MapLeader::postpone(const MapOrder& order)
{
    RankState& rank = m_ranks[order.rank];
    rank.inFlight = false;
    rank.sentAt = TimePoint();
}

bool MapLeader::needsReports(TimePoint now) const
{
    if (m_phase == MapPhase::Idle)
        return false;
    return now - m_reportsRequested >= (m_phase == MapPhase::Ready ? m_settings.idleReportInterval : m_settings.busyReportInterval);
}

void MapLeader::onReport(const RankReport& report, TimePoint asOf, TimePoint now)
{
    if (m_phase == MapPhase::Idle || report.rank >= m_ranks.size())
        return;
    RankState& rank = m_ranks[report.rank];
    if (rank.report && (asOf < rank.asOf || report.epoch < rank.report->epoch))
        return;
    if (report.rank == detail::holdRank && rank.report)
        updatePassRate(*rank.report, rank.asOf, report, asOf);
    rank.report = report;
    rank.asOf = asOf;
    // A delayed copy of Hold took effect after Go: send Go again.
    if (m_phase == MapPhase::Switching && report.held == m_step && asOf >= rank.sentAt)
        rank.accepted = false;
    if (report.epoch > m_epoch) {
        m_epoch = report.epoch;
        m_step = 0;
        startOver("the group was formed again with a new epoch", now);
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
    RankState& rank = m_ranks[order.rank];
    // Cleared even if the order is no longer needed, since the rank may need another one.
    rank.inFlight = false;
    const std::optional<MapOrder> expected = orderFor(order.rank);
    const bool isCurrent = expected && expected->kind == order.kind && expected->version == order.version && expected->step == order.step;
    if (!isCurrent || answer == OrderAnswer::Unknown)
        return;
    if (answer == OrderAnswer::Accepted) {
        if (m_phase == MapPhase::Settling || m_phase == MapPhase::Ready) {
            // The next order depends on reports that show the effect of this one.
            m_freshSince = now;
            if (rank.report && order.kind == MapOrderKind::Go)
                rank.report->held.reset();
            return;
        }
        rank.accepted = true;
        advance(now);
        return;
    }
    // The answer is a conflict. If the pass to hold at has already started, a later one is tried. An
    // existing hold, or a conflict with Prepare or Arm, abandons the change: the group may be held, so
    // what has begun must be undone.
    if (m_phase == MapPhase::Holding) {
        if (rank.report && rank.report->held)
            startOver("a rank is held at another pass", now);
        else {
            ++m_lateHolds;
            rank.sentAt = TimePoint();
            chooseStep(now);
        }
        return;
    }
    if (m_phase == MapPhase::Preparing || m_phase == MapPhase::Arming)
        startOver(std::string(mapOrderName(order.kind)) + " conflicts with the state of rank " + std::to_string(order.rank), now);
}

bool MapLeader::allAccepted() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [](const RankState& rank) { return rank.accepted; });
}

bool MapLeader::hasFreshReports() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const RankState& rank) {
        return rank.report && rank.report->epoch == m_epoch && rank.report->open && (rank.asOf >= m_freshSince || !m_rules.requireFreshReports);
    });
}

size_t MapLeader::armedCount() const
{
    return static_cast<size_t>(std::count_if(m_ranks.begin(), m_ranks.end(), [](const RankState& rank) { return rank.report && rank.report->armed; }));
}

bool MapLeader::isArmedAlike() const
{
    const auto& first = m_ranks.front().report;
    return first && first->armed && std::all_of(m_ranks.begin(), m_ranks.end(), [&](const RankState& rank) { return rank.report && rank.report->armed == first->armed; });
}

bool MapLeader::isAnyHeld() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [](const RankState& rank) { return rank.report && rank.report->held; });
}

bool MapLeader::isPreparedEverywhere() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const RankState& rank) { return rank.report && rank.report->epoch == m_epoch && rank.report->prepared == m_targetVersion; });
}

uint64_t MapLeader::expectedStep(TimePoint at) const
{
    uint64_t latest = 0;
    for (const RankState& rank : m_ranks) {
        if (!rank.report || rank.report->epoch != m_epoch)
            continue;
        const double passes = m_passesPerSecond * std::chrono::duration<double>(at - rank.asOf).count();
        latest = std::max(latest, rank.report->step + static_cast<uint64_t>(std::max(0.0, passes)));
    }
    return latest;
}

void MapLeader::updatePassRate(const RankReport& before, TimePoint asOfBefore, const RankReport& after, TimePoint asOf)
{
    const double seconds = std::chrono::duration<double>(asOf - asOfBefore).count();
    if (before.epoch != after.epoch || after.step < before.step || seconds <= 0)
        return;
    m_passesPerSecond += detail::passRateWeight * (static_cast<double>(after.step - before.step) / seconds - m_passesPerSecond);
}

void MapLeader::updateArmTime(TimePoint now)
{
    const Millis took = std::chrono::duration_cast<Millis>(now - m_armingStarted.value_or(now));
    m_armTime = std::min(detail::maxArmTime, std::max(took, (m_armTime + took) / 2));
    m_armingStarted.reset();
}

void MapLeader::chooseStep(TimePoint now)
{
    m_step = std::max(m_step + 1, expectedStep(now + m_settings.holdOrderTime + m_armTime) + (m_settings.minPassMargin << std::min(m_lateHolds, detail::maxMarginDoublings)));
}

void MapLeader::finishSettling(TimePoint now)
{
    if (!hasFreshReports() || armedCount() || isAnyHeld())
        return;
    const uint64_t version = m_ranks.front().report->version;
    if (!std::all_of(m_ranks.begin(), m_ranks.end(), [&](const RankState& rank) { return rank.report->version == version; }))
        return;
    m_version = version;
    enterPhase(MapPhase::Ready, now);
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
        m_freshSince = now;
        enterPhase(MapPhase::Settling, now);
        return;
    case MapPhase::Settling:
        finishSettling(now);
        return;
    case MapPhase::Preparing:
        if (!allAccepted() || !isPreparedEverywhere())
            return;
        chooseStep(now);
        enterPhase(m_rules.holdFirst ? MapPhase::Holding : MapPhase::Arming, now);
        return;
    case MapPhase::Holding:
        if (m_ranks[detail::holdRank].accepted)
            enterPhase(MapPhase::Arming, now);
        return;
    case MapPhase::Arming:
        if (!allAccepted() && m_rules.releaseLast)
            return;
        updateArmTime(now);
        enterPhase(MapPhase::Switching, now);
        return;
    case MapPhase::Switching: {
        const bool switched = std::all_of(m_ranks.begin(), m_ranks.end(), [&](const RankState& rank) { return rank.report && rank.report->epoch == m_epoch && rank.report->version == m_targetVersion; });
        if (!switched)
            return;
        m_version = m_completedVersion = m_targetVersion;
        m_completedMap = m_targetMap;
        m_lastReason.clear();
        enterPhase(MapPhase::Ready, now);
        return;
    }
    }
}

void MapLeader::startChange(ExpertMap target, TimePoint now)
{
    if (m_phase != MapPhase::Ready)
        return;
    m_targetMap = std::make_shared<const ExpertMap>(std::move(target));
    m_targetVersion = ++m_lastNumber;
    m_changeStarted = now;
    m_armingStarted.reset();
    m_lateHolds = 0;
    enterPhase(MapPhase::Preparing, now);
}

} // namespace orioletrail
