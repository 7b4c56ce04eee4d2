#include "routing/health.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Weight of the latest answer in the moving averages: about the last ten count.
    constexpr double latestWeight = 0.1;
    // An endpoint that restarts is back after some hundred milliseconds at the earliest.
    constexpr Millis leastAvoided { 250 };
    constexpr Millis mostAvoided { 2000 };

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

void EndpointHealth::onAnswer(std::string_view endpoint, Millis firstByte, bool failed, TimePoint)
{
    Record& record = recordOf(endpoint);
    record.unreachable = 0;
    record.avoidUntil = TimePoint();
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

bool EndpointHealth::isAvoided(std::string_view endpoint, TimePoint now) const
{
    const Record* record = find(endpoint);
    return record && now < record->avoidUntil;
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
