// Stored form of the idempotency ledger, which records the idempotency key of each request and the
// answer that it got. Each service has a fixed number of shards; each shard is one platform object.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// Number of shards per service. Entries use it to find the sidecar that owns a key and sidecars to
// find the object that holds it, so all instances must use the same number.
inline constexpr uint32_t ledgerShardCount = 8;

// The response to a finished request, as returned to callers that repeat the request.
struct RecordedAnswer {
    unsigned status = 0;
    std::string contentType;
    std::string body;
    // The body was too large to record and is left out.
    bool truncated = false;
};

// One claimed idempotency key. Without an answer, the request is in progress or its outcome is
// unknown: it may have run.
struct LedgerEntry {
    std::string bodyDigest;
    // Identifies the claim: the owner that made it and the attempt that it was made for.
    std::string claimId;
    // Unix time in seconds, by the clock of the owner that made the claim.
    int64_t claimedAt = 0;
    std::optional<RecordedAnswer> answer;
};

// Entries by ledger key, see ledgerKey().
using LedgerEntries = std::map<std::string, LedgerEntry, std::less<>>;

// The stored value of a shard. Every write is conditional on the revision that the writer last
// saw, so a sidecar that has lost ownership cannot add a claim.
struct LedgerRecord {
    // Number of the sidecar process that owns the shard, drawn at random at its start.
    uint64_t owner = 0;
    // Fencing token, raised by each change of owner.
    uint64_t token = 0;
    LedgerEntries entries;
    // Names of the segments that hold older finished entries, see segmentObjectKey().
    std::vector<std::string> segments {};
};

std::string toJson(const LedgerRecord&);

// Returns nullopt and sets `reason` if the text is not a valid ledger record.
std::optional<LedgerRecord> parseLedgerRecord(std::string_view, std::string& reason);

// Key of an entry: a digest of the account and the idempotency key that the caller sent.
std::string ledgerKey(std::string_view account, std::string_view key);

// Index of the shard that holds a ledger key, from 0 to ledgerShardCount - 1.
uint32_t shardOfLedgerKey(std::string_view ledgerKey);

// Platform keys of a shard's object and of one of its segments.
std::string ledgerObjectKey(std::string_view service, uint32_t shard);
std::string segmentObjectKey(std::string_view service, uint32_t shard, std::string_view segment);

// Serializes a segment. A segment is written once and never changed.
std::string segmentToJson(const LedgerEntries&);

// Returns nullopt and sets `reason` if the text is not a valid segment.
std::optional<LedgerEntries> parseSegment(std::string_view, std::string& reason);

// Creation time of a version 7 UUID, in seconds of Unix time; nullopt for any other key.
std::optional<int64_t> uuidCreationTime(std::string_view key);

} // namespace orioletrail
