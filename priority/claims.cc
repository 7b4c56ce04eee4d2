#include "priority/claims.h"

#include <algorithm>
#include <cmath>

namespace orioletrail {

namespace detail {

    // The interval of status messages; finer slots would be known no earlier.
    constexpr Millis claimSlot { 100 };
    // A caller needs a round trip, and no claim is made further ahead than callers with a timeout of 8 s wait.
    constexpr Millis minReturn { 100 };
    constexpr Millis maxReturn { 3000 };
    // A caller that comes back this many slots before or after its time still has its claim: connections and
    // timers add some ten milliseconds.
    constexpr int64_t slotTolerance = 2;
    constexpr Millis peerClaimsMaxAge { 1000 };
    // Share of the room of a slot that is promised; new requests of the priority get the rest.
    constexpr double claimShare = 0.4;
    constexpr size_t maxRows = 128;
    // Fraction of the golden ratio, whose multiples are spread evenly over 0 to 1.
    constexpr double goldenFraction = 0.618033988749895;

    int64_t slotOf(TimePoint time)
    {
        return std::chrono::floor<Millis>(time.time_since_epoch()).count() / claimSlot.count();
    }

} // namespace detail

int32_t Claims::total(Slot slot, int priority, TimePoint now) const
{
    int32_t sum = own(slot, priority);
    for (const auto& [name, peer] : m_peers) {
        const auto found = peer.counts.find({ slot, priority });
        if (found != peer.counts.end() && now - peer.received <= detail::peerClaimsMaxAge)
            sum += found->second;
    }
    return sum;
}

int32_t Claims::own(Slot slot, int priority) const
{
    const auto found = m_own.find({ slot, priority });
    return found == m_own.end() ? 0 : found->second;
}

void Claims::forget(TimePoint now)
{
    const Slot first = detail::slotOf(now) - detail::slotTolerance;
    while (!m_own.empty() && m_own.begin()->first.first < first)
        m_own.erase(m_own.begin());
}

Millis Claims::name(const ClaimRequest& request, TimePoint now, bool& isMade)
{
    forget(now);
    const int priority = clampPriority(request.priority);
    const Millis earliest = std::clamp(request.earliest, detail::minReturn, detail::maxReturn);
    const double room = detail::claimShare * request.perSecond * std::chrono::duration<double>(detail::claimSlot).count();
    // The first slot after the earliest time in which the claims made up to now leave room. Room of less than a
    // caller per slot adds up over the slots, from a fraction that differs with each caller.
    Slot slot = detail::slotOf(now + earliest) + 1;
    const Slot last = detail::slotOf(now + detail::maxReturn);
    const double spread = std::fmod(++m_named * detail::goldenFraction, 1.0);
    double allowed = room >= 1 ? room : room + spread;
    double taken = total(slot, priority, now);
    // Each entry makes its part of the claims, since it hears late of those that others make.
    const auto live = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) { return now - peer.second.received <= detail::peerClaimsMaxAge; });
    const double ownRoom = room / static_cast<double>(live + 1);
    double ownAllowed = live ? ownRoom + spread : allowed;
    double ownTaken = own(slot, priority);
    while (slot < last && (taken + 1 > allowed || ownTaken + 1 > ownAllowed)) {
        ++slot;
        allowed += room;
        taken += total(slot, priority, now);
        ownAllowed += ownRoom;
        ownTaken += own(slot, priority);
    }
    const auto start = TimePoint(std::chrono::duration_cast<Clock::duration>(detail::claimSlot * slot));
    const Millis delay = std::chrono::duration_cast<Millis>(start - now) + Millis(static_cast<Millis::rep>(spread * static_cast<double>(detail::claimSlot.count())));
    isMade = slot < last && delay <= request.longest;
    if (isMade) {
        ++m_own[{ slot, priority }];
        ++m_made;
    }
    return delay;
}

bool Claims::redeem(int requested, TimePoint now)
{
    forget(now);
    const int priority = clampPriority(requested);
    const Slot current = detail::slotOf(now);
    for (const Slot distance : { 0, -1, 1, -2 }) {
        if (total(current + distance, priority, now) <= 0)
            continue;
        --m_own[{ current + distance, priority }];
        ++m_honoured;
        return true;
    }
    return false;
}

double Claims::due(int priority, TimePoint now) const
{
    const Slot current = detail::slotOf(now);
    std::map<std::pair<Slot, int>, int32_t> sums;
    const auto addAll = [&](const Counts& counts) {
        for (const auto& [key, count] : counts)
            if (key.first >= current - 1 && key.first <= current + 1 && key.second <= priority)
                sums[key] += count;
    };
    addAll(m_own);
    for (const auto& [name, peer] : m_peers)
        if (now - peer.received <= detail::peerClaimsMaxAge)
            addAll(peer.counts);
    double sum = 0;
    for (const auto& [key, count] : sums)
        sum += std::max(0, count);
    return sum;
}

std::vector<ClaimRow> Claims::report(TimePoint now) const
{
    std::vector<ClaimRow> rows;
    const Slot current = detail::slotOf(now);
    for (const auto& [key, count] : m_own) {
        if (rows.size() == detail::maxRows)
            break;
        if (count && key.first >= current - detail::slotTolerance)
            rows.push_back({ key.second, std::chrono::duration_cast<Millis>(TimePoint(std::chrono::duration_cast<Clock::duration>(detail::claimSlot * key.first + detail::claimSlot / 2)) - now), count });
    }
    return rows;
}

void Claims::onPeer(std::string_view name, const std::vector<ClaimRow>& rows, TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& item) { return now - item.second.received > detail::peerClaimsMaxAge; });
    Peer& peer = m_peers[std::string(name)];
    peer.received = now;
    peer.counts.clear();
    for (const ClaimRow& row : rows)
        peer.counts[{ detail::slotOf(now + row.in), clampPriority(row.priority) }] += row.count;
}

} // namespace orioletrail
