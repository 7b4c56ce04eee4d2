#include "ledger/shard.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Estimated stored size of an entry, without its recorded body.
    constexpr size_t entryOverheadBytes = 200;

} // namespace detail

LedgerActions LedgerShard::claim(uint64_t ticket, std::string_view key, std::string_view bodyDigest, TimePoint now, int64_t unixSeconds)
{
    m_unixSeconds = unixSeconds;
    PendingClaim pending { std::string(key), std::string(bodyDigest), unixSeconds, now + m_settings.otherOwnerWait };
    LedgerActions actions;
    if (m_owned && resolveDuplicate(pending, ticket, now, actions))
        return actions;
    m_pendingClaims.emplace(ticket, std::move(pending));
    return advance(now);
}

bool LedgerShard::abandon(uint64_t ticket)
{
    const auto found = m_pendingClaims.find(ticket);
    if (found == m_pendingClaims.end())
        return false;
    // A write in progress may still make the claim durable, so it has to be removed again.
    m_completions.try_emplace(found->second.key, Completion { claimIdOf(ticket), std::nullopt });
    m_pendingClaims.erase(found);
    return true;
}

LedgerActions LedgerShard::finish(uint64_t ticket, std::string_view key, RecordedAnswer answer, TimePoint now)
{
    if (answer.body.size() > m_settings.maxRecordedBodyBytes) {
        answer.body.clear();
        answer.truncated = true;
    }
    m_completions.insert_or_assign(std::string(key), Completion { claimIdOf(ticket), std::move(answer) });
    return advance(now);
}

LedgerActions LedgerShard::release(uint64_t ticket, std::string_view key, TimePoint now)
{
    m_completions.insert_or_assign(std::string(key), Completion { claimIdOf(ticket), std::nullopt });
    return advance(now);
}

LedgerActions LedgerShard::onRead(std::string_view value, uint64_t revision, TimePoint now)
{
    LedgerRecord stored;
    std::string reason;
    if (!value.empty()) {
        std::optional<LedgerRecord> parsed = parseLedgerRecord(value, reason);
        if (!parsed)
            return onReadFailed(now);
        stored = std::move(*parsed);
    }
    m_storedRecord = std::move(stored);
    m_revision = revision;
    m_owned = revision && m_storedRecord.owner == m_owner;
    return readNextSegment(now);
}

LedgerActions LedgerShard::readNextSegment(TimePoint now)
{
    for (const std::string& segment : m_storedRecord.segments) {
        if (m_segments.contains(segment))
            continue;
        // Written by this process, but the reply to the write of the record was lost.
        if (m_pendingSegment && m_pendingSegment->name == segment) {
            m_segments[segment] = m_pendingSegment->entries;
            continue;
        }
        m_phase = Phase::ReadingSegment;
        m_readingSegment = segment;
        LedgerActions actions;
        actions.readSegment = segment;
        return actions;
    }
    m_loaded = true;
    return resolveAndAdvance(now);
}

LedgerActions LedgerShard::onSegmentRead(std::string_view value, TimePoint now)
{
    std::string reason;
    std::optional<LedgerEntries> entries;
    if (!value.empty())
        entries = parseSegment(value, reason);
    // The segment is missing if the record that listed it has been replaced since. Read again.
    if (!entries)
        return onReadFailed(now);
    m_segments[m_readingSegment] = std::move(*entries);
    return readNextSegment(now);
}

LedgerActions LedgerShard::onSegmentWritten(TimePoint now)
{
    m_phase = Phase::Idle;
    if (m_pendingSegment)
        m_pendingSegment->written = true;
    return advance(now);
}

LedgerActions LedgerShard::onSegmentWriteFailed(TimePoint now)
{
    m_pendingSegment.reset();
    m_phase = Phase::RetryDelay;
    m_retryAt = now + m_settings.retryDelay;
    return {};
}

