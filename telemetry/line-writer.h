// Rate-limited, non-blocking output of log lines.
#pragma once

#include "base/types.h"

namespace orioletrail {

struct LineRateSettings {
    // Sustained rate in lines per second. At about 600 bytes per line, 400 lines/s are a tenth of a
    // machine's network link of 20 Mbit/s.
    double perSecond = 400;
    // Lines that may be written at once after a period without any.
    double burst = 2000;
};

// Token bucket that limits the rate of lines and counts the dropped ones. Not thread-safe.
class LineRateLimiter {
public:
    explicit LineRateLimiter(const LineRateSettings& settings = {})
        : m_settings(settings)
        , m_tokens(settings.burst)
    {
    }

    // Returns whether a line may be written now. If not, counts it as dropped.
    bool tryAcquire(TimePoint);

    // Counts a line as dropped that was allowed but could not be written.
    void countDropped() { ++m_dropped; }

    // Lines dropped since the last resetDropped().
    uint64_t dropped() const { return m_dropped; }

    // Resets the count after it has been reported.
    void resetDropped() { m_dropped = 0; }

private:
    LineRateSettings m_settings;
    double m_tokens;
    TimePoint m_lastRefill;
    uint64_t m_dropped = 0;
};

// Writes a line if the descriptor accepts it without blocking, and returns whether it did. Lines
// longer than PIPE_BUF bytes are not written, since a pipe takes only shorter writes atomically.
bool tryWriteLine(int descriptor, std::string_view line);

} // namespace orioletrail
