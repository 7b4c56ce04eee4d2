// Protocol by which a sidecar claims idempotency keys in one ledger shard, before their requests run.
#pragma once

#include "ledger/record.h"

#include <vector>

namespace orioletrail {

struct LedgerSettings {
    // How long a key is kept after it was claimed.
    std::chrono::seconds retention { 6 * 3600 };
    // Limits of the entries and bytes of one shard's object; the platform accepts values of up to 1 MB.
    size_t maxEntries = 4000;
    size_t maxBytes = 900'000;
    // Finished entries move to a segment once the record has this many entries or takes half of
    // maxBytes. All segments of a shard together hold at most maxSegmentEntries.
    size_t segmentThreshold = 1000;
    size_t maxSegmentEntries = 20'000;
    // Largest response body that is recorded, in bytes.
    size_t maxRecordedBodyBytes = 2048;
    // Minimum time between two writes of a shard; bounds the load on the platform.
    Millis writeInterval { 40 };
    // How long a repeated request waits for the answer to a claim that another owner made, and how
    // often the record is read meanwhile: the other owner may be about to write the answer.
    Millis otherOwnerWait { 500 };
    Millis otherOwnerPollInterval { 50 };
    // Delay after a failed call to the platform.
    Millis retryDelay { 200 };
};

// Read the shard's object.
struct LedgerRead { };

// Write the shard's object.
struct LedgerWrite {
    std::string value;
    // Revision that the object must have for the write to succeed; 0 if it must not exist.
    uint64_t expectedRevision = 0;
};

// Create a segment, which must not exist yet.
struct SegmentWrite {
    std::string segment;
    std::string value;
};

// The result of claim(). Reason::None means that the claim is durable and the request may run now.
struct ClaimResult {
    // The caller's number of the claim, as passed to claim().
    uint64_t ticket = 0;
    Reason reason = Reason::None;
    // For a refused claim: whether an earlier request with the key may have run.
    Outcome outcome = Outcome::NotRun;
    // The answer to the earlier request, if it is known.
    std::optional<RecordedAnswer> answer;
};

// Calls to the platform that the shard needs, and results of claims.
struct LedgerActions {
    std::optional<LedgerRead> read;
    std::optional<LedgerWrite> write;
    // Name of the segment to read.
    std::optional<std::string> readSegment;
    std::optional<SegmentWrite> writeSegment;
    // Segments to delete, since the record no longer lists them.
    std::vector<std::string> removeSegments;
    std::vector<ClaimResult> results;
};

// State machine without I/O: the caller performs the returned actions and reports their outcome.
// At most one call to the platform is in progress, apart from removals, so claims that arrive
// meanwhile go into the next write together.
//
// A claim is durable only once it is stored in a record that names this owner. The shard takes
// ownership by a conditional write that raises the token. Writes of the former owner then fail,
// even if it was frozen and still considers itself the owner. If the reply to a write is lost, the
// object is read again to find out whether the write took effect.
class LedgerShard {
public:
    LedgerShard(uint64_t owner, const LedgerSettings& settings)
        : m_owner(owner)
        , m_settings(settings)
    {
    }

    // Claims a key. The result is returned once, in `results` of these or later actions. `ticket`
    // identifies the claim in later calls and must be unique within this owner.
    LedgerActions claim(uint64_t ticket, std::string_view key, std::string_view bodyDigest, TimePoint, int64_t unixSeconds);

    // Withdraws a claim. Returns false if its result was already returned.
    bool abandon(uint64_t ticket);

    // Records the answer to a request that has run after its claim.
    LedgerActions finish(uint64_t ticket, std::string_view key, RecordedAnswer, TimePoint);

    // Removes a claim whose request was never sent to the endpoint.
    LedgerActions release(uint64_t ticket, std::string_view key, TimePoint);

    // Handles the reply to a read; `value` is empty if the object does not exist.
    LedgerActions onRead(std::string_view value, uint64_t revision, TimePoint);

    // A read of the object or of a segment failed. Pending claims are refused.
    LedgerActions onReadFailed(TimePoint);

    // The write succeeded.
    LedgerActions onWritten(uint64_t revision, TimePoint);

