#include "expertmap/forecast.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    bool hasShifted(const std::vector<double>& forecast, const std::vector<double>& counts, double share)
    {
        double total = 0;
        double elsewhere = 0;
        for (size_t expert = 0; expert < counts.size(); ++expert) {
            total += counts[expert];
            elsewhere += std::max(0.0, counts[expert] - forecast[expert]);
        }
        return elsewhere > share * total;
    }

} // namespace detail

void TokenForecast::update(const std::vector<std::vector<double>>& counts)
{
    if (m_counts.size() != counts.size()) {
        m_counts = counts;
        return;
    }
    for (size_t set = 0; set < counts.size(); ++set) {
        const double smoothing = detail::hasShifted(m_counts[set], counts[set], m_settings.shiftShare) ? 1 : m_settings.smoothing;
        for (size_t expert = 0; expert < counts[set].size(); ++expert)
            m_counts[set][expert] += smoothing * (counts[set][expert] - m_counts[set][expert]);
    }
}

} // namespace orioletrail
