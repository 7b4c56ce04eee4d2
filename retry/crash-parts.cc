#include "retry/crash-parts.h"

#include <algorithm>
#include <cmath>

namespace orioletrail {

namespace detail {

    constexpr Millis frequencyPeriod { 60'000 };
    // Attempts assumed before any has been counted.
    constexpr double priorAttempts = 10;
    // Parts that explain the same crashes are told apart only if their chances differ by this factor.
    constexpr double tieFactor = 10;
    constexpr Millis clearedRetention { 5000 };

    // Chance that a part that `share` of all requests have is in at least one of `requests`.
    double chanceOfPresence(double share, size_t requests)
    {
        return 1 - std::pow(1 - share, static_cast<double>(requests));
    }

} // namespace detail

size_t CrashParts::Frequencies::slot(PartHash part, size_t row)
{
    constexpr unsigned bitsPerRow = 24;
    return (part >> (bitsPerRow * row)) % rowSize;
}

void CrashParts::Frequencies::rotate(TimePoint now)
{
    if (now - m_periodStart < detail::frequencyPeriod)
        return;
    m_periodStart = now;
    m_previous = std::exchange(m_current, {});
}

void CrashParts::Frequencies::add(PartHash part, TimePoint now)
{
    rotate(now);
    for (size_t row = 0; row < m_current.rows.size(); ++row)
        ++m_current.rows[row][slot(part, row)];
}

void CrashParts::Frequencies::addAttempt(TimePoint now)
{
    rotate(now);
    ++m_current.attempts;
}

double CrashParts::Frequencies::share(PartHash part) const
{
    double count = 0;
    for (const Period* period : { &m_current, &m_previous })
        count += std::min(period->rows[0][slot(part, 0)], period->rows[1][slot(part, 1)]);
    const auto attempts = static_cast<double>(m_current.attempts + m_previous.attempts);
    return std::min(1.0, (count + 1) / (attempts + detail::priorAttempts));
}

void CrashParts::onSurvived(std::span<const PartHash> parts, TimePoint now)
{
    m_survivors.addAttempt(now);
    for (const PartHash part : parts)
        m_survivors.add(part, now);
}

void CrashParts::onAnswering(std::span<const PartHash> parts, TimePoint sent, TimePoint now)
{
    for (auto& [id, record] : m_crashes) {
        if (record.learnt >= sent)
            continue;
        for (const PartHash part : parts) {
            const bool isSuspect = std::any_of(record.crash.suspects.begin(), record.crash.suspects.end(),
                [&](const CrashSuspect& suspect) { return std::find(suspect.parts.begin(), suspect.parts.end(), part) != suspect.parts.end(); });
            if (!isSuspect || !record.crash.cleared.insert(part).second)
                continue;
            record.changed = now;
            m_refused.erase(part);
            m_cleared[part] = now;
        }
    }
}

CrashParts::Record& CrashParts::recordOf(uint64_t crash, TimePoint learnt)
{
    const auto found = m_crashes.find(crash);
    if (found != m_crashes.end())
        return found->second;
    if (m_crashes.size() >= m_settings.maxCrashes)
        m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& a, const auto& b) { return a.second.learnt < b.second.learnt; }));
    Record& record = m_crashes[crash];
    record.crash.id = crash;
    record.learnt = record.changed = learnt;
    return record;
}

bool CrashParts::addSuspect(Record& record, const CrashSuspect& suspect)
{
    std::vector<CrashSuspect>& suspects = record.crash.suspects;
    const bool isKnown = std::any_of(suspects.begin(), suspects.end(), [&](const CrashSuspect& other) { return other.request == suspect.request; });
    if (isKnown || suspects.size() >= m_settings.maxSuspects)
        return false;
    suspects.push_back(suspect);
    return true;
}

void CrashParts::onCrash(uint64_t crash, CrashSuspect suspect, TimePoint now)
{
    expire(now);
    Record& record = recordOf(crash, now);
    if (!addSuspect(record, suspect))
        return;
    record.changed = now;
    evaluate(now);
}

void CrashParts::merge(const CrashReport& report, TimePoint now)
{
    expire(now);
    bool hasChanged = false;
    for (const EndpointCrash& crash : report.crashes) {
        Record& record = recordOf(crash.id, now - std::clamp(crash.age, Millis(0), m_settings.retention));
        bool isNew = false;
        for (const CrashSuspect& suspect : crash.suspects)
            isNew = addSuspect(record, suspect) || isNew;
        for (const PartHash part : crash.cleared) {
            if (!record.crash.cleared.insert(part).second)
                continue;
            isNew = true;
            m_refused.erase(part);
            m_cleared[part] = now;
        }
        if (isNew)
            record.changed = now;
        hasChanged = hasChanged || isNew;
    }
    for (const auto& [part, left] : report.refused)
        if (refuse(part, std::min(left, m_settings.refusal), now) && m_onRefused)
            m_onRefused(part, std::nullopt, 0);
    if (hasChanged)
        evaluate(now);
}

