#include "retry/suspect-trials.h"

#include "base/digest.h"

#include <algorithm>

namespace orioletrail {

SuspectDecision SuspectTrials::decide(const PoisonRecords& records, std::span<const std::string> digests, TimePoint now) const
{
    for (const std::string& digest : digests)
        if (records.verdict(digest, now) == PoisonVerdict::Refuse)
            return SuspectDecision::Refuse;
    const std::string* suspect = findSuspect(records, digests, now);
    if (!suspect)
        return SuspectDecision::Run;
    const auto running = m_running.find(*suspect);
    const bool isTried = running != m_running.end() && now - running->second < maxTrialTime;
    const bool mayTry = records.verdict(*suspect, now) != PoisonVerdict::Trial || isTester(*suspect, records.sinceLastDeath(*suspect, now), now);
    return !isTried && mayTry ? SuspectDecision::Run : SuspectDecision::Hold;
}

std::string SuspectTrials::onBegun(const PoisonRecords& records, std::span<const std::string> digests, TimePoint now)
{
    const std::string* suspect = findSuspect(records, digests, now);
    if (!suspect)
        return {};
    m_running.insert_or_assign(*suspect, now);
    return *suspect;
}

const std::string* SuspectTrials::findSuspect(const PoisonRecords& records, std::span<const std::string> digests, TimePoint now)
{
    const std::string* suspect = nullptr;
    for (const std::string& digest : digests) {
        const PoisonVerdict verdict = records.verdict(digest, now);
        if (verdict == PoisonVerdict::Trial)
            return &digest;
        if (verdict == PoisonVerdict::RunAlone && !records.hasCompleted(digest))
            suspect = &digest;
    }
    return suspect;
}

bool SuspectTrials::isTester(std::string_view digest, Millis sinceLastDeath, TimePoint now) const
{
    const uint64_t own = rendezvousScore(digest, m_self);
    size_t live = 1;
    size_t rank = 0;
    for (const auto& [name, heard] : m_heard) {
        if (name == m_self || now - heard > instanceTimeout)
            continue;
        ++live;
        rank += rendezvousScore(digest, name) > own;
    }
    if (live <= testers)
        return true;
    const auto turns = static_cast<size_t>(sinceLastDeath / turn);
    if (turns && sinceLastDeath % turn < turnMargin)
        return false;
    const size_t first = turns * testers % live;
    return (rank + live - first) % live < testers;
}

} // namespace orioletrail
