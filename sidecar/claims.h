// Connects the ledger shards of one sidecar to the platform.
#pragma once

#include "ledger/shard.h"
#include "platform/platform.h"

namespace orioletrail {

// Claims idempotency keys for one service. Lives on one traffic thread.
class Claims {
public:
    using Handler = std::function<void(ClaimResult)>;

    // `owner` is the random start number of this process.
    Claims(boost::asio::any_io_executor, Platform, std::string_view service, uint64_t owner, const LedgerSettings&);

    // Calls back once with the result, perhaps before it returns.
    void claim(uint64_t ticket, std::string_view key, std::string_view bodyDigest, Handler);

    // Gives up a claim that waits. False if its handler was called already.
    bool abandon(uint64_t ticket, std::string_view key);

    void finish(uint64_t ticket, std::string_view key, RecordedAnswer);

    // Takes back a claim whose request was not handed to the endpoint.
    void release(uint64_t ticket, std::string_view key);

    // Called regularly, to resume after outages.
    void tick();

    // Endings that are yet to be written.
    bool isIdle() const;

private:
    void apply(uint32_t shard, LedgerActions);
    Task<> read(uint32_t shard);
    Task<> write(uint32_t shard, PutRequest);
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
