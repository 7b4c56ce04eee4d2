// Limits the number of streams at a group of engines so that the gaps between events of a stream
// stay within their objective.
#pragma once

#include "base/types.h"

namespace orioletrail {

// Cost model of the engines' passes and the limits for gaps between events. A pass is one iteration
// that all engines of the group run at the same time. Times are in milliseconds.
struct PaceProfile {
    // Steps per pass. Each pass produces one event of every stream.
    double stepsPerPass = 1;
    // Duration of a step without streams.
    double stepMs = 0;
    // Time that each stream at the endpoint adds to a step if the load is even across endpoints.
    double perStreamMs = 0;
    // Longest gap that counts as on time; 0 for a service without pace limit.
    double gapObjectiveMs = 0;
    // Longest gap with which an average answer still completes before its caller's timeout; 0 if
    // unknown.
    double maxUsefulGapMs = 0;
    // Most streams that an endpoint can run at once.
    double slots = 1;
    // Time that the slowest engine of the group takes for a step, relative to the normal time.
    double slowestFactor = 1;
};

// All ranks run each pass in lock-step, so a pass lasts as long as its most loaded rank. The load
// imbalance can't be observed directly; it is estimated from the measured gaps and the number of
// streams in flight at the time. The limit guards against a load under which all streams would be
// late, and against a slow engine, which makes every pass longer even without streams.
class PaceLimit {
public:
    // Records the gap between two events of a stream, measured while each endpoint had
    // `streamsPerEndpoint` streams on average.
    void onEventGap(double gapMs, double streamsPerEndpoint, const PaceProfile&, TimePoint);

    // Most streams that an endpoint may have on average: as many as stay on time, or more if so few
    // would stay on time that a higher throughput of late answers is worth more to callers.
    double maxStreamsPerEndpoint(const PaceProfile&) const;

    // Estimated cost of a stream relative to its cost under an even load; at least 1.
    double unevenness() const { return m_unevenness; }

    // When the last gap was taken into the estimate.
    TimePoint lastGap() const { return m_lastGap; }

private:
    double m_unevenness = 2;
    TimePoint m_lastGap;
};

} // namespace orioletrail
