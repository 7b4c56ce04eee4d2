#include "membership/freshness.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // The age of a configuration that was never confirmed.
    constexpr Millis neverConfirmed { 1'000'000'000 };

} // namespace detail

void Freshness::confirm(TimePoint at)
{
    if (!m_confirmed || at > *m_confirmed)
        m_confirmed = at;
}

void Freshness::hear(std::string_view zone, TimePoint now)
{
    const auto found = m_heard.find(zone);
    if (found == m_heard.end())
        m_heard.emplace(std::string(zone), now);
    else
        found->second = std::max(found->second, now);
}

bool Freshness::hearsAny(TimePoint now) const
{
    return std::any_of(m_heard.begin(), m_heard.end(), [&](const auto& item) { return now - item.second <= m_settings.heardFor; });
}

Millis Freshness::age(TimePoint now) const
{
    return m_confirmed ? std::chrono::duration_cast<Millis>(now - *m_confirmed) : detail::neverConfirmed;
}

bool Freshness::mayAct(TimePoint now, size_t zones) const
{
    if (age(now) <= m_settings.freshFor)
        return true;
    size_t heard = 1;
    for (const auto& [zone, at] : m_heard)
        if (zone != m_ownZone && now - at <= m_settings.heardFor)
            ++heard;
    return heard * 2 > zones && (zones > 1 || m_confirmed);
}

} // namespace orioletrail
