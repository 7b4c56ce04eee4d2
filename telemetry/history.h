// Remembers what became of recent requests, for operators who ask about one.
#pragma once

#include "base/types.h"

#include <deque>
#include <vector>

namespace orioletrail {

struct AttemptNote {
    AttemptId id;
    std::string endpoint;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    // Since the request was received.
    Millis endedAfter { 0 };
};

struct RequestNote {
    std::string requestId;
    std::string account;
    std::string service;
    bool idempotent = false;
    std::vector<AttemptNote> attempts;
    // What the caller was told.
    unsigned status = 0;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
};

// Holds a bounded number of requests; the oldest are forgotten first.
class RequestHistory {
public:
    explicit RequestHistory(size_t capacity)
        : m_capacity(capacity)
    {
    }

    void add(RequestNote);

    // The latest request with this id, or null.
    const RequestNote* find(std::string_view requestId) const;

private:
    size_t m_capacity;
    std::deque<RequestNote> m_notes;
};

} // namespace orioletrail
