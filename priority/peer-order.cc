#include "priority/peer-order.h"

#include <algorithm>

namespace orioletrail {

namespace detail {

    // Ten times the interval of status messages.
    constexpr Millis peerOrderMaxAge { 1000 };

} // namespace detail

void PeerOrder::onPeer(std::string_view name, const std::map<Urgency, WaitingRow>& rows, TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& item) { return item.second.granted.empty() && now - item.second.received > detail::peerOrderMaxAge; });
    Peer& peer = m_peers[std::string(name)];
    peer.received = now;
    peer.rows.clear();
    for (const auto& [urgency, row] : rows)
        if (row.count && urgency < urgencyCount)
            peer.rows.emplace(urgency, Row { row.count, now - row.oldest });
}

void PeerOrder::onGranted(std::string_view name, Urgency urgency)
{
    ++m_peers[std::string(name)].granted[urgency];
}

void PeerOrder::onGrantEnded(std::string_view name, Urgency urgency)
{
    const auto peer = m_peers.find(name);
    if (peer == m_peers.end())
        return;
    const auto count = peer->second.granted.find(urgency);
    if (count != peer->second.granted.end() && !--count->second)
        peer->second.granted.erase(count);
}

uint32_t PeerOrder::ungranted(const Peer& peer, Urgency urgency, const Row& row)
{
    const auto granted = peer.granted.find(urgency);
    return granted == peer.granted.end() ? row.count : row.count - std::min(row.count, granted->second);
}

double PeerOrder::ahead(Urgency urgency, TimePoint since, TimePoint now) const
{
    double sum = 0;
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.received > detail::peerOrderMaxAge)
            continue;
        for (const auto& [other, row] : peer.rows) {
            const double count = ungranted(peer, other, row);
            if (count == 0)
                continue;
            if (other < urgency)
                sum += count;
            else if (other == urgency && row.oldest < since)
                sum += 1 + (count - 1) * std::min(1.0, std::chrono::duration<double>(since - row.oldest) / std::chrono::duration<double>(now - row.oldest));
        }
    }
    return sum;
}

std::optional<PeerOrder::Waiting> PeerOrder::at(size_t position, TimePoint now) const
{
    std::vector<std::pair<std::pair<Urgency, TimePoint>, const std::string*>> order;
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.received > detail::peerOrderMaxAge)
            continue;
        for (const auto& [urgency, row] : peer.rows) {
            const uint32_t count = ungranted(peer, urgency, row);
            for (uint32_t number = 0; number < count && number <= position; ++number)
                order.push_back({ { urgency, row.oldest + (now - row.oldest) * number / count }, &name });
        }
    }
    if (position >= order.size())
        return std::nullopt;
    std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(position), order.end());
    const auto& [key, name] = order[position];
    return Waiting { *name, key.first, key.second };
}

size_t PeerOrder::livePeers(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& item) { return now - item.second.received <= detail::peerOrderMaxAge; }));
}

} // namespace orioletrail
