// Decides when to change the expert map of a group, and how far.
#pragma once

#include "expertmap/forecast.h"
#include "expertmap/placement.h"

namespace orioletrail {

struct PlannerSettings {
    ForecastSettings forecast;
    // Largest rank load, over its bound, up to which nothing is moved.
    double tolerated = 1.01;
    // A move must lower the unevenness of rank loads by this share to be made.
    double leastGain = 0.001;
    // Weights that the weight store can load in one interval, over all layers.
    uint32_t movesPerInterval = 64;
};

// Why the last plan changed the map or held back.
enum class PlanReason : uint8_t {
    // The largest rank load is within the tolerance.
    Balanced,
    // Only shares were changed, which loads nothing.
    SharesOnly,
    // Copies were moved.
    Moved,
    // Moves would save too little.
    NoGain,
    // The weight store's rate was used up.
    RateLimited,
    // An operator froze the map.
    Frozen
};

std::string_view planReasonName(PlanReason);

struct Plan {
    // One placement for each layer.
    std::vector<Placement> layers;
    uint32_t moves = 0;
    PlanReason reason = PlanReason::Balanced;
};

// Keeps a forecast of token counts for each layer and the placements in force.
class Planner {
public:
    Planner(const RankTopology& topology, const PlannerSettings& settings)
        : m_topology(topology)
        , m_settings(settings)
        , m_forecast(settings.forecast)
    {
    }

    // Takes in the token counts of the last interval, by layer and expert, and plans the next
    // one. Nothing, with `reason` set, if the experts do not fit.
    std::optional<Plan> plan(std::span<const std::vector<double>> counts, std::string& reason);

    // Takes over placements that are in force already, from an earlier planner.
    void adopt(std::vector<Placement> layers) { m_layers = std::move(layers); }

    // While frozen, the map in force stays as it is.
    void setFrozen(bool frozen) { m_frozen = frozen; }

private:
    // True if the placements in force are for as many layers and experts.
    bool fits(std::span<const std::vector<double>> counts) const;
    bool start(std::span<const std::vector<double>> counts, Plan&, std::string& reason);
    void improveLayer(size_t layer, Plan&);

    RankTopology m_topology;
    PlannerSettings m_settings;
    TokenForecast m_forecast;
    std::vector<Placement> m_layers;
    bool m_frozen = false;
};

} // namespace orioletrail
