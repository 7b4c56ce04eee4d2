#include "expertmap/planner.h"

#include <algorithm>

namespace orioletrail {

std::string_view planReasonName(PlanReason reason)
{
    switch (reason) {
    case PlanReason::Balanced:
        return "balanced";
    case PlanReason::SharesOnly:
        return "shares-only";
    case PlanReason::Moved:
        return "moved";
    case PlanReason::NoGain:
        return "no-gain";
    case PlanReason::RateLimited:
        return "rate-limited";
    case PlanReason::Frozen:
        break;
    }
    return "frozen";
}

std::optional<Plan> Planner::plan(std::span<const std::vector<double>> counts, std::string& reason)
{
    Plan plan;
    m_forecast.update({ counts.begin(), counts.end() });
    if (!matchesPlacements(counts))
        m_placements.clear();
    if (m_placements.empty()) {
        if (!placeAllLayers(counts, plan, reason))
            return std::nullopt;
        return plan;
    }
    if (m_frozen) {
        plan.reason = PlanReason::Frozen;
        plan.layers = m_placements;
        return plan;
    }
    for (size_t layer = 0; layer < m_placements.size(); ++layer)
        improveLayer(layer, plan);
    plan.layers = m_placements;
    return plan;
}

bool Planner::matchesPlacements(std::span<const std::vector<double>> counts) const
{
    return std::equal(counts.begin(), counts.end(), m_placements.begin(), m_placements.end(),
        [](const std::vector<double>& loads, const Placement& placement) { return loads.size() == placement.copies.size(); });
}

bool Planner::placeAllLayers(std::span<const std::vector<double>> counts, Plan& plan, std::string& reason)
{
    for (const std::vector<double>& loads : counts) {
        std::optional<Placement> placement = placeGreedily(loads, m_topology, reason);
        if (!placement) {
            m_placements.clear();
            return false;
        }
        m_placements.push_back(std::move(*placement));
    }
    plan.layers = m_placements;
    plan.reason = PlanReason::Moved;
    return true;
}

void Planner::improveLayer(size_t layer, Plan& plan)
{
    Placement& placement = m_placements[layer];
    const std::vector<double>& loads = m_forecast.counts()[layer];
    const double bound = largestRankLoadLowerBound(loads, m_topology);
    if (largestRankLoad(placement, loads, m_topology) <= bound * m_settings.maxLoadRatio)
        return;
    splitShares(placement, loads, m_topology);
    plan.reason = std::max(plan.reason, PlanReason::SharesOnly);
    while (largestRankLoad(placement, loads, m_topology) > bound * m_settings.maxLoadRatio) {
        if (plan.moves >= m_settings.maxMovesPerInterval) {
            plan.reason = PlanReason::RateLimited;
            return;
        }
        Placement after;
        const bool found = findBestMove(placement, loads, m_topology, after).has_value();
        const double before = unevenness(placement, loads, m_topology);
        if (!found || before - unevenness(after, loads, m_topology) < before * m_settings.minRelativeGain) {
            plan.reason = std::max(plan.reason, PlanReason::NoGain);
            return;
        }
        placement = std::move(after);
        ++plan.moves;
        plan.reason = std::max(plan.reason, PlanReason::Moved);
    }
}

} // namespace orioletrail
