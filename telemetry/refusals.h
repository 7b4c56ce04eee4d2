// Accounts for refusals by minute, so that operators can answer for each.
#pragma once

#include "base/types.h"

#include <map>
#include <vector>

namespace orioletrail {

// Refusals of one kind within one minute.
struct RefusalCount {
    // Minutes since 1970.
    int64_t minute = 0;
    std::string service;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
    uint64_t count = 0;
};

// True if the refusal counts as the system's, not as the caller's own mistake.
bool isSystemRefusal(Reason);

// Keeps counts for the last day. Also counts answers, so that a minute's share of refusals is known.
class RefusalMinutes {
public:
    void onRefusal(int64_t minute, std::string_view service, Reason, Outcome);

    void onAnswer(int64_t minute, std::string_view service);

    // All counts, oldest first.
    std::vector<RefusalCount> counts() const;

    // Answers of a service within a minute.
    uint64_t answers(int64_t minute, std::string_view service) const;

    // Minutes with at least one refusal by the system.
    size_t minutesWithRefusals() const;

private:
    struct Kind {
        std::string service;
        Reason reason = Reason::None;
        Outcome outcome = Outcome::NotRun;

        auto operator<=>(const Kind&) const = default;
    };

    struct Minute {
        std::map<Kind, uint64_t> refusals;
        std::map<std::string, uint64_t, std::less<>> answers;
    };

    Minute& at(int64_t minute);

    std::map<int64_t, Minute> m_minutes;
};

} // namespace orioletrail
