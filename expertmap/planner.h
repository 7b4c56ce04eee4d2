// Plans changes of the expert placements of a group, at a limited rate.
#pragma once

#include "expertmap/forecast.h"
#include "expertmap/placement.h"

namespace orioletrail {

struct PlannerSettings {
    ForecastSettings forecast;
    // Largest rank load, relative to its lower bound, up to which a layer is left unchanged.
    double maxLoadRatio = 1.01;
    // Minimum relative reduction of the unevenness of rank loads for a move to be made.
    double minRelativeGain = 0.001;
    // Experts that the weight store can load per interval, for all layers together.
    uint32_t maxMovesPerInterval = 64;
};

// Why a plan changed the placements or left them unchanged.
enum class PlanReason : uint8_t {
    // The largest rank load of each layer is within the tolerance.
    Balanced,
    // Only shares of copies were changed, so no weights are loaded.
    SharesOnly,
    // Copies were moved.
    Moved,
    // No move reduces the unevenness enough.
    NoGain,
    // The moves per interval were used up.
    RateLimited,
    // An operator has frozen the map.
    Frozen
};

// Name of the reason in metrics and stored maps.
std::string_view planReasonName(PlanReason);

struct Plan {
    // One placement for each layer.
    std::vector<Placement> layers;
    // Moves made from the previous placements; 0 for the first plan.
    uint32_t moves = 0;
    PlanReason reason = PlanReason::Balanced;
};

// Keeps a forecast of the token counts and the current placement of each layer.
class Planner {
public:
    Planner(const RankTopology& topology, const PlannerSettings& settings)
        : m_topology(topology)
        , m_settings(settings)
        , m_forecast(settings.forecast)
    {
    }

    // Takes in the token counts of the last interval, by layer and expert, and plans the next interval.
    // Returns nothing and sets `reason` if the experts do not fit.
    std::optional<Plan> plan(std::span<const std::vector<double>> counts, std::string& reason);

    // Continues with placements that an earlier planner made.
    void adopt(std::vector<Placement> layers) { m_placements = std::move(layers); }

    // While frozen, the current placements are not changed.
    void setFrozen(bool frozen) { m_frozen = frozen; }

private:
    // True if the current placements have the same numbers of layers and experts as the counts.
    bool matchesPlacements(std::span<const std::vector<double>> counts) const;
    // Computes the placements of all layers from scratch.
    bool placeAllLayers(std::span<const std::vector<double>> counts, Plan&, std::string& reason);
    void improveLayer(size_t layer, Plan&);

    RankTopology m_topology;
    PlannerSettings m_settings;
    TokenForecast m_forecast;
    std::vector<Placement> m_placements;
    bool m_frozen = false;
};

} // namespace orioletrail
