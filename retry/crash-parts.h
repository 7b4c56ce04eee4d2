// Finds the part of a prompt that crashes the endpoints that run it, from requests that share
// nothing else.
#pragma once

#include "base/types.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace orioletrail {

// Hash of a part of a prompt that requests may share.
using PartHash = uint64_t;

// A request that was lost when its endpoint's process ended, before the endpoint had begun to
// answer it.
struct CrashSuspect {
    // Hash of the request's content, the same when it is sent again.
    uint64_t request = 0;
    std::vector<PartHash> parts;
};

// The end of an endpoint's process, with the requests that may have caused it.
struct EndpointCrash {
    // Hash of the endpoint and the start of its process.
    uint64_t id = 0;
    std::vector<CrashSuspect> suspects;
    // Parts of suspects that an endpoint has answered since, so that they are not the cause.
    std::set<PartHash> cleared;
    // In reports: time since the sender learnt of the crash.
    Millis age { 0 };
};

// What entries tell each other about crashes.
struct CrashReport {
    // Crashes of which something has been learnt recently.
    std::vector<EndpointCrash> crashes;
    // Parts that are refused, with the time for which they still are.
    std::map<PartHash, Millis> refused;
};

struct CrashPartSettings {
    // Fewest crashes, and requests that were lost in them, after which a part is refused.
    size_t minCrashes = 3;
    // A part is refused if one that is not the cause would be present in all of the crashes with at
    // most this probability.
    double maxChance = 1e-4;
    // How long a part is refused.
    Millis refusal { 120'000 };
    // Crashes closer together than this count as one: endpoints that end at once were lost with
    // their machine or zone.
    Millis mergeWindow { 250 };
    // How long a crash is kept as evidence.
    Millis retention { 120'000 };
    // How long a crash is repeated in reports after it has changed.
    Millis announcement { 3000 };
    size_t maxCrashes = 48;
    size_t maxSuspects = 16;
    size_t maxRefused = 64;
    // Crashes in one report.
    size_t maxReported = 6;
};

// Each crash leaves the parts of the requests that the endpoint had not begun to answer as suspects.
// The one at fault is among them every time, and no endpoint ever answers it; any other part is
// cleared when an endpoint begins to answer a request that has it, or is present by chance. That
// chance follows from how often requests have the part and survive, so a part that many requests
// share is refused only after many crashes, and one that is rare after few.
class CrashParts {
public:
    // Called when a part becomes refused, with the chance that it is not the cause and the number of
    // crashes; the chance is nothing if a peer reported the part.
    using RefusalHook = std::function<void(PartHash, std::optional<double> chance, size_t crashes)>;

    explicit CrashParts(const CrashPartSettings& settings = {}, RefusalHook onRefused = {})
        : m_settings(settings)
        , m_onRefused(std::move(onRefused))
    {
    }

    // An endpoint accepted an attempt, and has not crashed by its end.
    void onSurvived(std::span<const PartHash>, TimePoint);

    // An endpoint has begun to answer an attempt that was sent at the given time.
    void onAnswering(std::span<const PartHash>, TimePoint sent, TimePoint now);

    // The endpoint of a suspect has crashed.
    void onCrash(uint64_t crash, CrashSuspect, TimePoint);

    void merge(const CrashReport&, TimePoint);
    CrashReport report(TimePoint) const;

    // True if one of the parts is refused.
    bool isRefused(std::span<const PartHash>, TimePoint) const;

    size_t crashCount() const { return m_crashes.size(); }
    size_t refusedCount() const { return m_refused.size(); }
    // Suspected parts in all crashes on record, repeated ones included.
    size_t suspectedPartCount() const;

private:
    struct Record {
        EndpointCrash crash;
        TimePoint learnt;
        TimePoint changed;
    };

    // Crashes that happened at once: the requests lost in them, by part.
    struct Cluster {
        std::map<PartHash, std::set<uint64_t>> requestsByPart;
        size_t suspects = 0;
    };

    // Counts attempts by part approximately in bounded memory: two rows of counters, of which the
    // lower one counts, in the current and the previous period.
    class Frequencies {
    public:
        void add(PartHash, TimePoint);
        void addAttempt(TimePoint);
        // Estimated share of attempts that have the part, from 0 to 1, never 0.
        double share(PartHash) const;

    private:
        static constexpr size_t rowSize = 4096;
        struct Period {
            std::array<std::array<uint32_t, rowSize>, 2> rows {};
            uint64_t attempts = 0;
        };
        static size_t slot(PartHash, size_t row);
        void rotate(TimePoint);

        Period m_current;
        Period m_previous;
        TimePoint m_periodStart;
    };

    Record& recordOf(uint64_t crash, TimePoint learnt);
    // Returns true if the suspect was not known yet.
    bool addSuspect(Record&, const CrashSuspect&);
    void expire(TimePoint);
    std::vector<Cluster> clusters() const;
    // Refuses each part that explains crashes which no other refused part explains.
    void evaluate(TimePoint);
    // Returns true if the part was not refused before.
    bool refuse(PartHash, Millis, TimePoint);

    CrashPartSettings m_settings;
    RefusalHook m_onRefused;
    std::map<uint64_t, Record> m_crashes;
    // End of the refusal by part.
    std::map<PartHash, TimePoint> m_refused;
    // When a part was last cleared, so that a late report does not refuse it again.
    std::map<PartHash, TimePoint> m_cleared;
    Frequencies m_survivors;
};

} // namespace orioletrail
