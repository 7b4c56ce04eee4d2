#include "priority/service-order.h"

#include <algorithm>
#include <cmath>

namespace orioletrail {

namespace detail {

    // All that is kept leaves a service half empty at most: no request is refused for lack of capacity while less
    // than half is taken and nothing waits.
    constexpr double maxKeptOfCapacity = 0.25;
    // Share of the completions that less urgent requests are assumed to get if more urgent ones take them all.
    constexpr double minServedShare = 0.1;
    // Floor of a priority relative to its new requests.
    constexpr double claimedFloor = 0.25;
    // Interval of status messages and the delay of one, until an entry acts on what another has reported.
    constexpr double reportSeconds = 0.1;
    // A request at another entry is served first only if it has waited for longer by this: a grant takes time.
    constexpr Millis grantGain { 50 };

} // namespace detail

Urgency ServiceOrder::onArrival(const FloorRequest& request, TimePoint now)
{
    const bool hasClaim = request.isReturn && m_claims.redeem(request.priority, now);
    if (!request.isReturn)
        m_demand.onArrival(request.priority, now);
    m_floors.onArrival(request, now);
    return urgencyOf(request.priority, m_floors.isExcess(request, now), hasClaim);
}

void ServiceOrder::onPeer(std::string_view peer, const ServiceOrderReport& report, TimePoint now)
{
    m_demand.onPeer(peer, report.rates, now);
    m_peers.onPeer(peer, report.waiting, now);
    m_claims.onPeer(peer, report.claims, now);
}

ServiceOrderReport ServiceOrder::report(TimePoint now) const
{
    ServiceOrderReport report;
    report.rates = m_demand.report(now);
    report.claims = m_claims.report(now);
    return report;
}

double ServiceOrder::kept(Urgency urgency, const Supply& supply, TimePoint now) const
{
    if (urgency == floorUrgency || !supply.keepsPlaces)
        return 0;
    const int priority = priorityOf(urgency);
    const bool hasClaim = urgency % 2 == 0;
    const double claimed = m_claims.due(hasClaim ? priority - 1 : priority, now);
    return std::min(detail::maxKeptOfCapacity * supply.capacity, m_demand.kept(priority, supply.capacity, now) + claimed);
}

bool ServiceOrder::mayStart(const OrderedRequest& request, const Supply& supply, TimePoint now) const
{
    const double ahead = static_cast<double>(request.ownAhead) + m_peers.ahead(request.urgency, request.since, now);
    return supply.free - kept(request.urgency, supply, now) > ahead;
}

double ServiceOrder::allPerSecond(const Supply& supply, TimePoint now) const
{
    return std::max({ 1.0, supply.completionsPerSecond, m_demand.completions(now) });
}

double ServiceOrder::leftPerSecond(int priority, const Supply& supply, TimePoint now) const
{
    return allPerSecond(supply, now) - m_demand.moreUrgentArrivals(priority, now);
}

bool ServiceOrder::hasOnlyFloor(int priority, const Supply& supply, TimePoint now) const
{
    // Deviation of the difference of the measured rates of arrivals and completions, over two seconds each.
    const double error = std::sqrt(allPerSecond(supply, now));
    return leftPerSecond(clampPriority(priority), supply, now) < detail::claimedFloor * m_demand.arrivals(clampPriority(priority), now) + error;
}

double ServiceOrder::servedPerSecond(Urgency urgency, const Supply& supply, TimePoint now) const
{
    return std::max(detail::minServedShare * allPerSecond(supply, now), leftPerSecond(priorityOf(urgency), supply, now));
}

Millis ServiceOrder::expectedWait(const OrderedRequest& request, const Supply& supply, TimePoint now) const
{
    constexpr double millisPerSecond = 1000;
    constexpr double maxWaitMs = 60'000;
    const double ahead = static_cast<double>(request.ownAhead) + m_peers.ahead(request.urgency, request.since, now);
    const double missing = std::max(0.0, kept(request.urgency, supply, now) - supply.free);
    return Millis(static_cast<Millis::rep>(std::min(maxWaitMs, millisPerSecond * (ahead + missing + 1) / servedPerSecond(request.urgency, supply, now))));
}

Millis ServiceOrder::nameReturn(const OrderedRequest& request, const Supply& supply, Millis longest, TimePoint now, bool& isClaimed)
{
    ClaimRequest claim;
    claim.priority = priorityOf(request.urgency);
    claim.earliest = expectedWait(request, supply, now);
    claim.perSecond = hasOnlyFloor(claim.priority, supply, now) ? detail::claimedFloor * m_demand.arrivals(claim.priority, now) : leftPerSecond(claim.priority, supply, now);
    claim.longest = longest;
    return m_claims.name(claim, now, isClaimed);
}

std::optional<PeerOrder::Waiting> ServiceOrder::receiver(const OrderedRequest* firstOwn, const Supply& supply, double random, TimePoint now) const
{
    const double peers = static_cast<double>(m_peers.livePeers(now));
    const double otherPlaces = m_demand.completions(now) * detail::reportSeconds * peers / (peers + 1);
    auto waiting = m_peers.at(static_cast<size_t>(random * otherPlaces), now);
    if (!waiting || supply.free <= kept(waiting->urgency, supply, now))
        return std::nullopt;
    if (!firstOwn || waiting->urgency / urgenciesPerPriority < firstOwn->urgency / urgenciesPerPriority)
        return waiting;
    const bool isEarlier = waiting->urgency < firstOwn->urgency || (waiting->urgency == firstOwn->urgency && waiting->since + detail::grantGain < firstOwn->since);
    return isEarlier ? waiting : std::nullopt;
}

} // namespace orioletrail