LedgerActions LedgerShard::onReadFailed(TimePoint now)
{
    m_phase = Phase::RetryDelay;
    m_retryAt = now + m_settings.retryDelay;
    m_loaded = false;
    m_owned = false;
    LedgerActions actions;
    failPendingClaims(actions, Reason::PlatformDown);
    return actions;
}

LedgerActions LedgerShard::onWritten(uint64_t revision, TimePoint now)
{
    m_storedRecord = std::move(m_newRecord);
    m_revision = revision;
    m_owned = true;
    return resolveAndAdvance(now);
}

LedgerActions LedgerShard::onWriteNotConfirmed(TimePoint)
{
    m_owned = false;
    m_loaded = false;
    return startRead();
}

LedgerActions LedgerShard::onTick(TimePoint now)
{
    if (m_phase == Phase::RetryDelay && now >= m_retryAt)
        m_phase = Phase::Idle;
    return advance(now);
}

std::string LedgerShard::claimIdOf(uint64_t ticket) const
{
    return std::to_string(m_owner) + "-" + std::to_string(ticket);
}

LedgerActions LedgerShard::resolveAndAdvance(TimePoint now)
{
    m_phase = Phase::Idle;
    LedgerActions resolved;
    resolvePendingSegment();
    dropUnlistedSegments(resolved);
    dropWrittenCompletions();
    confirmClaims(resolved);
    LedgerActions next = advance(now);
    next.removeSegments = std::move(resolved.removeSegments);
    next.results.insert(next.results.begin(), resolved.results.begin(), resolved.results.end());
    return next;
}

LedgerActions LedgerShard::advance(TimePoint now)
{
    if (m_phase != Phase::Idle)
        return {};
    if (std::optional<SegmentWrite> segment = startSegment()) {
        LedgerActions actions;
        actions.writeSegment = std::move(segment);
        return actions;
    }
    const bool segmentWritten = m_pendingSegment && m_pendingSegment->written;
    if (m_pendingClaims.empty() && m_completions.empty() && !segmentWritten)
        return {};
    const bool awaitsOther = std::any_of(m_pendingClaims.begin(), m_pendingClaims.end(),
        [&](const auto& item) { return awaitsOtherOwner(item.second, now); });
    if (!m_loaded || (awaitsOther && now >= m_nextReadAt)) {
        m_nextReadAt = now + m_settings.otherOwnerPollInterval;
        return startRead();
    }
    return now < m_nextWriteAt ? LedgerActions {} : startWrite(now);
}

LedgerActions LedgerShard::startRead()
{
    m_phase = Phase::Reading;
    LedgerActions actions;
    actions.read = LedgerRead {};
    return actions;
}

LedgerActions LedgerShard::startWrite(TimePoint now)
{
    LedgerActions actions;
    m_newRecord = m_storedRecord;
    if (!m_owned) {
        m_newRecord.owner = m_owner;
        ++m_newRecord.token;
    }
    removeExpiredEntries();
    removeExpiredSegments();
    applySegment();
    m_newRecordBytes = 0;
    for (const auto& [key, entry] : m_newRecord.entries)
        m_newRecordBytes += detail::entryOverheadBytes + (entry.answer ? entry.answer->body.size() : 0);
    applyCompletions();
    const bool segmentWritten = m_pendingSegment && m_pendingSegment->written && m_owned;
    if (!addClaims(now, actions) && m_completions.empty() && !segmentWritten)
        return actions;
    m_phase = Phase::Writing;
    m_nextWriteAt = now + m_settings.writeInterval;
    ++m_writes;
    actions.write = LedgerWrite { toJson(m_newRecord), m_revision };
    return actions;
}

