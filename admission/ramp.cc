#include "admission/ramp.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // A hit rate below this share of the usual one marks the cache as lost.
    constexpr double hitRateDrop = 0.3;
    // Hit rates below this are too low to show a fall.
    constexpr double hitRateFloor = 0.2;
    constexpr double smoothing = 0.1;
    // First bytes faster than this are never slow, whatever the usual time is.
    constexpr double slowFloorMs = 50;

} // namespace detail

void Ramp::onReport(const LoadReport& report)
{
    const bool restarted = m_start && report.start != m_start;
    const bool cacheLost = m_usualHitRate > detail::hitRateFloor && report.cacheHitRate < m_usualHitRate * detail::hitRateDrop;
    m_start = report.start;
    if (!isProbed())
        m_limit = std::min(m_settings.coldLimit, m_settings.warmLimit);
    else if (restarted || cacheLost)
        turnCold();
    m_usualHitRate += detail::smoothing * (report.cacheHitRate - m_usualHitRate);
}

void Ramp::onCompleted(Millis firstByte, bool failed)
{
    const auto elapsed = static_cast<double>(firstByte.count());
    const bool known = m_usualFirstByteMs > 0;
    const bool slow = known && elapsed > std::max(detail::slowFloorMs, m_usualFirstByteMs * m_settings.slowFactor);
    if (!failed && !slow) {
        m_usualFirstByteMs = known ? m_usualFirstByteMs + detail::smoothing * (elapsed - m_usualFirstByteMs) : elapsed;
        m_slow = 0;
        grow();
        return;
    }
    if (++m_slow >= m_settings.slowInRow)
        turnCold();
}

void Ramp::onLost()
{
    m_limit = 0;
    m_healthy = 0;
    m_slow = 0;
}

void Ramp::restart()
{
    if (isProbed())
        m_limit = std::min(m_limit, m_settings.coldLimit);
    m_healthy = 0;
    m_slow = 0;
}

void Ramp::turnCold()
{
    m_usualHitRate = 0;
    if (m_limit > m_settings.coldLimit)
        ++m_coldCuts;
    restart();
}

void Ramp::grow()
{
    if (!isProbed())
        return;
    m_healthy = std::min(m_healthy + 1, m_settings.warmAfter);
    const uint32_t range = m_settings.warmLimit - m_settings.coldLimit;
    m_limit = m_settings.coldLimit + range * m_healthy / m_settings.warmAfter;
}

} // namespace orioletrail
