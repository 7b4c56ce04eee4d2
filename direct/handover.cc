#include "direct/handover.h"

namespace orioletrail {

const std::optional<LeadershipOffer>& LeadershipHandover::offer(const MapLeadership& leadership, const std::function<std::optional<InstanceProcess>()>& findSuccessor)
{
    if (m_offer)
        return m_offer;
    if (auto found = findSuccessor())
        m_offer = LeadershipOffer { std::move(*found), leadership };
    return m_offer;
}

std::optional<MapLeadership> LeadershipHandover::accept(const LeadershipOffer& offer)
{
    if (offer.successor != m_self || offer.leadership.end <= m_acceptedEnd)
        return std::nullopt;
    m_acceptedEnd = offer.leadership.end;
    return offer.leadership;
}

} // namespace orioletrail
