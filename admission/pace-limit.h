// Limits how many streams a group of engines holds, so that the pauses between events stay within
// what callers bear.
#pragma once

#include "base/types.h"

namespace orioletrail {

// Parameters of the engines' passes, in milliseconds.
struct PaceProfile {
    // Steps of a pass; each pass yields one event of every stream.
    double stepsPerPass = 1;
    double stepMs = 0;
    // Added to a step by each stream that the endpoint holds, when work is spread evenly.
    double perStreamMs = 0;
    // Longest pause that is on time.
    double gapObjectiveMs = 0;
    // Longest pause with which a usual answer is still whole when its caller's time is over; 0 if
    // that is not known.
    double bearableGapMs = 0;
    // Streams that an endpoint can hold.
    double slots = 1;
    // Time that the slowest engine of the group takes for its work, against the usual one.
    double slowest = 1;
};

// Ranks run each pass together, and a pass lasts as long as its most loaded rank. How uneven the
// load is shows only in the pauses: the limit follows from the pauses that are seen and the
// streams that were held meanwhile. Answers a load under which all streams would be late, and a
// slow engine, for which all passes take longer even without streams.
class PaceLimit {
public:
    // A pause between two events of a stream, while each endpoint held so many streams on average.
    void onGap(double gapMs, double streamsPerEndpoint, const PaceProfile&, TimePoint);

    // Streams that an endpoint may hold on average: as many as are on time, or more if so few would
    // be on time that callers get more from late answers.
    double streamsPerEndpoint(const PaceProfile&) const;

    // Cost of a stream against its cost under an even load; at least 1.
    double unevenness() const { return m_unevenness; }

private:
    double m_unevenness = 2;
    TimePoint m_last;
};

} // namespace orioletrail
