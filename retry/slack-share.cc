#include "retry/slack-share.h"

namespace orioletrail {

namespace detail {

    // The slack is divided by this multiple of the known instances, as others may exist.
    constexpr size_t unknownInstancesFactor = 2;
    // Instances that start first do not know of the others yet.
    constexpr size_t minInstances = 4;

} // namespace detail

void SlackShare::onInstance(std::string_view name)
{
    if (!m_instances.contains(name))
        m_instances.emplace(name);
}

void SlackShare::onRegistered(bool isNew, TimePoint now)
{
    m_usableFrom = isNew ? now : m_started + m_settings.window;
}

double SlackShare::share(TimePoint now) const
{
    if (!m_usableFrom || now < *m_usableFrom)
        return 0;
    const size_t instances = std::max(detail::minInstances, m_instances.size());
    return m_settings.slack / static_cast<double>(detail::unknownInstancesFactor * instances);
}

} // namespace orioletrail
