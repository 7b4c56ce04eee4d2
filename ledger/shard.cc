#include "ledger/shard.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Bytes of one entry in the stored form, without the recorded body.
    constexpr size_t entryBytes = 200;

} // namespace detail

LedgerActions LedgerShard::claim(uint64_t ticket, std::string_view key, std::string_view bodyDigest, TimePoint now, int64_t unixSeconds)
{
    m_unixSeconds = unixSeconds;
    Waiting waiting { std::string(key), std::string(bodyDigest), unixSeconds, now + m_settings.foreignWait };
    LedgerActions decided;
    if (m_owned && decideKnown(waiting, ticket, now, decided))
        return decided;
    m_waiting.emplace(ticket, std::move(waiting));
    return advance(now);
}

bool LedgerShard::abandon(uint64_t ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return false;
    // A write under way may still make the claim durable, though it will not run.
    m_endings.try_emplace(found->second.key, Ending { claimantOf(ticket), std::nullopt });
    m_waiting.erase(found);
    return true;
}

LedgerActions LedgerShard::finish(uint64_t ticket, std::string_view key, RecordedAnswer answer, TimePoint now)
{
    if (answer.body.size() > m_settings.maxRecordedBody) {
        answer.body.clear();
        answer.truncated = true;
    }
    m_endings.insert_or_assign(std::string(key), Ending { claimantOf(ticket), std::move(answer) });
    return advance(now);
}

LedgerActions LedgerShard::release(uint64_t ticket, std::string_view key, TimePoint now)
{
    m_endings.insert_or_assign(std::string(key), Ending { claimantOf(ticket), std::nullopt });
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
    m_record = std::move(stored);
    m_revision = revision;
    m_owned = revision && m_record.owner == m_owner;
    return readMissingSegment(now);
}

LedgerActions LedgerShard::readMissingSegment(TimePoint now)
{
    for (const std::string& segment : m_record.segments) {
        if (m_sealed.contains(segment))
            continue;
        // Written by this process, but the answer to the record's write was lost.
        if (m_sealing && m_sealing->segment == segment) {
            m_sealed[segment] = m_sealing->entries;
            continue;
        }
        m_phase = Phase::ReadingSegment;
        m_segmentRead = segment;
        LedgerActions actions;
        actions.readSegment = segment;
        return actions;
    }
    m_loaded = true;
    return settleAndAdvance(now);
}

LedgerActions LedgerShard::onSegmentRead(std::string_view value, TimePoint now)
{
    std::string reason;
    std::optional<LedgerEntries> entries;
    if (!value.empty())
        entries = parseSegment(value, reason);
    // The record that named a missing segment has been replaced since.
    if (!entries)
        return onReadFailed(now);
    m_sealed[m_segmentRead] = std::move(*entries);
    return readMissingSegment(now);
}

LedgerActions LedgerShard::onSegmentWritten(TimePoint now)
{
    m_phase = Phase::Idle;
    if (m_sealing)
        m_sealing->written = true;
    return advance(now);
}

LedgerActions LedgerShard::onSegmentWriteFailed(TimePoint now)
{
    m_sealing.reset();
    m_phase = Phase::Delayed;
    m_resumeAt = now + m_settings.retryDelay;
    return {};
}

LedgerActions LedgerShard::onReadFailed(TimePoint now)
{
    m_phase = Phase::Delayed;
    m_resumeAt = now + m_settings.retryDelay;
    m_loaded = false;
    m_owned = false;
    LedgerActions actions;
    failWaiting(actions, Reason::PlatformDown);
    return actions;
}

LedgerActions LedgerShard::onWritten(uint64_t revision, TimePoint now)
{
    m_record = std::move(m_pending);
    m_revision = revision;
    m_owned = true;
    return settleAndAdvance(now);
}

LedgerActions LedgerShard::onWriteUnresolved(TimePoint)
{
    m_owned = false;
    m_loaded = false;
    return startRead();
}

LedgerActions LedgerShard::onTick(TimePoint now)
{
    if (m_phase == Phase::Delayed && now >= m_resumeAt)
        m_phase = Phase::Idle;
    return advance(now);
}

std::string LedgerShard::claimantOf(uint64_t ticket) const
{
    return std::to_string(m_owner) + "-" + std::to_string(ticket);
}

LedgerActions LedgerShard::settleAndAdvance(TimePoint now)
{
    m_phase = Phase::Idle;
    LedgerActions settled;
    settleSealing();
    dropSealed(settled);
    settleEndings();
    settleClaims(settled);
    LedgerActions next = advance(now);
    next.removeSegments = std::move(settled.removeSegments);
    next.results.insert(next.results.begin(), settled.results.begin(), settled.results.end());
    return next;
}

