#include "transport/heartbeat.h"

namespace orioletrail {

namespace detail {

    uint64_t toMillis(TimePoint time)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<Millis>(time.time_since_epoch()).count());
    }

} // namespace detail

Ping Heartbeat::make(uint64_t revision, Millis age, Reason closed, TimePoint now) const
{
    return { detail::toMillis(now), m_last.sentAtMs, revision, static_cast<uint64_t>(age.count()), closed };
}

std::optional<FreshnessProof> Heartbeat::receive(const Ping& ping)
{
    m_last = ping;
    if (!ping.echoMs)
        return std::nullopt;
    return FreshnessProof { TimePoint(Millis(ping.echoMs)), Millis(ping.ageMs) };
}

} // namespace orioletrail
