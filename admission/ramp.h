// Decides how much an endpoint can bear now, from probes, load reports and completed work.
#pragma once

#include "base/types.h"

namespace orioletrail {

struct RampSettings {
    // The limit of an endpoint that has just passed its probe or turned cold.
    uint32_t coldLimit = 2;
    // The limit of a warm endpoint.
    uint32_t warmLimit = 32;
    // Healthy completions that warm an endpoint up. What it bears is taken to grow in
    // proportion to them.
    uint32_t warmAfter = 64;
    // A first byte this many times later than the usual one counts as unhealthy.
    double slowFactor = 4.0;
    // Unhealthy completions in a row that mark the endpoint cold.
    uint32_t slowInRow = 3;
};

// What an endpoint says of itself, with a lag.
struct LoadReport {
    // Changes whenever the endpoint process starts.
    uint64_t start = 0;
    uint32_t inFlight = 0;
    // Share of prompts found in the prefix cache, 0 to 1.
    double cacheHitRate = 0;
};

// The limit starts at 0, is coldLimit after the first report, and grows from there to warmLimit
// with completed healthy work, never with time. Any sign of a cold endpoint cuts it back.
class Ramp {
public:
    explicit Ramp(const RampSettings& settings)
        : m_settings(settings)
    {
    }

    uint32_t limit() const { return m_limit; }

    // True once the endpoint has answered a probe and has not been lost since.
    bool isProbed() const { return m_limit != 0; }

    void onReport(const LoadReport&);

    // A completed attempt: the time to its first byte, and whether the endpoint failed it.
    void onCompleted(Millis firstByte, bool failed);

    // The endpoint cannot be reached or has died.
    void onLost();

    // Starts again from coldLimit, after a time without work.
    void restart();

    // How often the limit was cut because the endpoint turned cold.
    uint32_t coldCuts() const { return m_coldCuts; }

private:
    void turnCold();
    void grow();

    RampSettings m_settings;
    uint32_t m_limit = 0;
    uint32_t m_healthy = 0;
    uint32_t m_slow = 0;
    uint32_t m_coldCuts = 0;
    uint64_t m_start = 0;
    double m_usualHitRate = 0;
    double m_usualFirstByteMs = 0;
};

} // namespace orioletrail
