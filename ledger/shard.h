// One sidecar's view of one ledger shard: claims keys in batches before their requests run.
#pragma once

#include "ledger/record.h"

#include <vector>

namespace orioletrail {

struct LedgerSettings {
    // How long a claimed key is kept after it was claimed.
    std::chrono::seconds retention { 6 * 3600 };
    // Bounds on one shard's object; the platform takes values up to 1 MB.
    size_t maxEntries = 4000;
    size_t maxBytes = 900'000;
    // Entries from which finished ones are moved to a segment, as they are from half of
    // maxBytes on, and the most that are kept in segments.
    size_t sealAt = 1000;
    size_t maxSealed = 20'000;
    // Larger recorded bodies are left out.
    size_t maxRecordedBody = 2048;
    // Least time between two writes of a shard, which bounds the load on the platform.
    Millis writeInterval { 40 };
    // How long a repeat waits for the answer of a claim that another owner made, and how often
    // it looks again. The other owner may be about to record it.
    Millis foreignWait { 500 };
    Millis foreignPause { 50 };
    // Wait after a failed call to the platform.
    Millis retryDelay { 200 };
};

// What the shard wants done.
struct LedgerRead { };

struct LedgerWrite {
    std::string value;
    // Revision that the object must have; 0 if it must not exist.
    uint64_t expected = 0;
};

// Creates a segment, which does not exist yet.
struct SegmentWrite {
    std::string segment;
    std::string value;
};

// The answer to a claim. None with no answer: it is durable, run the request now.
struct ClaimResult {
    uint64_t ticket = 0;
    Reason reason = Reason::None;
    // Set for KeyInProgress, KeyReused and so on: whether the earlier request may have run.
    Outcome outcome = Outcome::NotRun;
    std::optional<RecordedAnswer> answer;
};

struct LedgerActions {
    std::optional<LedgerRead> read;
    std::optional<LedgerWrite> write;
    // Read or create one segment.
    std::optional<std::string> readSegment;
    std::optional<SegmentWrite> writeSegment;
    // Segments that no record names any more.
    std::vector<std::string> removeSegments;
    std::vector<ClaimResult> results;
};

// A pure state machine. A claim is durable only once the platform holds it under this owner.
// Ownership is taken by a conditional write that raises the token; the write of a former
// owner then fails, whatever that owner believes. Lost answers are resolved by reading back.
class LedgerShard {
public:
    LedgerShard(uint64_t owner, const LedgerSettings& settings)
        : m_owner(owner)
        , m_settings(settings)
    {
    }

    // Asks to claim a key. The result comes in some later actions' `results`, once.
    LedgerActions claim(uint64_t ticket, std::string_view key, std::string_view bodyDigest, TimePoint, int64_t unixSeconds);

    // Gives up waiting for a claim. False if its result was already given.
    bool abandon(uint64_t ticket);

    // Records the answer to a claimed request that has run.
    LedgerActions finish(uint64_t ticket, std::string_view key, RecordedAnswer, TimePoint);

    // Removes a claim whose request was never handed to the endpoint.
    LedgerActions release(uint64_t ticket, std::string_view key, TimePoint);

    // The reply to a read; `value` is empty if the object does not exist.
    LedgerActions onRead(std::string_view value, uint64_t revision, TimePoint);

    LedgerActions onReadFailed(TimePoint);

    LedgerActions onWritten(uint64_t revision, TimePoint);

    // The write was refused, or nothing is known about it: it is resolved by a read.
    LedgerActions onWriteUnresolved(TimePoint);

    // The reply to a read of a segment; empty if it does not exist any more.
    LedgerActions onSegmentRead(std::string_view value, TimePoint);

    LedgerActions onSegmentWritten(TimePoint);

    // Nothing is known of the segment; another name is used for the next.
    LedgerActions onSegmentWriteFailed(TimePoint);

    // Resumes after a delay.
    LedgerActions onTick(TimePoint);

    // True while claims wait or endings are yet to be written.
    bool hasWork() const { return !m_waiting.empty() || !m_endings.empty() || m_sealing; }

    size_t sealedEntries() const;
    bool isOwner() const { return m_owned; }
    uint64_t token() const { return m_record.token; }
    // Platform writes issued so far.
    uint64_t writes() const { return m_writes; }

private:
    enum class Phase : uint8_t {
        Idle,
        Reading,
        Writing,
        ReadingSegment,
        WritingSegment,
        Delayed
    };

    struct Waiting {
        std::string key;
        std::string bodyDigest;
        int64_t claimedAt = 0;
        // Until when to wait for the answer of another owner's claim.
        TimePoint foreignUntil;
    };

    // The end of a claim that is not yet written: an answer, or nothing to remove the claim.
    struct Ending {
        std::string claimant;
        std::optional<RecordedAnswer> answer;
    };

    LedgerActions advance(TimePoint);
    LedgerActions settleAndAdvance(TimePoint);
    std::string claimantOf(uint64_t ticket) const;
    void addEndings();
    size_t addClaims(TimePoint, LedgerActions&);
    void settleEndings();
    bool isFull() const;
    // Entries on their way into a segment.
    struct Sealing {
        std::string segment;
        LedgerEntries entries;
        bool written = false;
    };

    LedgerActions startRead();
    LedgerActions readMissingSegment(TimePoint);
    std::optional<SegmentWrite> startSealing();
    void addSealing();
    void settleSealing();
    void pruneSegments();
    void dropSealed(LedgerActions&);
    const LedgerEntry* find(std::string_view key) const;
    LedgerActions startWrite(TimePoint);
    void settleClaims(LedgerActions&);
    void failWaiting(LedgerActions&, Reason);
    bool decideKnown(const Waiting&, uint64_t ticket, TimePoint, LedgerActions&) const;
    bool awaitsForeign(const Waiting&, TimePoint) const;
    bool isOwn(std::string_view claimant) const;
    void prune();

    uint64_t m_owner;
    LedgerSettings m_settings;
    Phase m_phase = Phase::Idle;
    bool m_owned = false;
    bool m_loaded = false;
    TimePoint m_resumeAt;
    TimePoint m_nextWrite;
    TimePoint m_nextRead;
    uint64_t m_revision = 0;
    // The record as last seen in the platform, and as it will be after the present write.
    LedgerRecord m_record;
    LedgerRecord m_pending;
    std::map<uint64_t, Waiting> m_waiting;
    std::map<std::string, Ending, std::less<>> m_endings;
    int64_t m_unixSeconds = 0;
    // Size of the pending record, estimated from its entries.
    size_t m_pendingBytes = 0;
    // Entries of the segments that the record names.
    std::map<std::string, LedgerEntries, std::less<>> m_sealed;
    std::optional<Sealing> m_sealing;
    std::string m_segmentRead;
    uint64_t m_nextSegment = 0;
    uint64_t m_writes = 0;
};

} // namespace orioletrail
