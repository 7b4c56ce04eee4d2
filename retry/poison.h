// Detects requests that crash the endpoints that run them, so that they can be refused.
#pragma once

#include "base/types.h"

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
    // Time since an endpoint last completed the request after a death; nothing if none has.
    std::optional<Millis> clearedAgo {};
};

struct PoisonSettings {
    // Number of endpoint deaths after which a request is refused.
    uint32_t refuseAfter = 2;
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
    Refuse
};

// Collects endpoint deaths by request digest. The deaths of attempts that overlapped count once: when
// endpoints end together, with their machine or zone, each of them may have been running the same
// popular request. A request that causes deaths is sent again after each of them. A request that
// completes is cleared, since it must have been running next to the one that caused the death.
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
        std::optional<TimePoint> clearedAt;
        TimePoint changedAt;
        // Processes whose deaths were cleared or dropped, the oldest first. Reports of them are ignored: their
        // times are later at each instance that passes them on, so that instances would add and clear the
        // same death without end, and tell each other each time.
        std::deque<uint64_t> settled;
    };

    Record& recordOf(std::string_view digest, TimePoint now);
    bool addDeath(Record&, const RequestDeath&, TimePoint now);
    bool clear(Record&, TimePoint clearedAt, TimePoint now);
    // Drops the deaths before `end`.
    void settle(Record&, std::vector<RequestDeath>::iterator end);
    PoisonVerdict verdict(const Record&, TimePoint now) const;
    static uint32_t countDeaths(const Record&);
    bool isExpired(const Record&, TimePoint now) const;
    static PoisonEvidence toEvidence(std::string_view digest, const Record&, TimePoint now);

    PoisonSettings m_settings;
    std::map<std::string, Record, std::less<>> m_records;
    // Digest of the record that was reported last in turn.
    std::string m_lastRepeated;
};

} // namespace orioletrail
