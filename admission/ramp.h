// Slow start: limits the attempts in flight at an endpoint until completed work has warmed it up.
#pragma once

#include "base/types.h"

namespace orioletrail {

struct RampSettings {
    // Limit of attempts in flight at an endpoint that has just passed its probe or turned cold.
    uint32_t coldLimit = 2;
    // Limit of attempts in flight at a warm endpoint.
    uint32_t warmLimit = 32;
    // Healthy completions after which an endpoint is warm. The limit grows linearly with them.
    uint32_t warmAfter = 64;
    // A completion is unhealthy if its time to first byte exceeds the average by this factor.
    double slowFactor = 4.0;
    // Consecutive unhealthy completions after which the endpoint counts as cold.
    uint32_t unhealthyInRow = 3;
};

// An endpoint's report about itself, which arrives with a delay.
struct LoadReport {
    // Identifies the endpoint process; a different value means that it has restarted.
    uint64_t start = 0;
    uint32_t inFlight = 0;
    // Hit rate of the prefix cache, 0 to 1.
    double cacheHitRate = 0;
};

// The limit of attempts in flight at one endpoint. It is 0 before the first report, coldLimit after
// it, and grows to warmLimit with healthy completions, never with time. A restart of the endpoint,
// a drop in its cache hit rate, or a series of slow or failed attempts cuts it back to coldLimit.
class Ramp {
public:
    explicit Ramp(const RampSettings& settings)
        : m_settings(settings)
    {
    }

    uint32_t limit() const { return m_limit; }

    // True once a report has arrived, until the endpoint is lost.
    bool isProbed() const { return m_limit != 0; }

    void onReport(const LoadReport&);

    // An attempt completed. `firstByte` is the time to its first byte; `failed` is true if the
    // endpoint answered with a failure.
    void onCompleted(Millis firstByte, bool failed);

    // The endpoint is unreachable or has died: the limit is 0 until the next report.
    void onLost();

    // Falls back to coldLimit, for an endpoint that has been idle.
    void restart();

    // Number of times that the limit was cut because the endpoint turned cold.
    uint32_t coldCuts() const { return m_coldCuts; }

private:
    void turnCold();
    void grow();

    RampSettings m_settings;
    uint32_t m_limit = 0;
    uint32_t m_healthyCompletions = 0;
    uint32_t m_unhealthyInRow = 0;
    uint32_t m_coldCuts = 0;
    uint64_t m_start = 0;
    double m_meanHitRate = 0;
    double m_meanFirstByteMs = 0;
};

} // namespace orioletrail
