#include "retry/poison.h"

#include "base/digest.h"

#include <algorithm>
#include <span>

namespace orioletrail {

namespace detail {

    // Times of peers are late by the delay of their messages, so an attempt that followed a death may
    // seem to overlap it by this much. It did overlap if both were also lost within lossTolerance.
    constexpr Millis overlapTolerance { 10 };
    constexpr Millis lossTolerance { 2 };

    // An endpoint that has ended is not back sooner.
    constexpr Millis minRestartTime { 1000 };

    // Settled deaths that are kept for each death that may be kept.
    constexpr size_t settledPerDeath = 8;

    Millis ageOf(TimePoint time, TimePoint now)
    {
        return std::max(Millis(0), std::chrono::duration_cast<Millis>(now - time));
    }

} // namespace detail

std::string_view poisonVerdictName(PoisonVerdict verdict)
{
    switch (verdict) {
    case PoisonVerdict::Run:
        return "run";
    case PoisonVerdict::RunAlone:
        return "run-alone";
    case PoisonVerdict::Trial:
        return "trial";
    case PoisonVerdict::Refuse:
        return "refuse";
    }
    return "";
}

uint32_t PoisonRecords::onDeath(std::string_view digest, const RequestDeath& death, TimePoint now)
{
    Record& record = recordOf(digest, now);
    addDeath(record, { identify(record, death), death.sentAt, death.lostAt }, now);
    return countDeaths(record);
}

uint64_t PoisonRecords::identify(const Record& record, const RequestDeath& death)
{
    uint64_t process = death.process;
    for (uint64_t generation = 1;; ++generation) {
        const auto known = std::find_if(record.deaths.begin(), record.deaths.end(), [&](const RequestDeath& other) { return other.process == process; });
        if (known == record.deaths.end() || death.sentAt < known->lostAt + detail::minRestartTime)
            return process;
        process = hash64(std::to_string(process), generation);
    }
}

bool PoisonRecords::merge(const PoisonEvidence& evidence, TimePoint now)
{
    const bool isKnown = m_records.contains(evidence.digest);
    if (!isKnown && evidence.deaths.empty())
        return false;
    Record& record = recordOf(evidence.digest, now);
    const bool wasCompleted = record.completedAt.has_value();
    bool isNews = evidence.clearedAgo && (clear(record, now - *evidence.clearedAgo, now) || !wasCompleted);
    for (const PoisonEvidence::Death& death : evidence.deaths)
        isNews = addDeath(record, { death.process, now - death.sentAgo, now - death.lostAgo }, now) || isNews;
    return isNews;
}

bool PoisonRecords::onCompleted(std::string_view digest, TimePoint now)
{
    m_completed.add(digest, now);
    const auto found = m_records.find(digest);
    return found != m_records.end() && clear(found->second, now, now);
}

bool PoisonRecords::addDeath(Record& record, const RequestDeath& death, TimePoint now)
{
    const bool isKnown = std::any_of(record.deaths.begin(), record.deaths.end(), [&](const RequestDeath& other) { return other.process == death.process; })
        || std::find(record.settled.begin(), record.settled.end(), death.process) != record.settled.end();
    if (isKnown || (record.completedAt && death.lostAt <= *record.completedAt) || now - death.lostAt > m_settings.retention)
        return false;
    const auto position = std::upper_bound(record.deaths.begin(), record.deaths.end(), death, [](const RequestDeath& a, const RequestDeath& b) { return a.lostAt < b.lostAt; });
    record.deaths.insert(position, death);
    if (record.deaths.size() > m_settings.maxDeaths)
        settle(record, record.deaths.begin() + 1);
    record.changedAt = now;
    return true;
}

bool PoisonRecords::clear(Record& record, TimePoint completedAt, TimePoint now)
{
    record.completedAt = std::max(record.completedAt.value_or(completedAt), completedAt);
    const auto end = std::upper_bound(record.deaths.begin(), record.deaths.end(), completedAt, [](TimePoint time, const RequestDeath& death) { return time < death.lostAt; });
    if (end == record.deaths.begin())
        return false;
    settle(record, end);
    record.changedAt = now;
    return true;
}

void PoisonRecords::settle(Record& record, std::vector<RequestDeath>::iterator end)
{
    for (auto death = record.deaths.begin(); death != end; ++death)
        record.settled.push_back(death->process);
    record.deaths.erase(record.deaths.begin(), end);
    while (record.settled.size() > detail::settledPerDeath * m_settings.maxDeaths)
        record.settled.pop_front();
}

std::vector<const RequestDeath*> PoisonRecords::unexplainedDeaths(const Record& record) const
{
    std::vector<const RequestDeath*> deaths;
    for (const RequestDeath& death : record.deaths)
        deaths.push_back(&death);
    if (deaths.size() < m_settings.refuseAfter)
        return deaths;
    for (const auto& [digest, other] : m_records) {
        if (other.completedAt || other.deaths.size() <= record.deaths.size())
            continue;
        std::erase_if(deaths, [&other = other](const RequestDeath* death) {
            return std::any_of(other.deaths.begin(), other.deaths.end(), [&](const RequestDeath& shared) { return shared.process == death->process; });
        });
    }
    return deaths;
}

PoisonRecords::Charge PoisonRecords::chargeOf(const Record& record) const
{
    Charge charge;
    std::optional<TimePoint> lastLost;
    std::optional<TimePoint> enoughLost;
    for (const RequestDeath* death : unexplainedDeaths(record)) {
        charge.isRepeated = charge.isRepeated || (enoughLost && death->sentAt > *enoughLost);
        if (++charge.processes == m_settings.refuseAfter)
            enoughLost = death->lostAt;
        const bool mayFollow = lastLost && death->sentAt + detail::overlapTolerance >= *lastLost && death->lostAt >= *lastLost + detail::lossTolerance;
        if (lastLost && death->sentAt < *lastLost && !mayFollow)
            continue;
        lastLost = death->lostAt;
        ++charge.separate;
    }
    return charge;
}

uint32_t PoisonRecords::countDeaths(const Record& record) const
{
    const Charge charge = chargeOf(record);
    return record.completedAt ? charge.separate : charge.processes;
}

bool PoisonRecords::hasCompleted(std::string_view digest) const
{
    const auto found = m_records.find(digest);
    return found != m_records.end() && found->second.completedAt;
}

Millis PoisonRecords::sinceLastDeath(std::string_view digest, TimePoint now) const
{
    const auto found = m_records.find(digest);
    return found == m_records.end() || found->second.deaths.empty() ? Millis(0) : detail::ageOf(found->second.deaths.back().lostAt, now);
}

uint32_t PoisonRecords::deathCount(std::string_view digest) const
{
    const auto found = m_records.find(digest);
    return found == m_records.end() ? 0 : countDeaths(found->second);
}

PoisonVerdict PoisonRecords::verdict(std::string_view digest, TimePoint now) const
{
    const auto found = m_records.find(digest);
    return found == m_records.end() ? PoisonVerdict::Run : verdict(found->second, now);
}

PoisonVerdict PoisonRecords::verdict(const Record& record, TimePoint now) const
{
    if (record.deaths.empty() || isExpired(record, now))
        return PoisonVerdict::Run;
    const Charge charge = chargeOf(record);
    const bool isInDoubt = !record.completedAt && charge.processes >= m_settings.trialAfter;
    if (charge.separate < m_settings.refuseAfter && !(isInDoubt && charge.isRepeated))
        return isInDoubt ? PoisonVerdict::Trial : PoisonVerdict::RunAlone;
    constexpr uint32_t maxDoublings = 8;
    const uint32_t excess = std::max(charge.separate, m_settings.refuseAfter) - m_settings.refuseAfter;
    const Millis refusal = std::min(m_settings.maxRefusal, m_settings.refusal * (1U << std::min(maxDoublings, excess)));
    return now - record.deaths.back().lostAt < refusal ? PoisonVerdict::Refuse : PoisonVerdict::Trial;
}

PoisonEvidence PoisonRecords::toEvidence(std::string_view digest, const Record& record, TimePoint now)
{
    PoisonEvidence evidence { std::string(digest), {} };
    for (const RequestDeath& death : record.deaths)
        evidence.deaths.push_back({ death.process, detail::ageOf(death.sentAt, now), detail::ageOf(death.lostAt, now) });
    if (record.completedAt)
        evidence.clearedAgo = detail::ageOf(*record.completedAt, now);
    return evidence;
}

PoisonEvidence PoisonRecords::evidence(std::string_view digest, TimePoint now) const
{
    const auto found = m_records.find(digest);
    return found == m_records.end() ? PoisonEvidence { std::string(digest), {} } : toEvidence(digest, found->second, now);
}

std::vector<PoisonEvidence> PoisonRecords::report(TimePoint now)
{
    using Item = const std::pair<const std::string, Record>*;
    std::vector<Item> recent;
    std::vector<Item> refused;
    std::vector<Item> others;
    for (const auto& item : m_records) {
        if (now - item.second.changedAt < m_settings.announcement)
            recent.push_back(&item);
        else if (verdict(item.second, now) == PoisonVerdict::Refuse)
            refused.push_back(&item);
        else if (!item.second.deaths.empty() && !isExpired(item.second, now))
            others.push_back(&item);
    }
    const auto isNewer = [](Item a, Item b) { return a->second.changedAt > b->second.changedAt; };
    std::sort(recent.begin(), recent.end(), isNewer);
    std::sort(refused.begin(), refused.end(), isNewer);
    // Continues behind the record that was reported last.
    std::rotate(others.begin(), std::find_if(others.begin(), others.end(), [&](Item item) { return item->first > m_lastRepeated; }), others.end());
    std::vector<PoisonEvidence> report;
    const auto append = [&](const std::vector<Item>& items, size_t limit) {
        for (const Item item : std::span(items).first(std::min(items.size(), limit)))
            report.push_back(toEvidence(item->first, item->second, now));
    };
    append(recent, m_settings.maxReported);
    append(refused, m_settings.maxReported);
    append(others, m_settings.maxRepeated);
    if (!others.empty())
        m_lastRepeated = others[std::min(others.size(), m_settings.maxRepeated) - 1]->first;
    return report;
}

std::vector<PoisonEvidence> PoisonRecords::fullReport(TimePoint now) const
{
    std::vector<PoisonEvidence> report;
    for (const auto& [digest, record] : m_records)
        if (!record.deaths.empty() && !isExpired(record, now))
            report.push_back(toEvidence(digest, record, now));
    return report;
}

bool PoisonRecords::isExpired(const Record& record, TimePoint now) const
{
    const TimePoint last = record.deaths.empty() ? record.changedAt : record.deaths.back().lostAt;
    return now - last > m_settings.retention;
}

PoisonRecords::Record& PoisonRecords::recordOf(std::string_view digest, TimePoint now)
{
    const auto found = m_records.find(digest);
    if (found != m_records.end()) {
        if (isExpired(found->second, now))
            found->second = { {}, m_completed.find(digest), now, {} };
        return found->second;
    }
    if (m_records.size() >= m_settings.maxRecords)
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) { return a.second.changedAt < b.second.changedAt; }));
    Record& record = m_records[std::string(digest)];
    record.changedAt = now;
    record.completedAt = m_completed.find(digest);
    return record;
}

} // namespace orioletrail
