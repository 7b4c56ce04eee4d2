#include "admission/endpoint-limits.h"

namespace orioletrail {

namespace detail {

    // How long the end of a limit is reported.
    constexpr Millis liftedRetention { 3000 };
    // Answers closer together than this may be told in the wrong order by the delay of messages; then the
    // limit stays.
    constexpr Millis orderTolerance { 20 };

} // namespace detail

bool EndpointLimits::onAnswer(std::string_view endpoint, uint64_t process, double perSecond, TimePoint now)
{
    auto found = m_limits.find(endpoint);
    if (found == m_limits.end()) {
        if (perSecond <= 0)
            return false;
        found = m_limits.try_emplace(std::string(endpoint)).first;
    }
    Record& record = found->second;
    const bool hasChanged = record.process != process || record.perSecond != perSecond;
    record = { process, perSecond, now };
    return hasChanged;
}

bool EndpointLimits::merge(const NamedLimits& limits, TimePoint now)
{
    bool hasChanged = false;
    for (const auto& [endpoint, limit] : limits) {
        const TimePoint observed = now - limit.age;
        const auto found = m_limits.find(endpoint);
        const Millis tolerance = limit.perSecond > 0 ? Millis(0) : detail::orderTolerance;
        if (found != m_limits.end() && observed <= found->second.observed + tolerance)
            continue;
        hasChanged = onAnswer(endpoint, limit.process, limit.perSecond, observed) || hasChanged;
    }
    return hasChanged;
}

NamedLimits EndpointLimits::report(TimePoint now) const
{
    NamedLimits limits;
    for (const auto& [endpoint, record] : m_limits)
        if (record.perSecond > 0 || now - record.observed < detail::liftedRetention)
            limits.emplace(endpoint, NamedLimit { record.process, record.perSecond, std::chrono::duration_cast<Millis>(now - record.observed) });
    return limits;
}

double EndpointLimits::limitOf(std::string_view endpoint, uint64_t process) const
{
    const auto found = m_limits.find(endpoint);
    return found == m_limits.end() || found->second.process != process ? 0 : found->second.perSecond;
}

void EndpointLimits::removeEndpoint(std::string_view endpoint)
{
    const auto found = m_limits.find(endpoint);
    if (found != m_limits.end())
        m_limits.erase(found);
}

} // namespace orioletrail
