#include "sidecar/claims.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace orioletrail {

namespace detail {

    int64_t unixSeconds()
    {
        return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

} // namespace detail

Claims::Claims(boost::asio::any_io_executor executor, Platform platform, std::string_view service, uint64_t owner, const LedgerSettings& settings)
    : m_executor(std::move(executor))
    , m_platform(std::move(platform))
    , m_service(service)
    , m_shards(ledgerShardCount, LedgerShard(owner, settings))
{
}

void Claims::claim(uint64_t ticket, std::string_view key, std::string_view bodyDigest, Handler handler)
{
    m_handlers.emplace(ticket, std::move(handler));
    const uint32_t shard = shardOfLedgerKey(key);
    apply(shard, m_shards[shard].claim(ticket, key, bodyDigest, Clock::now(), detail::unixSeconds()));
}

bool Claims::abandon(uint64_t ticket, std::string_view key)
{
    m_handlers.erase(ticket);
    return m_shards[shardOfLedgerKey(key)].abandon(ticket);
}

void Claims::finish(uint64_t ticket, std::string_view key, RecordedAnswer answer)
{
    const uint32_t shard = shardOfLedgerKey(key);
    apply(shard, m_shards[shard].finish(ticket, key, std::move(answer), Clock::now()));
}

void Claims::release(uint64_t ticket, std::string_view key)
{
    const uint32_t shard = shardOfLedgerKey(key);
    apply(shard, m_shards[shard].release(ticket, key, Clock::now()));
}

void Claims::tick()
{
    for (uint32_t shard = 0; shard < m_shards.size(); ++shard)
        apply(shard, m_shards[shard].onTick(Clock::now()));
}

bool Claims::isIdle() const
{
    return std::none_of(m_shards.begin(), m_shards.end(), [](const LedgerShard& shard) { return shard.hasWork(); });
}

void Claims::apply(uint32_t shard, LedgerActions actions)
{
    if (actions.read)
        boost::asio::co_spawn(m_executor, readShard(shard), boost::asio::detached);
    if (actions.write) {
        PutRequest put { ledgerObjectKey(m_service, shard), std::move(actions.write->value), actions.write->expectedRevision };
        boost::asio::co_spawn(m_executor, writeShard(shard, std::move(put)), boost::asio::detached);
    }
    if (actions.readSegment)
        boost::asio::co_spawn(m_executor, readSegment(shard, segmentObjectKey(m_service, shard, *actions.readSegment)), boost::asio::detached);
    if (actions.writeSegment) {
        PutRequest put { segmentObjectKey(m_service, shard, actions.writeSegment->segment), std::move(actions.writeSegment->value), 0 };
        boost::asio::co_spawn(m_executor, writeSegment(shard, std::move(put)), boost::asio::detached);
    }
    for (const std::string& segment : actions.removeSegments)
        boost::asio::co_spawn(m_executor, removeSegment(segmentObjectKey(m_service, shard, segment)), boost::asio::detached);
    for (ClaimResult& result : actions.results) {
        auto handler = m_handlers.extract(result.ticket);
        if (!handler.empty())
            handler.mapped()(std::move(result));
    }
}

Task<> Claims::readShard(uint32_t shard)
{
    const PlatformReply reply = co_await m_platform.get(ledgerObjectKey(m_service, shard));
    LedgerShard& state = m_shards[shard];
    if (reply.status == PlatformStatus::Ok)
        apply(shard, state.onRead(reply.value, reply.revision, Clock::now()));
    else if (reply.status == PlatformStatus::NotFound)
        apply(shard, state.onRead({}, 0, Clock::now()));
    else
        apply(shard, state.onReadFailed(Clock::now()));
}

Task<> Claims::readSegment(uint32_t shard, std::string key)
{
    const PlatformReply reply = co_await m_platform.get(std::move(key));
    LedgerShard& state = m_shards[shard];
    if (reply.status == PlatformStatus::Ok || reply.status == PlatformStatus::NotFound)
        apply(shard, state.onSegmentRead(reply.value, Clock::now()));
    else
        apply(shard, state.onReadFailed(Clock::now()));
}

Task<> Claims::writeSegment(uint32_t shard, PutRequest put)
{
    const PlatformReply reply = co_await m_platform.put(std::move(put));
    LedgerShard& state = m_shards[shard];
    if (reply.status == PlatformStatus::Ok)
        apply(shard, state.onSegmentWritten(Clock::now()));
    else
        apply(shard, state.onSegmentWriteFailed(Clock::now()));
}

// Failures are ignored: a segment that is not removed does no harm.
Task<> Claims::removeSegment(std::string key)
{
    const PlatformReply found = co_await m_platform.get(key);
    if (found.status == PlatformStatus::Ok)
        co_await m_platform.remove(key, found.revision);
}

Task<> Claims::writeShard(uint32_t shard, PutRequest put)
{
    const PlatformReply reply = co_await m_platform.put(std::move(put));
    LedgerShard& state = m_shards[shard];
    if (reply.status == PlatformStatus::Ok)
        apply(shard, state.onWritten(reply.revision, Clock::now()));
    else
        apply(shard, state.onWriteNotConfirmed(Clock::now()));
}

} // namespace orioletrail