    // The write was refused, or its outcome is unknown. Reads the object to find out.
    LedgerActions onWriteNotConfirmed(TimePoint);

    // Handles the reply to a read of a segment; `value` is empty if it no longer exists.
    LedgerActions onSegmentRead(std::string_view value, TimePoint);

    // The segment was created.
    LedgerActions onSegmentWritten(TimePoint);

    // The segment may or may not exist. The next attempt uses another name.
    LedgerActions onSegmentWriteFailed(TimePoint);

    // Ends a retry delay that is over and starts the next call to the platform if one is due.
    LedgerActions onTick(TimePoint);

    // True while claims are pending or completions or a segment are not yet durable.
    bool hasWork() const { return !m_pendingClaims.empty() || !m_completions.empty() || m_pendingSegment; }

    // Number of entries in all segments that the record lists.
    size_t segmentEntryCount() const;
    // True if the record, as last known to be stored, names this owner.
    bool isOwner() const { return m_owned; }
    uint64_t token() const { return m_storedRecord.token; }
    // Number of writes of the shard's object issued so far.
    uint64_t writes() const { return m_writes; }

private:
    enum class Phase : uint8_t {
        Idle,
        Reading,
        Writing,
        ReadingSegment,
        WritingSegment,
        RetryDelay
    };

    // A claim that has no result yet.
    struct PendingClaim {
        std::string key;
        std::string bodyDigest;
        int64_t claimedAt = 0;
        // When to stop waiting for the answer to another owner's claim of the key.
        TimePoint otherOwnerDeadline;
    };

    // The completion of a claim that is not yet durable. With an answer it is recorded, without one
    // the claim is removed.
    struct Completion {
        std::string claimId;
        std::optional<RecordedAnswer> answer;
    };

    LedgerActions advance(TimePoint);
    LedgerActions resolveAndAdvance(TimePoint);
    std::string claimIdOf(uint64_t ticket) const;
    void applyCompletions();
    size_t addClaims(TimePoint, LedgerActions&);
    void dropWrittenCompletions();
    bool isFull() const;
    // A segment that the record does not list yet. `written` is set once the segment is stored.
    struct PendingSegment {
        std::string name;
        LedgerEntries entries;
        bool written = false;
    };

    LedgerActions startRead();
    LedgerActions readNextSegment(TimePoint);
    std::optional<SegmentWrite> startSegment();
    void applySegment();
    void resolvePendingSegment();
    void removeExpiredSegments();
    void dropUnlistedSegments(LedgerActions&);
    const LedgerEntry* find(std::string_view key) const;
    LedgerActions startWrite(TimePoint);
    void confirmClaims(LedgerActions&);
    void failPendingClaims(LedgerActions&, Reason);
    bool resolveDuplicate(const PendingClaim&, uint64_t ticket, TimePoint, LedgerActions&) const;
    bool awaitsOtherOwner(const PendingClaim&, TimePoint) const;
    bool isOwnClaim(std::string_view claimId) const;
    void removeExpiredEntries();

    uint64_t m_owner;
    LedgerSettings m_settings;
    Phase m_phase = Phase::Idle;
    // The stored record names this owner.
    bool m_owned = false;
    // The stored record and its segments have been read, and no write since has an unknown outcome.
    bool m_loaded = false;
    TimePoint m_retryAt;
    TimePoint m_nextWriteAt;
    TimePoint m_nextReadAt;
    uint64_t m_revision = 0;
    // The record as last known to be stored, and the one that the current write stores.
    LedgerRecord m_storedRecord;
    LedgerRecord m_newRecord;
    std::map<uint64_t, PendingClaim> m_pendingClaims;
    std::map<std::string, Completion, std::less<>> m_completions;
    int64_t m_unixSeconds = 0;
    // Estimated size of m_newRecord in stored form.
    size_t m_newRecordBytes = 0;
    // Contents of the segments that the record lists, by segment name.
    std::map<std::string, LedgerEntries, std::less<>> m_segments;
    std::optional<PendingSegment> m_pendingSegment;
    // Name of the segment that is being read.
    std::string m_readingSegment;
    uint64_t m_lastSegmentNumber = 0;
    uint64_t m_writes = 0;
};

} // namespace orioletrail
