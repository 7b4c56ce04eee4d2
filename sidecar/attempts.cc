#include "sidecar/attempts.h"

#include <algorithm>

namespace orioletrail {

std::optional<uint64_t> AttemptTable::registerConnection(uint64_t entry, uint64_t connection)
{
    EntryState& state = m_entries[entry];
    if (connection <= state.connection)
        return std::nullopt;
    return std::exchange(state.connection, connection);
}

bool AttemptTable::open(const AttemptId& id, uint64_t connection)
{
    const auto entry = m_entries.find(id.entryIncarnation);
    if (entry == m_entries.end() || entry->second.connection != connection)
        return false;
    return m_attempts.try_emplace(id).second;
}

std::optional<Frame> AttemptTable::append(const AttemptId& id, Frame frame, TimePoint now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.ended)
        return std::nullopt;
    Attempt& attempt = found->second;
    frame.id = id;
    frame.number = attempt.next++;
    attempt.ended = frame.kind == FrameKind::End || frame.kind == FrameKind::Failed;
    attempt.endedAt = now;
    attempt.bytes += frame.data.size();
    attempt.frames.push_back(frame);
    return frame;
}

void AttemptTable::ack(const AttemptId& id, uint32_t next)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    Attempt& attempt = found->second;
    while (!attempt.frames.empty() && attempt.frames.front().number < next) {
        attempt.bytes -= attempt.frames.front().data.size();
        attempt.frames.pop_front();
    }
    if (attempt.ended && attempt.frames.empty())
        m_attempts.erase(found);
}

std::vector<Frame> AttemptTable::resume(const AttemptId& id, uint32_t next)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        const bool mayHaveExpired = id.request <= m_entries[id.entryIncarnation].expiredUpTo;
        Frame failed;
        failed.id = id;
        failed.number = next;
        failed.kind = FrameKind::Failed;
        failed.outcome = mayHaveExpired ? Outcome::MayHaveRun : Outcome::NotRun;
        failed.reason = Reason::ConnectionLost;
        return { failed };
    }
    ack(id, next);
    if (!m_attempts.contains(id))
        return {};
    return { found->second.frames.begin(), found->second.frames.end() };
}

bool AttemptTable::isWindowFull(const AttemptId& id) const
{
    const auto found = m_attempts.find(id);
    return found != m_attempts.end() && found->second.bytes >= m_settings.windowBytes;
}

void AttemptTable::expire(TimePoint now)
{
    std::erase_if(m_attempts, [&](const auto& item) {
        const auto& [id, attempt] = item;
        if (!attempt.ended || now - attempt.endedAt < m_settings.retention)
            return false;
        uint64_t& expiredUpTo = m_entries[id.entryIncarnation].expiredUpTo;
        expiredUpTo = std::max(expiredUpTo, id.request);
        return true;
    });
}

} // namespace orioletrail
