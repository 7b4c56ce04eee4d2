// Loads and stores the ledger shards of one sidecar in the platform.
#pragma once

#include "ledger/shard.h"
#include "platform/platform.h"

namespace orioletrail {

// Claims idempotency keys for one service, so that a request with a key runs at most once. Keys
// are spread over the service's ledger shards. Used on one thread only.
class Claims {
public:
    using Handler = std::function<void(ClaimResult)>;

    // `owner` is a random number that identifies this run of the process.
    Claims(boost::asio::any_io_executor, Platform, std::string_view service, uint64_t owner, const LedgerSettings&);

    // Claims a key. Calls the handler once with the result, possibly before claim() returns.
    // `ticket` identifies the claim in later calls and must be unique. `bodyDigest` tells a
    // repeated request from one that reuses the key with different content.
    void claim(uint64_t ticket, std::string_view key, std::string_view bodyDigest, Handler);

    // Cancels a pending claim and drops its handler. Returns false if the handler was called
    // already.
    bool abandon(uint64_t ticket, std::string_view key);

    // Records the answer to a claimed request, to be given to repeats of it.
    void finish(uint64_t ticket, std::string_view key, RecordedAnswer);

    // Removes a claim whose request was not passed to the endpoint.
    void release(uint64_t ticket, std::string_view key);

    // Continues work that was delayed, such as retries after an outage of the platform. To be
    // called at short intervals.
    void tick();

    // Endings that are yet to be written.
    bool isIdle() const;

private:
    // Starts the reads and writes that a shard asks for and calls the handlers of its results.
    void apply(uint32_t shard, LedgerActions);
    Task<> readShard(uint32_t shard);
    Task<> writeShard(uint32_t shard, PutRequest);
    Task<> readSegment(uint32_t shard, std::string key);
    Task<> writeSegment(uint32_t shard, PutRequest);
    Task<> removeSegment(std::string key);

    boost::asio::any_io_executor m_executor;
    Platform m_platform;
    std::string m_service;
    std::vector<LedgerShard> m_shards;
    std::map<uint64_t, Handler> m_handlers;
};

} // namespace orioletrail
