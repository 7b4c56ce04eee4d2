// What this instance has seen of each endpoint's answers: failures, delays, lost connections.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

class EndpointHealth {
public:
    // An answer arrived; `failed` if it was a failure of the endpoint's own.
    void onAnswer(std::string_view endpoint, Millis firstByte, bool failed, TimePoint);

    // No connection could be made, or one was lost under a request.
    void onUnreachable(std::string_view endpoint, TimePoint);

    // It has answered nothing for so long that it is likely to have stopped.
    void onSilent(std::string_view endpoint, TimePoint);

    // True while the endpoint is best left alone, after it could not be reached or fell silent. One
    // that fell silent is tried again with requests that may be repeated first.
    bool isAvoided(std::string_view endpoint, bool isRepeatable, TimePoint) const;

    // Time without any answer after which an endpoint counts as silent.
    Millis silenceLimit(std::string_view endpoint) const;

    bool hasAnsweredSince(std::string_view endpoint, TimePoint) const;

    // Share of answers that were failures, lately.
    double failureShare(std::string_view endpoint) const;

    // Usual time to the first byte of an answer, 0 if none was seen.
    Millis firstByte(std::string_view endpoint) const;

    // Forgets an endpoint that has gone or has started anew.
    void forget(std::string_view endpoint);

private:
    struct Record {
        double failures = 0;
        double firstByteMs = 0;
        uint32_t unreachable = 0;
        TimePoint avoidUntil;
        // For requests that may not be repeated.
        TimePoint suspectUntil;
        TimePoint lastAnswer;
    };

    Record& recordOf(std::string_view endpoint);
    const Record* find(std::string_view endpoint) const;

    std::map<std::string, Record, std::less<>> m_records;
};

} // namespace orioletrail
