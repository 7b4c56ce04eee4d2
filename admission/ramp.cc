#include "admission/ramp.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // The endpoint's cache counts as lost if its hit rate falls below this share of the average.
    constexpr double cacheLossRatio = 0.3;
    // A drop in the hit rate is ignored if the average is not above this.
    constexpr double minMeanHitRate = 0.2;
    // Weight of a new sample in the moving averages.
    constexpr double sampleWeight = 0.1;
    // A time to first byte up to this is never slow, whatever the average is.
    constexpr double minSlowMs = 50;

} // namespace detail

void Ramp::onReport(const LoadReport& report)
{
    const bool restarted = m_start && report.start != m_start;
    const bool cacheLost = m_meanHitRate > detail::minMeanHitRate && report.cacheHitRate < m_meanHitRate * detail::cacheLossRatio;
    m_start = report.start;
    if (!isProbed())
        m_limit = std::min(m_settings.coldLimit, m_settings.warmLimit);
    else if (restarted || cacheLost)
        turnCold();
    m_meanHitRate += detail::sampleWeight * (report.cacheHitRate - m_meanHitRate);
}

void Ramp::onCompleted(Millis firstByte, bool failed)
{
    const auto elapsed = static_cast<double>(firstByte.count());
    const bool hasMean = m_meanFirstByteMs > 0;
    const bool slow = hasMean && elapsed > std::max(detail::minSlowMs, m_meanFirstByteMs * m_settings.slowFactor);
    if (!failed && !slow) {
        m_meanFirstByteMs = hasMean ? m_meanFirstByteMs + detail::sampleWeight * (elapsed - m_meanFirstByteMs) : elapsed;
        m_unhealthyInRow = 0;
        grow();
        return;
    }
    if (++m_unhealthyInRow >= m_settings.unhealthyInRow)
        turnCold();
}

void Ramp::onLost()
{
    m_limit = 0;
    m_healthyCompletions = 0;
    m_unhealthyInRow = 0;
}

void Ramp::restart()
{
    if (isProbed())
        m_limit = std::min(m_limit, m_settings.coldLimit);
    m_healthyCompletions = 0;
    m_unhealthyInRow = 0;
}

void Ramp::turnCold()
{
    m_meanHitRate = 0;
    if (m_limit > m_settings.coldLimit)
        ++m_coldCuts;
    restart();
}

void Ramp::grow()
{
    if (!isProbed())
        return;
    m_healthyCompletions = std::min(m_healthyCompletions + 1, m_settings.warmAfter);
    const uint32_t range = m_settings.warmLimit - m_settings.coldLimit;
    m_limit = m_settings.coldLimit + range * m_healthyCompletions / m_settings.warmAfter;
}

} // namespace orioletrail
