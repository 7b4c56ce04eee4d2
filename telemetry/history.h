// Keeps the attempts and the result of recent requests, for operators who look up one of them.
#pragma once

#include "base/types.h"

#include <deque>
#include <vector>

namespace orioletrail {

// One finished attempt at a request.
struct AttemptNote {
    AttemptId id;
    std::string endpoint;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    // From receiving the request to the end of the attempt.
    Millis endedAfter { 0 };
};

// One finished request.
struct RequestNote {
    std::string requestId;
    std::string account;
    std::string service;
    bool idempotent = false;
    std::vector<AttemptNote> attempts;
    // The response to the caller: its HTTP status and, of a refusal, the reason and whether the
    // request may have run.
    unsigned status = 0;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
};

// Holds up to `capacity` requests; discards the oldest first.
class RequestHistory {
public:
    explicit RequestHistory(size_t capacity)
        : m_capacity(capacity)
    {
    }

    void add(RequestNote);

    // Returns the most recently added request with this id, or null. add() invalidates the pointer.
    const RequestNote* find(std::string_view requestId) const;

private:
    size_t m_capacity;
    std::deque<RequestNote> m_requests;
};

} // namespace orioletrail
