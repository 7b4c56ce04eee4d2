#include "direct/feeders.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

std::string addressOf(const std::string& instance)
{
    return instance + ":7341";
}

// The sources of each entry of a fleet with this many entries in each of three zones. Entries named in `silent` are
// not heard.
std::map<std::string, std::vector<std::string>> sourcesOfFleet(int entriesPerZone, const std::set<std::string>& silent = {})
{
    struct Member {
        std::string name;
        std::string zone;
        double processorShare;
    };
    std::vector<Member> members;
    for (int zone = 1; zone <= 3; ++zone)
        for (int entry = 1; entry <= entriesPerZone; ++entry)
            members.push_back({ "z" + std::to_string(zone) + "-e" + std::to_string(10 + entry), "z" + std::to_string(zone), entry <= 3 ? 0.5 : 0.18 });
    std::map<std::string, std::vector<std::string>> sources;
    for (const Member& self : members) {
        Feeders feeders(self.name, self.zone, self.processorShare);
        for (const Member& peer : members)
            if (peer.name != self.name && !silent.contains(peer.name))
                feeders.onPeer(peer.name, peer.zone, addressOf(peer.name), peer.processorShare, false, start);
        sources[self.name] = feeders.sources(start + Millis(100));
    }
    return sources;
}

size_t readersOfStore(const std::map<std::string, std::vector<std::string>>& sources)
{
    return static_cast<size_t>(std::count_if(sources.begin(), sources.end(), [](const auto& item) { return item.second.empty(); }));
}

} // namespace

TEST_CASE("readers of the store grow with zones, not with entries, and the others prefer those of their zone")
{
    CHECK(readersOfStore(sourcesOfFleet(1)) == 3);
    CHECK(readersOfStore(sourcesOfFleet(2)) == 6);
    for (const int entries : { 6, 18, 500 }) {
        CAPTURE(entries);
        const auto sources = sourcesOfFleet(entries);
        CHECK(readersOfStore(sources) == 6);
        // Entries with little processor time do not serve the others.
        CHECK(sources.at("z1-e12").empty());
        CHECK(sources.at("z1-e13").empty());
        std::set<std::string> firstChoices;
        for (const auto& [name, addresses] : sources) {
            if (addresses.empty())
                continue;
            REQUIRE(addresses.size() == 4);
            CHECK(addresses[0].substr(0, 2) == name.substr(0, 2));
            CHECK(addresses[1].substr(0, 2) == name.substr(0, 2));
            CHECK(addresses[2].substr(0, 2) != name.substr(0, 2));
            firstChoices.insert(addresses[0]);
        }
        CHECK(firstChoices.size() >= (entries > 10 ? 6U : 4U));
    }
}

TEST_CASE("an entry whose feeders fall silent or stop turns to others, and reads the store if it hears none")
{
    const auto sources = sourcesOfFleet(6, { "z1-e13", "z1-e12" });
    CHECK(sources.at("z1-e11").empty());
    CHECK(sources.at("z1-e16").empty());
    CHECK(sources.at("z1-e14").front() != addressOf("z1-e13"));
    Feeders feeders("a", "z1", 0.1);
    CHECK(feeders.sources(start).empty());
    feeders.onPeer("b", "z1", "b:1", 0.5, false, start);
    feeders.onPeer("c", "z1", "c:1", 0.5, false, start);
    CHECK(feeders.sources(start).size() == 2);
    CHECK(feeders.sources(start + Millis(700)).empty());
    feeders.onPeer("b", "z1", "b:1", 0.5, true, start + Millis(100));
    CHECK(feeders.sources(start + Millis(100)).empty());
}