std::optional<SegmentWrite> LedgerShard::startSegment()
{
    const bool due = m_storedRecord.entries.size() >= m_settings.segmentThreshold || m_newRecordBytes >= m_settings.maxBytes / 2;
    if (!m_owned || !m_loaded || m_pendingSegment || !due || segmentEntryCount() + m_storedRecord.entries.size() > m_settings.maxSegmentEntries)
        return std::nullopt;
    PendingSegment pendingSegment { std::to_string(m_owner) + "-" + std::to_string(++m_lastSegmentNumber), {}, false };
    for (const auto& [key, entry] : m_storedRecord.entries)
        if (entry.answer)
            pendingSegment.entries.emplace(key, entry);
    // Too few finished entries to be worth a segment.
    if (pendingSegment.entries.size() * 2 < m_storedRecord.entries.size())
        return std::nullopt;
    m_phase = Phase::WritingSegment;
    m_pendingSegment = std::move(pendingSegment);
    return SegmentWrite { m_pendingSegment->name, segmentToJson(m_pendingSegment->entries) };
}

void LedgerShard::applySegment()
{
    // After a change of owner the record may have changed, so the entries cannot be moved.
    if (!m_pendingSegment || !m_pendingSegment->written || !m_owned)
        return;
    for (const auto& [key, entry] : m_pendingSegment->entries)
        m_newRecord.entries.erase(key);
    m_newRecord.segments.push_back(m_pendingSegment->name);
}

void LedgerShard::resolvePendingSegment()
{
    if (!m_pendingSegment)
        return;
    const auto& segments = m_storedRecord.segments;
    if (std::find(segments.begin(), segments.end(), m_pendingSegment->name) != segments.end()) {
        m_segments[m_pendingSegment->name] = std::move(m_pendingSegment->entries);
        m_pendingSegment.reset();
    } else if (!m_owned) {
        m_pendingSegment.reset();
    }
}

void LedgerShard::removeExpiredSegments()
{
    std::erase_if(m_newRecord.segments, [&](const std::string& segment) {
        const auto& entries = m_segments[segment];
        return std::all_of(entries.begin(), entries.end(), [&](const auto& item) { return item.second.claimedAt + m_settings.retention.count() < m_unixSeconds; });
    });
}

void LedgerShard::dropUnlistedSegments(LedgerActions& actions)
{
    const auto& segments = m_storedRecord.segments;
    std::erase_if(m_segments, [&](const auto& item) {
        if (std::find(segments.begin(), segments.end(), item.first) != segments.end())
            return false;
        if (m_owned)
            actions.removeSegments.push_back(item.first);
        return true;
    });
}

size_t LedgerShard::segmentEntryCount() const
{
    size_t count = 0;
    for (const auto& [segment, entries] : m_segments)
        count += entries.size();
    return count;
}

const LedgerEntry* LedgerShard::find(std::string_view key) const
{
    if (const auto found = m_storedRecord.entries.find(key); found != m_storedRecord.entries.end())
        return &found->second;
    for (const auto& [segment, entries] : m_segments)
        if (const auto found = entries.find(key); found != entries.end())
            return &found->second;
    return nullptr;
}

void LedgerShard::applyCompletions()
{
    for (const auto& [key, completion] : m_completions) {
        const auto found = m_newRecord.entries.find(key);
        if (found == m_newRecord.entries.end() || found->second.claimId != completion.claimId)
            continue;
        if (completion.answer) {
            found->second.answer = completion.answer;
            const size_t bytes = completion.answer->body.size();
            // Recorded bodies may fill only half of the record; the rest is for claims.
            if (m_newRecordBytes + bytes > m_settings.maxBytes / 2) {
                found->second.answer->body.clear();
                found->second.answer->truncated = true;
            } else {
                m_newRecordBytes += bytes;
            }
        } else
            m_newRecord.entries.erase(found);
    }
}

bool LedgerShard::isFull() const
{
    return m_newRecord.entries.size() >= m_settings.maxEntries || m_newRecordBytes + detail::entryOverheadBytes > m_settings.maxBytes;
}

