// Forecasts the number of tokens of each expert by exponential smoothing of past counts.
#pragma once

#include <vector>

namespace orioletrail {

struct ForecastSettings {
    // Weight of the latest counts in the moving average, 0 to 1.
    double smoothing = 0.5;
    // If more than this share of the tokens of an interval went to other experts than forecast, the
    // topic of the requests has changed: the latest counts replace the forecast.
    double topicChangeShare = 0.25;
};

// Keeps a forecast of token counts by layer set and expert, where each set is checked for a change
// of topic by itself. The caller scales the counts if intervals differ in length.
class TokenForecast {
public:
    explicit TokenForecast(const ForecastSettings& settings = {})
        : m_settings(settings)
    {
    }

    // Takes in the counts of one interval. The first counts become the forecast as they are.
    void update(const std::vector<std::vector<double>>& counts);

    // The forecast for the next interval; empty before the first update.
    const std::vector<std::vector<double>>& counts() const { return m_counts; }

private:
    ForecastSettings m_settings;
    std::vector<std::vector<double>> m_counts;
};

} // namespace orioletrail
