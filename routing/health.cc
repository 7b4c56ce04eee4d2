#include "routing/health.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Weight of a new answer in the moving averages: about the last ten answers count.
    constexpr double sampleWeight = 0.1;
    // Limits of the backoff. An endpoint takes at least a few hundred milliseconds to restart.
    constexpr Millis minBackoff { 250 };
    constexpr Millis maxBackoff { 2000 };
    // How long non-idempotent requests avoid a silent endpoint if no answer arrives in the
    // meantime. Without idempotent requests to test it, no answer would ever arrive. An endpoint
    // that is gone has disappeared from the platform by then.
    constexpr Millis nonIdempotentBackoff { 10'000 };
    // The silence limit as a multiple of the average time to first byte, and its bounds: scheduling
    // and packet loss delay single answers by a few hundred milliseconds.
    constexpr int silenceFactor = 8;
    constexpr Millis minSilenceLimit { 300 };
    constexpr Millis maxSilenceLimit { 1500 };

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
    record.consecutiveUnreachable = 0;
    record.avoidUntil = TimePoint();
    record.avoidNonIdempotentUntil = TimePoint();
    record.lastAnswer = now;
    record.failureShare += detail::sampleWeight * ((failed ? 1.0 : 0.0) - record.failureShare);
    const auto elapsed = static_cast<double>(firstByte.count());
    record.meanFirstByteMs = record.meanFirstByteMs > 0 ? record.meanFirstByteMs + detail::sampleWeight * (elapsed - record.meanFirstByteMs) : elapsed;
}

void EndpointHealth::onUnreachable(std::string_view endpoint, TimePoint now)
{
    Record& record = recordOf(endpoint);
    // Requests that were lost at the same time count once.
    if (now < record.avoidUntil)
        return;
    const Millis backoff = std::min(detail::maxBackoff, detail::minBackoff * (1 << std::min(record.consecutiveUnreachable, 3U)));
    ++record.consecutiveUnreachable;
    record.avoidUntil = now + backoff;
}

void EndpointHealth::onSilent(std::string_view endpoint, TimePoint now)
{
    onUnreachable(endpoint, now);
    recordOf(endpoint).avoidNonIdempotentUntil = now + detail::nonIdempotentBackoff;
}

bool EndpointHealth::isAvoided(std::string_view endpoint, bool isIdempotent, TimePoint now) const
{
    const Record* record = find(endpoint);
    return record && now < (isIdempotent ? record->avoidUntil : std::max(record->avoidUntil, record->avoidNonIdempotentUntil));
}

Millis EndpointHealth::silenceLimit(std::string_view endpoint) const
{
    return std::clamp(detail::silenceFactor * meanFirstByte(endpoint), detail::minSilenceLimit, detail::maxSilenceLimit);
}

bool EndpointHealth::hasAnsweredSince(std::string_view endpoint, TimePoint time) const
{
    const Record* record = find(endpoint);
    return record && record->lastAnswer >= time;
}

double EndpointHealth::failureShare(std::string_view endpoint) const
{
    const Record* record = find(endpoint);
    return record ? record->failureShare : 0;
}

Millis EndpointHealth::meanFirstByte(std::string_view endpoint) const
{
    const Record* record = find(endpoint);
    return Millis(record ? static_cast<Millis::rep>(record->meanFirstByteMs) : 0);
}

void EndpointHealth::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end())
        m_records.erase(found);
}

} // namespace orioletrail
