#include "routing/health.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Weight of the latest answer in the moving averages: about the last ten count.
    constexpr double latestWeight = 0.1;
    // An endpoint that restarts is back after some hundred milliseconds at the earliest.
    constexpr Millis leastAvoided { 250 };
    constexpr Millis mostAvoided { 2000 };
    // Without requests that may be repeated nothing shows that an endpoint answers again; an
    // endpoint that has gone is known from the platform by then.
    constexpr Millis suspectFor { 10'000 };
    // An endpoint is silent after so many times its usual first byte, within bounds: scheduling and
    // lost packets delay single answers by some hundred milliseconds.
    constexpr int silenceFactor = 8;
    constexpr Millis leastSilence { 300 };
    constexpr Millis mostSilence { 1500 };

} // namespace detail

EndpointHealth::Record& EndpointHealth::recordOf(std::string_view endpoint)
{
    const auto found = m_records.find(endpoint);
    return found == m_records.end() ? m_records[std::string(endpoint)] : found->second;
}

const EndpointHealth::Record* EndpointHealth::find(std::string_view endpoint) const
{
    const auto found = m_records.find(endpoint);
    return found == m_records.end() ? nullptr : &found->second;
}

void EndpointHealth::onAnswer(std::string_view endpoint, Millis firstByte, bool failed, TimePoint now)
{
    Record& record = recordOf(endpoint);
    record.unreachable = 0;
    record.avoidUntil = TimePoint();
    record.suspectUntil = TimePoint();
    record.lastAnswer = now;
    record.failures += detail::latestWeight * ((failed ? 1.0 : 0.0) - record.failures);
    const auto millis = static_cast<double>(firstByte.count());
    record.firstByteMs = record.firstByteMs > 0 ? record.firstByteMs + detail::latestWeight * (millis - record.firstByteMs) : millis;
}

void EndpointHealth::onUnreachable(std::string_view endpoint, TimePoint now)
{
    Record& record = recordOf(endpoint);
    // Requests that were lost together count once.
    if (now < record.avoidUntil)
        return;
    const Millis pause = std::min(detail::mostAvoided, detail::leastAvoided * (1 << std::min(record.unreachable, 3U)));
    ++record.unreachable;
    record.avoidUntil = now + pause;
}

void EndpointHealth::onSilent(std::string_view endpoint, TimePoint now)
{
    onUnreachable(endpoint, now);
    recordOf(endpoint).suspectUntil = now + detail::suspectFor;
}

bool EndpointHealth::isAvoided(std::string_view endpoint, bool isRepeatable, TimePoint now) const
{
    const Record* record = find(endpoint);
    return record && now < (isRepeatable ? record->avoidUntil : std::max(record->avoidUntil, record->suspectUntil));
}

Millis EndpointHealth::silenceLimit(std::string_view endpoint) const
{
    return std::clamp(detail::silenceFactor * firstByte(endpoint), detail::leastSilence, detail::mostSilence);
}

bool EndpointHealth::hasAnsweredSince(std::string_view endpoint, TimePoint time) const
{
    const Record* record = find(endpoint);
    return record && record->lastAnswer >= time;
}

double EndpointHealth::failureShare(std::string_view endpoint) const
{
    const Record* record = find(endpoint);
    return record ? record->failures : 0;
}

Millis EndpointHealth::firstByte(std::string_view endpoint) const
{
    const Record* record = find(endpoint);
    return Millis(record ? static_cast<Millis::rep>(record->firstByteMs) : 0);
}

void EndpointHealth::forget(std::string_view endpoint)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end())
        m_records.erase(found);
}

} // namespace orioletrail
