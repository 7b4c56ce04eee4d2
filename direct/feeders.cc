#include "direct/feeders.h"

#include "base/digest.h"

#include <algorithm>
#include <tuple>

namespace orioletrail {

namespace detail {

    // Entries of one zone that read the store: one more than may be lost at once without a gap.
    constexpr size_t readersPerZone = 2;
    // A peer without a status message for this long is left out: six missed ones.
    constexpr Millis feederTimeout { 600 };
    constexpr Millis forgetAfter { 60'000 };
    // Sources that are tried before the store, so that an entry that reaches none of them soon reads the
    // store.
    constexpr size_t maxSources = 4;

} // namespace detail

void Feeders::onPeer(std::string_view instance, std::string_view zone, std::string_view address, double processorShare, bool isStopping, TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& peer) { return now - peer.second.received > detail::forgetAfter; });
    m_peers.insert_or_assign(std::string(instance), Entry { std::string(instance), std::string(zone), std::string(address), processorShare, isStopping, now });
}

std::map<std::string, std::vector<const Feeders::Entry*>> Feeders::readersByZone(TimePoint now) const
{
    std::map<std::string, std::vector<const Entry*>> readers;
    readers[m_self.zone].push_back(&m_self);
    for (const auto& [name, peer] : m_peers)
        if (!peer.isStopping && !peer.zone.empty() && now - peer.received < detail::feederTimeout)
            readers[peer.zone].push_back(&peer);
    for (auto& [zone, entries] : readers) {
        std::sort(entries.begin(), entries.end(), [](const Entry* a, const Entry* b) { return std::tie(a->processorShare, a->instance) > std::tie(b->processorShare, b->instance); });
        entries.resize(std::min(entries.size(), detail::readersPerZone));
    }
    return readers;
}

std::vector<std::string> Feeders::sources(TimePoint now) const
{
    const auto readers = readersByZone(now);
    std::vector<const Entry*> sources;
    const auto addZone = [&](const std::vector<const Entry*>& entries) {
        const auto first = static_cast<ptrdiff_t>(sources.size());
        sources.insert(sources.end(), entries.begin(), entries.end());
        std::sort(sources.begin() + first, sources.end(), [&](const Entry* a, const Entry* b) { return rendezvousScore(m_self.instance, a->instance) > rendezvousScore(m_self.instance, b->instance); });
    };
    const std::vector<const Entry*>& local = readers.at(m_self.zone);
    if (std::find(local.begin(), local.end(), &m_self) != local.end())
        return {};
    addZone(local);
    std::vector<const Entry*> others;
    for (const auto& [zone, entries] : readers)
        if (zone != m_self.zone)
            others.insert(others.end(), entries.begin(), entries.end());
    addZone(others);
    std::vector<std::string> addresses;
    for (const Entry* entry : sources)
        if (addresses.size() < detail::maxSources)
            addresses.push_back(entry->address);
    return addresses;
}

} // namespace orioletrail
