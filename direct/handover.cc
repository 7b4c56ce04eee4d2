#include "direct/handover.h"

namespace orioletrail {

const std::optional<LeadOffer>& LeadHandover::offer(const MapLead& lead, const std::function<std::optional<InstanceRun>()>& successor)
{
    if (m_offer)
        return m_offer;
    if (auto found = successor())
        m_offer = LeadOffer { std::move(*found), lead };
    return m_offer;
}

std::optional<MapLead> LeadHandover::take(const LeadOffer& offer)
{
    if (offer.successor != m_own || offer.lead.end <= m_takenEnd)
        return std::nullopt;
    m_takenEnd = offer.lead.end;
    return offer.lead;
}

} // namespace orioletrail
