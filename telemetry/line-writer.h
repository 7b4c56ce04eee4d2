// Writes log lines to a descriptor without ever waiting for its reader.
#pragma once

#include "base/types.h"

namespace orioletrail {

struct LineBudgetSettings {
    // Lines a second in the long run, and at once after a quiet time. At some 600 bytes a line, a
    // tenth of a machine's link of 20 Mbit/s.
    double perSecond = 400;
    double burst = 2000;
};

// Bounds the number of lines, and counts those that were left out.
class LineBudget {
public:
    explicit LineBudget(const LineBudgetSettings& settings = {})
        : m_settings(settings)
        , m_lines(settings.burst)
    {
    }

    // Takes one line, or counts it as left out.
    bool take(TimePoint);

    // A line that was taken could not be written after all.
    void onDropped() { ++m_dropped; }

    uint64_t dropped() const { return m_dropped; }

    // The lines left out so far have been reported.
    void onReported() { m_dropped = 0; }

private:
    LineBudgetSettings m_settings;
    double m_lines;
    TimePoint m_last;
    uint64_t m_dropped = 0;
};

// Writes a whole line if the descriptor takes it now. A pipe takes lines of up to PIPE_BUF bytes
// in one piece; a longer one is left out. Returns whether it was written.
bool writeLineNow(int descriptor, std::string_view line);

} // namespace orioletrail
