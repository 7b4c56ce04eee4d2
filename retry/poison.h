// Detects requests that crash the endpoints that run them, so that they can be refused.
#pragma once

#include "retry/completed-requests.h"

#include <deque>
#include <map>

namespace orioletrail {

// The end of an endpoint's process while it ran an attempt of a request.
struct RequestDeath {
    // Hash of the endpoint and the start of its process.
    uint64_t process = 0;
    TimePoint sentAt;
    // When the attempt was lost.
    TimePoint lostAt;
};

// What instances tell each other about one request.
struct PoisonEvidence {
    // A death with its times as ages, since instances share no clock.
    struct Death {
        uint64_t process = 0;
        Millis sentAgo { 0 };
        Millis lostAgo { 0 };
    };

    std::string digest;
    std::vector<Death> deaths;
    // Time since an endpoint last completed the request; nothing if none is known to have.
    std::optional<Millis> clearedAgo {};
};

struct PoisonSettings {
    // Number of endpoint deaths after which a request is refused, if it is likely to have caused them.
    uint32_t refuseAfter = 2;
    // Number of endpoint deaths after which a request that has never completed is tried by few instances only.
    uint32_t trialAfter = 2;
    // How long the request is refused after the death that led to it. Doubles with each further death,
    // up to maxRefusal.
    Millis refusal { 120'000 };
    Millis maxRefusal { 600'000 };
    // How long deaths are kept after the last one; not less than maxRefusal.
    Millis retention { 600'000 };
    // How long a record is reported first after it has changed.
    Millis announcement { 3000 };
    // Maximum number of records; the oldest is dropped to make room for a new one.
    size_t maxRecords = 4096;
    // Maximum number of deaths of a record; the oldest are dropped.
    size_t maxDeaths = 8;
    // Maximum number of records in one report that changed recently, and of all other requests that are
    // refused.
    size_t maxReported = 16;
    // Maximum number of the remaining records in one report. They are reported in turn.
    size_t maxRepeated = 4;
};

enum class PoisonVerdict : uint8_t {
    Run,
    // Run with no other request at the same endpoint, so that a crash affects no other.
    RunAlone,
    // It may be the cause of the deaths or not: run one attempt at a time; see SuspectTrials.
    Trial,
    Refuse
};

std::string_view poisonVerdictName(PoisonVerdict);

// Collects endpoint deaths by request digest and weighs them with all that is known of the request.
//
// A request that crashes endpoints loses each process that runs it, however many at once, and never completes. A sound
// one completes sooner or later, and is lost for one of these reasons:
// - It ran next to the request at fault. That one has more deaths, and they account for those that both share.
// - Endpoints ended together, with their machine or zone. If the request has completed before, the deaths of attempts that
//   overlapped count once. If it never has, each counts, but they alone do not prove its fault: it is tried once more, one
//   attempt at a time, and refused if that attempt is lost too.
// - Its endpoints ended one after the other. After some such deaths without a completion it is refused as well.
// A request that completes is cleared.
class PoisonRecords {
public:
    explicit PoisonRecords(const PoisonSettings& settings = {})
        : m_settings(settings)
    {
    }

    // Returns the number of deaths counted for the request. A death with a process that is already
    // known for the request changes nothing.
    uint32_t onDeath(std::string_view digest, const RequestDeath&, TimePoint now);

    // Merges what a peer knows. Returns whether it was news.
    bool merge(const PoisonEvidence&, TimePoint now);

    // The request completed: drops its deaths. Returns whether there were any.
    bool onCompleted(std::string_view digest, TimePoint now);

    // Whether and how the request may run.
    PoisonVerdict verdict(std::string_view digest, TimePoint now) const;

    // True if an endpoint is known to have completed the request, before or after it was lost.
    bool hasCompleted(std::string_view digest) const;

    // Time since the last death that is held against the request; 0 if there is none.
    Millis sinceLastDeath(std::string_view digest, TimePoint now) const;

    // What is known of one request.
    PoisonEvidence evidence(std::string_view digest, TimePoint now) const;

    // The evidence for the next message to a peer: what changed recently, the newest first, requests that
    // are refused, and some of the rest in turn, since a peer that starts anew knows nothing.
    std::vector<PoisonEvidence> report(TimePoint now);

    // All evidence, to send once.
    std::vector<PoisonEvidence> fullReport(TimePoint now) const;

    // Number of deaths counted for the request.
    uint32_t deathCount(std::string_view digest) const;

    size_t size() const { return m_records.size(); }

private:
    struct Record {
        // In the order in which the attempts were lost.
        std::vector<RequestDeath> deaths;
        std::optional<TimePoint> completedAt;
        TimePoint changedAt;
        // Processes whose deaths were cleared or dropped, the oldest first. Reports of them are ignored: their
        // times are later at each instance that passes them on, so that instances would add and clear the
        // same death without end, and tell each other each time.
        std::deque<uint64_t> settled;
    };

    // What counts against a request.
    struct Charge {
        // Processes that ended while they ran the request, each once.
        uint32_t processes = 0;
        // The same, but attempts that overlapped count once.
        uint32_t separate = 0;
        // An attempt that was sent after `refuseAfter` processes had ended was lost too.
        bool isRepeated = false;
    };

    Record& recordOf(std::string_view digest, TimePoint now);
    // The identity of the process that ended. One that starts again under the identity of its predecessor, because its
    // start is not known, gets another one.
    static uint64_t identify(const Record&, const RequestDeath&);
    bool addDeath(Record&, const RequestDeath&, TimePoint now);
    bool clear(Record&, TimePoint clearedAt, TimePoint now);
    // Drops the deaths before `end`.
    void settle(Record&, std::vector<RequestDeath>::iterator end);
    PoisonVerdict verdict(const Record&, TimePoint now) const;
    // The deaths that no other request accounts for.
    std::vector<const RequestDeath*> unexplainedDeaths(const Record&) const;
    Charge chargeOf(const Record&) const;
    uint32_t countDeaths(const Record&) const;
    bool isExpired(const Record&, TimePoint now) const;
    static PoisonEvidence toEvidence(std::string_view digest, const Record&, TimePoint now);

    PoisonSettings m_settings;
    std::map<std::string, Record, std::less<>> m_records;
    CompletedRequests m_completed;
    // Digest of the record that was reported last in turn.
    std::string m_lastRepeated;
};

} // namespace orioletrail
