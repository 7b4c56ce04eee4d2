#include "membership/peers.h"

#include "base/digest.h"

#include <algorithm>
#include <set>

namespace orioletrail {

namespace detail {

    struct Candidate {
        uint64_t score = 0;
        std::string_view name;
        std::string_view zone;
    };

    void sortByScore(std::vector<Candidate>& items)
    {
        std::sort(items.begin(), items.end(), [](const Candidate& a, const Candidate& b) { return a.score > b.score; });
    }

} // namespace detail

size_t watcherRank(const ConfigView& view, std::string_view self, std::string_view zone)
{
    const uint64_t own = rendezvousScore(zone, self);
    size_t rank = 0;
    for (const auto& [name, instance] : view.instances)
        if (instance.zone == zone && !instance.leaving && name != self && rendezvousScore(zone, name) > own)
            ++rank;
    return view.instances.contains(self) ? rank : view.instances.size();
}

std::vector<std::string> chooseNeighbours(const ConfigView& view, std::string_view self, size_t count)
{
    std::vector<detail::Candidate> peers;
    const auto own = view.instances.find(self);
    for (const auto& [name, instance] : view.instances)
        if (name != self && !instance.leaving)
            peers.push_back({ rendezvousScore(self, name), name, instance.zone });
    detail::sortByScore(peers);
    std::vector<std::string> chosen;
    std::set<std::string_view> zones;
    if (own != view.instances.end())
        zones.insert(own->second.zone);
    for (const detail::Candidate& peer : peers)
        if (zones.insert(peer.zone).second)
            chosen.emplace_back(peer.name);
    for (const detail::Candidate& peer : peers)
        if (chosen.size() < count && std::find(chosen.begin(), chosen.end(), peer.name) == chosen.end())
            chosen.emplace_back(peer.name);
    return chosen;
}

std::vector<std::string> chooseEndpointSubset(const ConfigView& view, std::string_view self, size_t count)
{
    std::map<std::string_view, std::vector<detail::Candidate>> services;
    for (const auto& [name, endpoint] : view.endpoints)
        if (view.services.contains(endpoint.service))
            services[endpoint.service].push_back({ rendezvousScore(self, name), name, {} });
    std::vector<std::string> chosen;
    for (auto& [service, candidates] : services) {
        detail::sortByScore(candidates);
        if (count && candidates.size() > count)
            candidates.resize(count);
        for (const detail::Candidate& candidate : candidates)
            chosen.emplace_back(candidate.name);
    }
    return chosen;
}

} // namespace orioletrail
