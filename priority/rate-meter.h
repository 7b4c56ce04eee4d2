// Measures events per second.
#pragma once

#include "base/types.h"

#include <cmath>

namespace orioletrail {

// Exponentially weighted count of events, which counts an event less the longer ago it was.
class DecayingCount {
public:
    explicit DecayingCount(double timeConstantSeconds)
        : m_timeConstant(timeConstantSeconds)
    {
    }

    void add(TimePoint now, double amount = 1)
    {
        m_value = value(now) + amount;
        m_updated = now;
    }

    double value(TimePoint now) const { return m_value * std::exp(-std::chrono::duration<double>(now - m_updated).count() / m_timeConstant); }
    double perSecond(TimePoint now) const { return value(now) / m_timeConstant; }

private:
    double m_timeConstant;
    double m_value = 0;
    TimePoint m_updated;
};

} // namespace orioletrail