LedgerActions LedgerShard::advance(TimePoint now)
{
    if (m_phase != Phase::Idle)
        return {};
    if (std::optional<SegmentWrite> segment = startSealing()) {
        LedgerActions actions;
        actions.writeSegment = std::move(segment);
        return actions;
    }
    const bool sealed = m_sealing && m_sealing->written;
    if (m_waiting.empty() && m_endings.empty() && !sealed)
        return {};
    const bool foreign = std::any_of(m_waiting.begin(), m_waiting.end(),
        [&](const auto& item) { return awaitsForeign(item.second, now); });
    if (!m_loaded || (foreign && now >= m_nextRead)) {
        m_nextRead = now + m_settings.foreignPause;
        return startRead();
    }
    return now < m_nextWrite ? LedgerActions {} : startWrite(now);
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
    m_pending = m_record;
    if (!m_owned) {
        m_pending.owner = m_owner;
        ++m_pending.token;
    }
    prune();
    pruneSegments();
    addSealing();
    m_pendingBytes = 0;
    for (const auto& [key, entry] : m_pending.entries)
        m_pendingBytes += detail::entryBytes + (entry.answer ? entry.answer->body.size() : 0);
    addEndings();
    const bool sealed = m_sealing && m_sealing->written && m_owned;
    if (!addClaims(now, actions) && m_endings.empty() && !sealed)
        return actions;
    m_phase = Phase::Writing;
    m_nextWrite = now + m_settings.writeInterval;
    ++m_writes;
    actions.write = LedgerWrite { toJson(m_pending), m_revision };
    return actions;
}

std::optional<SegmentWrite> LedgerShard::startSealing()
{
    const bool due = m_record.entries.size() >= m_settings.sealAt || m_pendingBytes >= m_settings.maxBytes / 2;
    if (!m_owned || !m_loaded || m_sealing || !due || sealedEntries() + m_record.entries.size() > m_settings.maxSealed)
        return std::nullopt;
    Sealing sealing { std::to_string(m_owner) + "-" + std::to_string(++m_nextSegment), {}, false };
    for (const auto& [key, entry] : m_record.entries)
        if (entry.answer)
            sealing.entries.emplace(key, entry);
    // Not worth a segment while most are still running.
    if (sealing.entries.size() * 2 < m_record.entries.size())
        return std::nullopt;
    m_phase = Phase::WritingSegment;
    m_sealing = std::move(sealing);
    return SegmentWrite { m_sealing->segment, segmentToJson(m_sealing->entries) };
}

void LedgerShard::addSealing()
{
    // A record of another owner does not hold these entries for this one to move.
    if (!m_sealing || !m_sealing->written || !m_owned)
        return;
    for (const auto& [key, entry] : m_sealing->entries)
        m_pending.entries.erase(key);
    m_pending.segments.push_back(m_sealing->segment);
}

void LedgerShard::settleSealing()
{
    if (!m_sealing)
        return;
    const auto& segments = m_record.segments;
    if (std::find(segments.begin(), segments.end(), m_sealing->segment) != segments.end()) {
        m_sealed[m_sealing->segment] = std::move(m_sealing->entries);
        m_sealing.reset();
    } else if (!m_owned) {
        m_sealing.reset();
    }
}

void LedgerShard::pruneSegments()
{
    std::erase_if(m_pending.segments, [&](const std::string& segment) {
        const auto& entries = m_sealed[segment];
        return std::all_of(entries.begin(), entries.end(), [&](const auto& item) { return item.second.claimedAt + m_settings.retention.count() < m_unixSeconds; });
    });
}

void LedgerShard::dropSealed(LedgerActions& actions)
{
    const auto& segments = m_record.segments;
    std::erase_if(m_sealed, [&](const auto& item) {
        if (std::find(segments.begin(), segments.end(), item.first) != segments.end())
            return false;
        if (m_owned)
            actions.removeSegments.push_back(item.first);
        return true;
    });
}

size_t LedgerShard::sealedEntries() const
{
    size_t count = 0;
    for (const auto& [segment, entries] : m_sealed)
        count += entries.size();
    return count;
}

const LedgerEntry* LedgerShard::find(std::string_view key) const
{
    if (const auto found = m_record.entries.find(key); found != m_record.entries.end())
        return &found->second;
    for (const auto& [segment, entries] : m_sealed)
        if (const auto found = entries.find(key); found != entries.end())
            return &found->second;
    return nullptr;
}

