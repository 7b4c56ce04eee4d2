#include "priority/grants.h"

namespace orioletrail {

namespace detail {

    // Both the offer and its answer may take 100 ms; an unused place must not stay idle for longer than 300 ms.
    constexpr Millis grantLifetime { 250 };
    // An entry is active at each tick and each status message of a peer.
    constexpr Millis maxGap { 250 };
    // Messages that piled up during a pause are read within this time.
    constexpr Millis resumeTime { 100 };
    // Bounds the memory; a place beyond it is not passed on.
    constexpr uint64_t idMask = 0xffffffffffff;

} // namespace detail

AddressedGrant Grants::offer(std::string_view peer, std::string_view service, std::string_view endpoint, Urgency urgency, TimePoint now)
{
    // Numbers start at the time, so that answers to a previous process of this entry match none.
    if (m_nextId == 1)
        m_nextId = static_cast<uint64_t>(now.time_since_epoch().count()) & detail::idMask;
    Grant grant;
    grant.id = m_nextId++;
    grant.service = service;
    grant.endpoint = endpoint;
    m_held.emplace(grant.id, Held { std::string(peer), grant, urgency, now });
    return { std::string(peer), std::move(grant) };
}

std::optional<Grants::Held> Grants::onAnswer(std::string_view peer, const Grant& answer)
{
    const auto held = m_held.find(answer.id);
    if (held == m_held.end() || held->second.peer != peer || answer.kind == GrantKind::Offer)
        return std::nullopt;
    Held result = std::move(held->second);
    m_held.erase(held);
    return result;
}

std::vector<Grants::Held> Grants::expire(TimePoint now)
{
    std::vector<Held> expired;
    while (!m_held.empty() && now - m_held.begin()->second.made >= detail::grantLifetime) {
        expired.push_back(std::move(m_held.begin()->second));
        m_held.erase(m_held.begin());
    }
    return expired;
}

void PauseDetector::onActive(TimePoint now)
{
    if (m_active != TimePoint {} && now - m_active > detail::maxGap)
        m_resumed = now;
    m_active = now;
}

bool PauseDetector::hasJustResumed(TimePoint now) const
{
    return (m_active != TimePoint {} && now - m_active > detail::maxGap) || (m_resumed && now - *m_resumed < detail::resumeTime);
}

} // namespace orioletrail
