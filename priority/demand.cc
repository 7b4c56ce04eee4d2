#include "priority/demand.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // At 5 requests per second, the rate of the most urgent ones at one of 16 entries, ten events count.
    constexpr double rateTimeConstantSeconds = 2;
    // What a peer reported counts for this long.
    constexpr Millis peerRatesMaxAge { 1000 };
    // Time in which more urgent requests may find no place although places become free at the mean rate.
    constexpr double horizonSeconds = 0.2;
    // Mean age of what is known of other entries: half of the interval of status messages and the delay of
    // a message.
    constexpr double staleSeconds = 0.1;
    // Deviations covered: about 2 in 100 of the periods need more places for arrivals, and 5 in 100 for what is
    // not known of other entries.
    constexpr double urgentDeviations = 2;
    constexpr double staleDeviations = 1.6;
    // No more than this share of a service is kept, whatever was measured, so that less urgent requests are
    // admitted without condition up to it.
    constexpr double maxKeptShare = 0.125;

    // Most places that arrivals at rate `arrivals` take beyond those that become free at rate `completions`
    // within the horizon.
    double excessOf(double arrivals, double completions)
    {
        const double spread = urgentDeviations * std::sqrt(arrivals + completions);
        const double drift = completions - arrivals;
        double time = horizonSeconds;
        if (drift > 0) {
            const double root = spread / (2 * drift);
            time = std::min(time, root * root);
        }
        return std::max(0.0, spread * std::sqrt(time) - drift * time);
    }

} // namespace detail

Demand::Demand()
    : m_completions(detail::rateTimeConstantSeconds)
{
}

void Demand::onArrival(int priority, TimePoint now)
{
    m_arrivals.try_emplace(clampPriority(priority), detail::rateTimeConstantSeconds).first->second.add(now);
}

void Demand::onCompletion(TimePoint now)
{
    m_completions.add(now);
}

void Demand::onPeer(std::string_view peer, DemandRates rates, TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& item) { return now - item.second.received > detail::peerRatesMaxAge; });
    m_peers.insert_or_assign(std::string(peer), Peer { std::move(rates), now });
}

DemandRates Demand::report(TimePoint now) const
{
    constexpr double minReported = 0.01;
    DemandRates rates;
    for (const auto& [priority, meter] : m_arrivals)
        if (const double perSecond = meter.perSecond(now); perSecond > minReported)
            rates.arrivals.emplace(priority, perSecond);
    if (const double perSecond = m_completions.perSecond(now); perSecond > minReported)
        rates.completions = perSecond;
    return rates;
}

double Demand::moreUrgentArrivals(int priority, TimePoint now) const
{
    double sum = 0;
    for (const auto& [other, meter] : m_arrivals)
        if (other < priority)
            sum += meter.perSecond(now);
    for (const auto& [name, peer] : m_peers)
        for (const auto& [other, perSecond] : peer.rates.arrivals)
            if (other < priority && now - peer.received <= detail::peerRatesMaxAge)
                sum += perSecond;
    return sum;
}

double Demand::completions(TimePoint now) const
{
    double sum = m_completions.perSecond(now);
    for (const auto& [name, peer] : m_peers)
        if (now - peer.received <= detail::peerRatesMaxAge)
            sum += peer.rates.completions;
    return sum;
}

double Demand::kept(int priority, double capacity, TimePoint now) const
{
    constexpr double minRate = 0.1;
    const double urgent = moreUrgentArrivals(clampPriority(priority), now);
    if (urgent < minRate)
        return 0;
    const double completed = completions(now);
    const bool hasPeers = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& item) { return now - item.second.received <= detail::peerRatesMaxAge; });
    // Requests that other entries started and ended since they reported.
    const double unknown = hasPeers ? detail::staleDeviations * std::sqrt(2 * completed * detail::staleSeconds) : 0;
    return std::min(detail::maxKeptShare * capacity, detail::excessOf(urgent, completed) + unknown);
}

} // namespace orioletrail
