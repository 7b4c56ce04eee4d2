// Passive health checks: failures, delays and lost connections of each endpoint as observed by this
// instance.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

class EndpointHealth {
public:
    // An answer arrived. `firstByte` is the time to its first byte; `failed` is true if the
    // endpoint answered with a failure. Ends any backoff.
    void onAnswer(std::string_view endpoint, Millis firstByte, bool failed, TimePoint);

    // A connection could not be made, or was lost during a request. The endpoint is avoided with
    // exponential backoff.
    void onUnreachable(std::string_view endpoint, TimePoint);

    // The endpoint has not answered within its silence limit and has probably stopped.
    void onSilent(std::string_view endpoint, TimePoint);

    // True while the endpoint should be avoided, after it was unreachable or silent. A silent
    // endpoint is avoided for longer by non-idempotent requests, so that idempotent ones test it
    // first.
    bool isAvoided(std::string_view endpoint, bool isIdempotent, TimePoint) const;

    // Time without any answer after which the endpoint counts as silent.
    Millis silenceLimit(std::string_view endpoint) const;

    // True if the endpoint gave an answer at or after the given time.
    bool hasAnsweredSince(std::string_view endpoint, TimePoint) const;

    // Moving average of the share of answers that were failures, 0 to 1.
    double failureShare(std::string_view endpoint) const;

    // Moving average of the time to the first byte of an answer, 0 if there was none.
    Millis meanFirstByte(std::string_view endpoint) const;

    // Drops the record of an endpoint that is gone or has restarted.
    void removeEndpoint(std::string_view endpoint);

private:
    struct Record {
        double failureShare = 0;
        double meanFirstByteMs = 0;
        uint32_t consecutiveUnreachable = 0;
        TimePoint avoidUntil;
        // Applies to non-idempotent requests in addition to `avoidUntil`.
        TimePoint avoidNonIdempotentUntil;
        TimePoint lastAnswer;
    };

    Record& recordOf(std::string_view endpoint);
    const Record* find(std::string_view endpoint) const;

    std::map<std::string, Record, std::less<>> m_records;
};

} // namespace orioletrail
