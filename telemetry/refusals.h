// Counts refusals per minute, so that operators can account for each of them.
#pragma once

#include "base/types.h"

#include <map>
#include <vector>

namespace orioletrail {

// The number of refusals with the same service, reason and outcome within one minute.
struct RefusalCount {
    // Minutes since the Unix epoch.
    int64_t minute = 0;
    std::string service;
    Reason reason = Reason::None;
    Outcome outcome = Outcome::NotRun;
    uint64_t count = 0;
};

// Returns false if the caller caused the refusal, as with malformed or unauthorized requests, its
// account limit or its own disconnect; true if the system did.
bool isSystemRefusal(Reason);

// Keeps the counts of the last day. Also counts answered requests, so that the share of refusals
// within a minute can be computed. Minutes are counted from the Unix epoch.
class RefusalMinutes {
public:
    // Counts one refused request. `service` may be empty if none was determined.
    void onRefusal(int64_t minute, std::string_view service, Reason, Outcome);

    // Counts one answered request.
    void onAnswer(int64_t minute, std::string_view service);

    // Returns all counts of refusals, ordered from the oldest minute to the latest.
    std::vector<RefusalCount> counts() const;

    // Returns the number of answered requests of a service within a minute.
    uint64_t answers(int64_t minute, std::string_view service) const;

    // Returns the number of minutes with at least one refusal for which isSystemRefusal() holds.
    size_t minutesWithRefusals() const;

private:
    struct RefusalKey {
        std::string service;
        Reason reason = Reason::None;
        Outcome outcome = Outcome::NotRun;

        auto operator<=>(const RefusalKey&) const = default;
    };

    struct MinuteCounts {
        std::map<RefusalKey, uint64_t> refusals;
        std::map<std::string, uint64_t, std::less<>> answers;
    };

    // Returns the counts of a minute, which it adds if needed; removes the oldest beyond the limit.
    MinuteCounts& countsOf(int64_t minute);

    std::map<int64_t, MinuteCounts> m_minutes;
};

} // namespace orioletrail
