#include "membership/freshness.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Age that is reported for a configuration that was never confirmed.
    constexpr Millis unconfirmedAge { 1'000'000'000 };

} // namespace detail

void Freshness::confirm(TimePoint at)
{
    if (!m_confirmedAt || at > *m_confirmedAt)
        m_confirmedAt = at;
}

void Freshness::recordContact(std::string_view zone, TimePoint now)
{
    const auto found = m_lastContact.find(zone);
    if (found == m_lastContact.end())
        m_lastContact.emplace(std::string(zone), now);
    else
        found->second = std::max(found->second, now);
}

bool Freshness::hasRecentContact(TimePoint now) const
{
    return std::any_of(m_lastContact.begin(), m_lastContact.end(), [&](const auto& item) { return now - item.second <= m_settings.contactTimeout; });
}

Millis Freshness::age(TimePoint now) const
{
    return m_confirmedAt ? std::chrono::duration_cast<Millis>(now - *m_confirmedAt) : detail::unconfirmedAge;
}

bool Freshness::mayAcceptWork(TimePoint now, size_t zones) const
{
    if (age(now) <= m_settings.freshFor)
        return true;
    size_t reachableZones = 1;
    for (const auto& [zone, at] : m_lastContact)
        if (zone != m_ownZone && now - at <= m_settings.contactTimeout)
            ++reachableZones;
    return reachableZones * 2 > zones && (zones > 1 || m_confirmedAt);
}

} // namespace orioletrail