void LedgerShard::addEndings()
{
    for (const auto& [key, ending] : m_endings) {
        const auto found = m_pending.entries.find(key);
        if (found == m_pending.entries.end() || found->second.claimant != ending.claimant)
            continue;
        if (ending.answer) {
            found->second.answer = ending.answer;
            const size_t bytes = ending.answer->body.size();
            // Bodies leave half of the room to claims.
            if (m_pendingBytes + bytes > m_settings.maxBytes / 2) {
                found->second.answer->body.clear();
                found->second.answer->truncated = true;
            } else {
                m_pendingBytes += bytes;
            }
        } else
            m_pending.entries.erase(found);
    }
}

bool LedgerShard::isFull() const
{
    return m_pending.entries.size() >= m_settings.maxEntries || m_pendingBytes + detail::entryBytes > m_settings.maxBytes;
}

size_t LedgerShard::addClaims(TimePoint now, LedgerActions& actions)
{
    size_t added = 0;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto& [ticket, claim] = *waiting;
        const bool foreign = awaitsForeign(claim, now);
        const bool known = !foreign && decideKnown(claim, ticket, now, actions);
        const bool full = !foreign && !known && isFull();
        if (full)
            actions.results.push_back({ ticket, Reason::LedgerFull, Outcome::NotRun, std::nullopt });
        else if (!known && !foreign) {
            m_pending.entries.try_emplace(claim.key, LedgerEntry { claim.bodyDigest, claimantOf(ticket), claim.claimedAt, std::nullopt });
            m_pendingBytes += detail::entryBytes;
            ++added;
        }
        waiting = known || full ? m_waiting.erase(waiting) : std::next(waiting);
    }
    return added;
}

void LedgerShard::settleEndings()
{
    std::erase_if(m_endings, [&](const auto& item) {
        const auto& [key, ending] = item;
        const auto found = m_record.entries.find(key);
        return found == m_record.entries.end() || found->second.claimant != ending.claimant || found->second.answer;
    });
}

void LedgerShard::settleClaims(LedgerActions& actions)
{
    if (!m_owned)
        return;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto found = m_record.entries.find(waiting->second.key);
        const bool claimed = found != m_record.entries.end() && found->second.claimant == claimantOf(waiting->first);
        if (claimed)
            actions.results.push_back({ waiting->first, Reason::None, Outcome::NotRun, std::nullopt });
        waiting = claimed ? m_waiting.erase(waiting) : std::next(waiting);
    }
}

void LedgerShard::failWaiting(LedgerActions& actions, Reason reason)
{
    for (const auto& [ticket, waiting] : m_waiting) {
        actions.results.push_back({ ticket, reason, Outcome::NotRun, std::nullopt });
        m_endings.try_emplace(waiting.key, Ending { claimantOf(ticket), std::nullopt });
    }
    m_waiting.clear();
}

bool LedgerShard::isOwn(std::string_view claimant) const
{
    return claimant.starts_with(std::to_string(m_owner) + "-");
}

bool LedgerShard::awaitsForeign(const Waiting& waiting, TimePoint now) const
{
    const auto found = m_record.entries.find(waiting.key);
    return now < waiting.foreignUntil && found != m_record.entries.end() && !found->second.answer
        && found->second.bodyDigest == waiting.bodyDigest && !isOwn(found->second.claimant);
}

bool LedgerShard::decideKnown(const Waiting& waiting, uint64_t ticket, TimePoint now, LedgerActions& actions) const
{
    const LedgerEntry* found = find(waiting.key);
    if (awaitsForeign(waiting, now) || !found || found->claimant == claimantOf(ticket))
        return false;
    ClaimResult result { ticket, Reason::KeyInProgress, Outcome::MayHaveRun, found->answer };
    // The answer may be known here before it is written.
    const auto ending = m_endings.find(waiting.key);
    if (!result.answer && ending != m_endings.end() && ending->second.claimant == found->claimant)
        result.answer = ending->second.answer;
    if (found->bodyDigest != waiting.bodyDigest)
        result = { ticket, Reason::KeyReused, Outcome::NotRun, std::nullopt };
    actions.results.push_back(std::move(result));
    return true;
}

void LedgerShard::prune()
{
    std::erase_if(m_pending.entries, [&](const auto& entry) {
        return entry.second.claimedAt + m_settings.retention.count() < m_unixSeconds;
    });
}

} // namespace orioletrail
