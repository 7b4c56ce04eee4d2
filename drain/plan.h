// Decides which requests a process takes after its stop signal.
#pragma once

#include "base/types.h"

namespace orioletrail {

struct DrainSettings {
    // From the stop signal until the platform kills the process.
    Millis grace { 8000 };
    // Late requests are taken for this long at most. The load balancer in front needs some time to stop sending them.
    Millis acceptFor { 3000 };
};

// What is known of a request when it is to be taken, or sent to an endpoint.
struct DrainRequest {
    // By then it is answered or refused.
    TimePoint deadline;
    // How long its answer is expected to take, nothing if that is unknown.
    std::optional<Millis> expected;
    bool isIdempotent = false;
};

// The end of a process: until answerBy() requests that were taken may go on, until closeBy() their last answers are
// written.
class DrainPlan {
public:
    DrainPlan(TimePoint stopped, const DrainSettings&);

    // Whether a request that has arrived may be taken. Refusing it costs little, since it has not run.
    bool mayTake(const DrainRequest&, TimePoint now) const;

    // Whether a request that was taken may be sent to an endpoint. It must be answered before answerBy(): one that is not
    // idempotent whatever it takes, since its caller cannot repeat it, any other as far as is known.
    bool maySend(const DrainRequest&, TimePoint now) const;

    TimePoint answerBy() const { return m_answerBy; }
    TimePoint closeBy() const { return m_closeBy; }

private:
    TimePoint m_acceptUntil;
    TimePoint m_answerBy;
    TimePoint m_closeBy;
};

} // namespace orioletrail
