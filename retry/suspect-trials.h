// Limits the attempts with requests that may crash the endpoints that run them.
#pragma once

#include "retry/poison.h"

#include <span>

namespace orioletrail {

enum class SuspectDecision : uint8_t {
    Run,
    // Not now and not here: another attempt is to show whether the request is at fault.
    Hold,
    Refuse
};

// A request that has been lost with endpoints and never completed may arrive at many instances at once. Each instance runs
// one attempt with it at a time, and once the records are in doubt only few instances do, so that a request at fault costs
// few more endpoints before all know. Which ones is decided by rendezvous hashing among the live instances, and changes
// with time, since a caller may reach others.
class SuspectTrials {
public:
    // Instances that may try a request at a time.
    static constexpr size_t testers = 2;
    // After this time without another death other instances may try it.
    static constexpr Millis turn { 5000 };
    // Instances do not count the time since a death from the same moment, so nobody tries at the beginning of a turn.
    static constexpr Millis turnMargin { 300 };
    // An instance that was not heard for this long is not counted.
    static constexpr Millis instanceTimeout { 2000 };
    // A trial that has not ended by then is not waited for.
    static constexpr Millis maxTrialTime { 30'000 };

    // `self` is this instance's name.
    explicit SuspectTrials(std::string self = {})
        : m_self(std::move(self))
    {
    }

    // Another instance is alive.
    void onInstance(std::string_view name, TimePoint now) { m_heard.insert_or_assign(std::string(name), now); }

    // Whether a request may run that is known by these digests.
    SuspectDecision decide(const PoisonRecords&, std::span<const std::string> digests, TimePoint now) const;

    // An attempt begins. Returns the digest to pass to onEnded() if it is a trial, or an empty text.
    std::string onBegun(const PoisonRecords&, std::span<const std::string> digests, TimePoint now);
    void onEnded(const std::string& digest) { m_running.erase(digest); }

private:
    // The first digest that is under suspicion, one in doubt before others, or null.
    static const std::string* findSuspect(const PoisonRecords&, std::span<const std::string> digests, TimePoint now);
    bool isTester(std::string_view digest, Millis sinceLastDeath, TimePoint now) const;

    std::string m_self;
    std::map<std::string, TimePoint, std::less<>> m_heard;
    // When the trials in progress began, by digest.
    std::map<std::string, TimePoint, std::less<>> m_running;
};

} // namespace orioletrail