CrashReport CrashParts::report(TimePoint now) const
{
    CrashReport report;
    std::vector<const Record*> recent;
    for (const auto& [id, record] : m_crashes)
        if (now - record.changed < m_settings.announcement)
            recent.push_back(&record);
    std::sort(recent.begin(), recent.end(), [](const Record* a, const Record* b) { return a->changed > b->changed; });
    for (const Record* record : std::span(recent).first(std::min(recent.size(), m_settings.maxReported))) {
        report.crashes.push_back(record->crash);
        report.crashes.back().age = std::chrono::duration_cast<Millis>(now - record->learnt);
    }
    for (const auto& [part, until] : m_refused)
        if (until > now)
            report.refused.emplace(part, std::chrono::duration_cast<Millis>(until - now));
    return report;
}

bool CrashParts::isRefused(std::span<const PartHash> parts, TimePoint now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](PartHash part) {
        const auto found = m_refused.find(part);
        return found != m_refused.end() && now < found->second;
    });
}

void CrashParts::expire(TimePoint now)
{
    std::erase_if(m_crashes, [&](const auto& item) { return now - item.second.learnt > m_settings.retention; });
    std::erase_if(m_refused, [&](const auto& item) { return now >= item.second; });
    std::erase_if(m_cleared, [&](const auto& item) { return now - item.second > detail::clearedRetention; });
}

std::vector<CrashParts::Cluster> CrashParts::clusters() const
{
    std::vector<const Record*> records;
    for (const auto& [id, record] : m_crashes)
        records.push_back(&record);
    std::sort(records.begin(), records.end(), [](const Record* a, const Record* b) { return a->learnt < b->learnt; });
    std::vector<Cluster> clusters;
    std::optional<TimePoint> begin;
    for (const Record* record : records) {
        if (!begin || record->learnt - *begin > m_settings.mergeWindow) {
            begin = record->learnt;
            clusters.emplace_back();
        }
        Cluster& cluster = clusters.back();
        cluster.suspects += record->crash.suspects.size();
        for (const CrashSuspect& suspect : record->crash.suspects)
            for (const PartHash part : suspect.parts)
                if (!record->crash.cleared.contains(part))
                    cluster.requestsByPart[part].insert(suspect.request);
    }
    return clusters;
}

void CrashParts::evaluate(TimePoint now)
{
    // The evidence against one part.
    struct Candidate {
        PartHash part = 0;
        double chance = 1;
        std::vector<size_t> clusters;
    };
    const std::vector<Cluster> all = clusters();
    std::map<PartHash, std::vector<size_t>> clustersByPart;
    for (size_t index = 0; index < all.size(); ++index)
        for (const auto& [part, requests] : all[index].requestsByPart)
            clustersByPart[part].push_back(index);
    std::vector<Candidate> candidates;
    for (auto& [part, indices] : clustersByPart) {
        std::set<uint64_t> requests;
        double logChance = 0;
        for (const size_t index : indices) {
            const std::set<uint64_t>& lost = all[index].requestsByPart.at(part);
            requests.insert(lost.begin(), lost.end());
            logChance += std::log(detail::chanceOfPresence(m_survivors.share(part), all[index].suspects));
        }
        // A request that is sent again brings the same parts to each of its endpoints.
        const size_t independent = std::min(indices.size(), requests.size());
        const double chance = std::exp(logChance * static_cast<double>(independent) / static_cast<double>(indices.size()));
        if (independent >= m_settings.minCrashes && chance <= m_settings.maxChance)
            candidates.push_back({ part, chance, std::move(indices) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.chance < b.chance; });
    // Chance of the part that explains each cluster.
    std::vector<std::optional<double>> explained(all.size());
    for (const Candidate& candidate : candidates) {
        const auto isOpen = [&](size_t index) { return !explained[index] || candidate.chance <= *explained[index] * detail::tieFactor; };
        if (static_cast<size_t>(std::count_if(candidate.clusters.begin(), candidate.clusters.end(), isOpen)) < m_settings.minCrashes)
            continue;
        for (const size_t index : candidate.clusters)
            explained[index] = explained[index].value_or(candidate.chance);
        if (refuse(candidate.part, m_settings.refusal, now) && m_onRefused)
            m_onRefused(candidate.part, candidate.chance, candidate.clusters.size());
    }
}

size_t CrashParts::suspectedPartCount() const
{
    size_t count = 0;
    for (const auto& [id, record] : m_crashes)
        for (const CrashSuspect& suspect : record.crash.suspects)
            count += suspect.parts.size();
    return count;
}

bool CrashParts::refuse(PartHash part, Millis duration, TimePoint now)
{
    const auto cleared = m_cleared.find(part);
    const bool wasJustCleared = cleared != m_cleared.end() && now - cleared->second < detail::clearedRetention;
    if (wasJustCleared || m_refused.contains(part) || m_refused.size() >= m_settings.maxRefused)
        return false;
    m_refused.emplace(part, now + duration);
    return true;
}

} // namespace orioletrail
