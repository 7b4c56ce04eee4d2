// Forecasts how often each expert will be chosen, from counts of past intervals.
#pragma once

#include <vector>

namespace orioletrail {

struct ForecastSettings {
    // Weight of the latest counts.
    double smoothing = 0.5;
    // Share of an interval's tokens that must have gone to other experts than forecast for the
    // forecast to be dropped: the topic has changed.
    double shiftShare = 0.25;
};

// Counts by set of layers and expert. Intervals of unequal length have to be brought to one
// scale by the caller.
class TokenForecast {
public:
    explicit TokenForecast(const ForecastSettings& settings = {})
        : m_settings(settings)
    {
    }

    void update(const std::vector<std::vector<double>>& counts);

    const std::vector<std::vector<double>>& counts() const { return m_counts; }

private:
    ForecastSettings m_settings;
    std::vector<std::vector<double>> m_counts;
};

} // namespace orioletrail
