// What a ledger shard keeps in the platform: one object for each shard of a service.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// Shards of each service. Entries use it to find a key's owner and sidecars to find its object,
// so all instances must agree on it.
inline constexpr uint32_t ledgerShards = 8;

// The recorded answer to a finished request.
struct RecordedAnswer {
    unsigned status = 0;
    std::string contentType;
    std::string body;
    // The body was too large to record.
    bool truncated = false;
};

// One claimed idempotency key. Without an answer, the request may have run.
struct LedgerEntry {
    std::string bodyDigest;
    // Identifies the claim itself: which owner made it, and for which attempt.
    std::string claimant;
    // Seconds since 1970, by the clock of the owner that claimed it.
    int64_t claimedAt = 0;
    std::optional<RecordedAnswer> answer;
};

using LedgerEntries = std::map<std::string, LedgerEntry, std::less<>>;

// The stored value of a shard. Every write is conditional on the revision of the one before,
// so a sidecar that lost ownership cannot add a claim.
struct LedgerRecord {
    // Random start number of the sidecar that owns the shard.
    uint64_t owner = 0;
    // Fencing token; each change of owner raises it.
    uint64_t token = 0;
    LedgerEntries entries;
    // Segments that hold older finished entries, by the names under which they are stored.
    std::vector<std::string> segments {};
};

std::string toJson(const LedgerRecord&);

// Nothing, with `reason` set, if the text is not a ledger record.
std::optional<LedgerRecord> parseLedgerRecord(std::string_view, std::string& reason);

// The key under which a claim is filed: a digest of the account and the idempotency key.
std::string ledgerKey(std::string_view account, std::string_view key);

// The shard of a service that holds a ledger key, from 0 to ledgerShards - 1.
uint32_t ledgerShard(std::string_view ledgerKey);

// The platform key of a shard, and of one of its segments.
std::string ledgerObject(std::string_view service, uint32_t shard);
std::string segmentObject(std::string_view service, uint32_t shard, std::string_view segment);

// The stored form of a segment. It is written once and never changed.
std::string segmentToJson(const LedgerEntries&);
std::optional<LedgerEntries> parseSegment(std::string_view, std::string& reason);

// When a UUID of version 7 was made, in seconds since 1970; nothing for any other key.
std::optional<int64_t> mintTime(std::string_view key);

} // namespace orioletrail
