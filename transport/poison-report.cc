#include "transport/poison-report.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Ages beyond this are of no use, and larger ones would overflow a time.
    constexpr uint64_t maxAgeMs = 24 * 3600 * uint64_t { 1000 };

    Millis toAge(uint64_t millis)
    {
        return Millis(static_cast<Millis::rep>(std::min(millis, maxAgeMs)));
    }

    uint64_t toCount(Millis age)
    {
        return static_cast<uint64_t>(age.count());
    }

} // namespace detail

PoisonReport toPoisonReport(const PoisonEvidence& evidence)
{
    PoisonReport report;
    report.digest = evidence.digest;
    for (const PoisonEvidence::Death& death : evidence.deaths)
        report.deaths.push_back({ death.process, detail::toCount(death.sentAgo), detail::toCount(death.lostAgo) });
    report.isCleared = evidence.clearedAgo.has_value();
    report.clearedAgoMs = detail::toCount(evidence.clearedAgo.value_or(Millis(0)));
    return report;
}

PoisonEvidence toPoisonEvidence(const PoisonReport& report)
{
    PoisonEvidence evidence { report.digest, {} };
    for (const ReportedDeath& death : report.deaths)
        evidence.deaths.push_back({ death.process, detail::toAge(death.sentAgoMs), detail::toAge(death.lostAgoMs) });
    if (report.isCleared)
        evidence.clearedAgo = detail::toAge(report.clearedAgoMs);
    return evidence;
}

} // namespace orioletrail
