#include "membership/peers.h"

#include <deque>
#include <doctest/doctest.h>
#include <set>

using namespace orioletrail;

namespace {

ConfigView makeView(int zones, int perZone)
{
    ConfigView view;
    for (int zone = 0; zone < zones; ++zone)
        for (int i = 0; i < perZone; ++i) {
            const std::string name = "e" + std::to_string(zone) + "-" + std::to_string(i);
            view.instances[name] = { name, "z" + std::to_string(zone), "127.0.0.1:1", false };
        }
    return view;
}

} // namespace

TEST_CASE("each zone has the configured number of watchers")
{
    const ConfigView view = makeView(3, 20);
    for (const char* zone : { "z0", "z1", "z2" }) {
        size_t watchers = 0;
        for (const auto& [name, instance] : view.instances)
            if (instance.zone == zone && watcherRank(view, name, zone) < watchersPerZone)
                ++watchers;
        CHECK(watchers == watchersPerZone);
    }
    CHECK(watcherRank(view, "unlisted", "z0") == view.instances.size());
}

TEST_CASE("neighbours cover every other zone and exclude leaving instances")
{
    ConfigView view = makeView(4, 10);
    view.instances["e1-3"].leaving = true;
    for (const auto& [name, instance] : view.instances) {
        std::set<std::string> zones { instance.zone };
        for (const std::string& peer : chooseNeighbours(view, name, 5)) {
            CHECK(peer != name);
            CHECK(peer != "e1-3");
            zones.insert(view.instances[peer].zone);
        }
        CHECK(zones.size() == 4);
    }
}

TEST_CASE("an update reaches every entry within eight hops")
{
    const ConfigView view = makeView(7, 215);
    std::map<std::string, int> hops { { "e0-0", 0 } };
    std::deque<std::string> queue { "e0-0" };
    while (!queue.empty()) {
        const std::string name = queue.front();
        queue.pop_front();
        for (const std::string& peer : chooseNeighbours(view, name, 8))
            if (hops.try_emplace(peer, hops[name] + 1).second)
                queue.push_back(peer);
    }
    CHECK(hops.size() == view.instances.size());
    for (const auto& [name, distance] : hops)
        CHECK(distance <= 8);
}

TEST_CASE("a subset has the requested size for each service and changes little when an endpoint is removed")
{
    ConfigView view;
    for (const char* service : { "s", "t" })
        view.services[service] = { service, ServiceKind::Plain };
    // Of a service that is not configured.
    view.endpoints["odd"] = { "odd", "inventory", "z", "127.0.0.1:1", false };
    for (int i = 0; i < 100; ++i) {
        const std::string name = std::to_string(i);
        view.endpoints[name] = { name, i % 2 ? "s" : "t", "z", "127.0.0.1:1", false };
    }
    const std::vector<std::string> chosen = chooseEndpointSubset(view, "e", 10);
    CHECK(chosen.size() == 20);
    view.endpoints.erase(chosen[3]);
    const std::vector<std::string> after = chooseEndpointSubset(view, "e", 10);
    const std::set<std::string> kept(after.begin(), after.end());
    size_t common = 0;
    for (const std::string& name : chosen)
        common += kept.count(name);
    CHECK(common == 19);
    CHECK(chooseEndpointSubset(view, "e", 0).size() == 99);
}