size_t LedgerShard::addClaims(TimePoint now, LedgerActions& actions)
{
    size_t added = 0;
    for (auto pending = m_pendingClaims.begin(); pending != m_pendingClaims.end();) {
        const auto& [ticket, claim] = *pending;
        const bool awaitsOther = awaitsOtherOwner(claim, now);
        const bool resolved = !awaitsOther && resolveDuplicate(claim, ticket, now, actions);
        const bool full = !awaitsOther && !resolved && isFull();
        if (full)
            actions.results.push_back({ ticket, Reason::LedgerFull, Outcome::NotRun, std::nullopt });
        else if (!resolved && !awaitsOther) {
            m_newRecord.entries.try_emplace(claim.key, LedgerEntry { claim.bodyDigest, claimIdOf(ticket), claim.claimedAt, std::nullopt });
            m_newRecordBytes += detail::entryOverheadBytes;
            ++added;
        }
        pending = resolved || full ? m_pendingClaims.erase(pending) : std::next(pending);
    }
    return added;
}

void LedgerShard::dropWrittenCompletions()
{
    std::erase_if(m_completions, [&](const auto& item) {
        const auto& [key, completion] = item;
        const auto found = m_storedRecord.entries.find(key);
        return found == m_storedRecord.entries.end() || found->second.claimId != completion.claimId || found->second.answer;
    });
}

void LedgerShard::confirmClaims(LedgerActions& actions)
{
    if (!m_owned)
        return;
    for (auto pending = m_pendingClaims.begin(); pending != m_pendingClaims.end();) {
        const auto found = m_storedRecord.entries.find(pending->second.key);
        const bool claimed = found != m_storedRecord.entries.end() && found->second.claimId == claimIdOf(pending->first);
        if (claimed)
            actions.results.push_back({ pending->first, Reason::None, Outcome::NotRun, std::nullopt });
        pending = claimed ? m_pendingClaims.erase(pending) : std::next(pending);
    }
}

void LedgerShard::failPendingClaims(LedgerActions& actions, Reason reason)
{
    for (const auto& [ticket, pending] : m_pendingClaims) {
        actions.results.push_back({ ticket, reason, Outcome::NotRun, std::nullopt });
        m_completions.try_emplace(pending.key, Completion { claimIdOf(ticket), std::nullopt });
    }
    m_pendingClaims.clear();
}

bool LedgerShard::isOwnClaim(std::string_view claimId) const
{
    return claimId.starts_with(std::to_string(m_owner) + "-");
}

bool LedgerShard::awaitsOtherOwner(const PendingClaim& pending, TimePoint now) const
{
    const auto found = m_storedRecord.entries.find(pending.key);
    return now < pending.otherOwnerDeadline && found != m_storedRecord.entries.end() && !found->second.answer
        && found->second.bodyDigest == pending.bodyDigest && !isOwnClaim(found->second.claimId);
}

bool LedgerShard::resolveDuplicate(const PendingClaim& pending, uint64_t ticket, TimePoint now, LedgerActions& actions) const
{
    const LedgerEntry* found = find(pending.key);
    if (awaitsOtherOwner(pending, now) || !found || found->claimId == claimIdOf(ticket))
        return false;
    ClaimResult result { ticket, Reason::KeyInProgress, Outcome::MayHaveRun, found->answer };
    // The answer may be known here before it is durable.
    const auto completion = m_completions.find(pending.key);
    if (!result.answer && completion != m_completions.end() && completion->second.claimId == found->claimId)
        result.answer = completion->second.answer;
    if (found->bodyDigest != pending.bodyDigest)
        result = { ticket, Reason::KeyReused, Outcome::NotRun, std::nullopt };
    actions.results.push_back(std::move(result));
    return true;
}

void LedgerShard::removeExpiredEntries()
{
    std::erase_if(m_newRecord.entries, [&](const auto& entry) {
        return entry.second.claimedAt + m_settings.retention.count() < m_unixSeconds;
    });
}

} // namespace orioletrail
