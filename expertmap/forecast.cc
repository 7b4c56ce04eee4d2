#include "expertmap/forecast.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    bool hasTopicChanged(const std::vector<double>& forecast, const std::vector<double>& counts, double share)
    {
        double total = 0;
        double aboveForecast = 0;
        for (size_t expert = 0; expert < counts.size(); ++expert) {
            total += counts[expert];
            aboveForecast += std::max(0.0, counts[expert] - forecast[expert]);
        }
        return aboveForecast > share * total;
    }

} // namespace detail

void TokenForecast::update(const std::vector<std::vector<double>>& counts)
{
    if (m_counts.size() != counts.size()) {
        m_counts = counts;
        return;
    }
    for (size_t set = 0; set < counts.size(); ++set) {
        const double weight = detail::hasTopicChanged(m_counts[set], counts[set], m_settings.topicChangeShare) ? 1 : m_settings.smoothing;
        for (size_t expert = 0; expert < counts[set].size(); ++expert)
            m_counts[set][expert] += weight * (counts[set][expert] - m_counts[set][expert]);
    }
}

} // namespace orioletrail
