#include "config/store.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

ConfigDelta makeDelta(uint64_t from, std::vector<ObjectChange> changes)
{
    ConfigDelta delta { from, from, std::move(changes) };
    for (const ObjectChange& change : delta.changes)
        delta.to = std::max(delta.to, change.revision);
    return delta;
}

} // namespace

TEST_CASE("an older value never replaces a newer one")
{
    ConfigStore store;
    REQUIRE(store.apply(makeDelta(0, { { "k", 5, "new", false } })));
    REQUIRE(store.apply(makeDelta(0, { { "k", 3, "old", false } })));
    CHECK(store.find("k")->value == "new");
    CHECK(store.revision() == 5);
}

TEST_CASE("a delta that starts after the replica's revision is refused")
{
    ConfigStore store;
    CHECK_FALSE(store.apply(makeDelta(4, { { "k", 5, "v", false } })));
    CHECK(store.lastError() == "delta starts at revision 4, replica is at 0");
    CHECK(store.revision() == 0);
}

TEST_CASE("a late copy of a deleted object does not restore it")
{
    ConfigStore store;
    REQUIRE(store.apply(makeDelta(0, { { "k", 5, "", true } })));
    REQUIRE(store.apply(makeDelta(0, { { "k", 4, "v", false } })));
    CHECK_FALSE(store.find("k"));
}

TEST_CASE("a malformed object is left out of the view and the others are kept")
{
    ConfigStore store;
    REQUIRE(store.apply(makeDelta(0, { { "config/zone/a", 1, "{}", false }, { "config/zone/b", 2, "x", false } })));
    const auto view = store.buildView();
    CHECK(view->zones.contains("a"));
    CHECK_FALSE(view->zones.contains("b"));
    CHECK_FALSE(store.lastError().empty());
}

TEST_CASE("replicas that exchange deltas late, twice and out of order converge and never revert")
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto randomBelow = [&](size_t below) { return std::uniform_int_distribution<size_t>(0, below - 1)(random); };
        ConfigStore platform;
        std::vector<ConfigStore> replicas(5);
        std::vector<ConfigDelta> inTransit;
        std::vector<std::map<std::string, uint64_t>> lastSeen(replicas.size());
        uint64_t revision = 0;
        for (int i = 0; i < 300; ++i) {
            const size_t target = randomBelow(replicas.size());
            if (!randomBelow(4)) {
                ++revision;
                REQUIRE(platform.apply(makeDelta(revision - 1, { { "k" + std::to_string(randomBelow(6)), revision, std::to_string(revision), randomBelow(4) == 0 } })));
            } else if (!randomBelow(3)) {
                inTransit.push_back(platform.deltaSince(replicas[target].revision()));
            } else if (!randomBelow(2)) {
                inTransit.push_back(replicas[randomBelow(replicas.size())].deltaSince(replicas[target].revision()));
            } else if (!inTransit.empty()) {
                const size_t index = randomBelow(inTransit.size());
                replicas[target].apply(inTransit[index]);
                if (randomBelow(2))
                    inTransit.erase(inTransit.begin() + static_cast<ptrdiff_t>(index));
            }
            for (const ObjectChange& change : replicas[target].deltaSince(0).changes) {
                REQUIRE(change.revision >= lastSeen[target][change.key]);
                lastSeen[target][change.key] = change.revision;
            }
        }
        for (ConfigStore& replica : replicas) {
            REQUIRE(replica.apply(platform.deltaSince(replica.revision())));
            for (int key = 0; key < 6; ++key) {
                const std::string name = "k" + std::to_string(key);
                const auto expected = platform.find(name);
                const auto held = replica.find(name);
                REQUIRE(expected.has_value() == held.has_value());
                if (held)
                    REQUIRE(held->value == expected->value);
            }
        }
    }
}

TEST_CASE("a complete list deletes the objects that it lacks, unless they changed after it was made")
{
    ConfigStore store;
    REQUIRE(store.apply({ 0, 7, { { "config/zone/a", 5, "{}", false }, { "config/zone/b", 6, "{}", false }, { "config/zone/c", 7, "{}", false } } }));
    // A peer that only confirms its revision sends no changes.
    REQUIRE(store.apply({ 0, 7, {} }));
    CHECK(store.find("config/zone/a"));
    REQUIRE(store.apply({ 0, 5, { { "config/zone/a", 5, "{}", false } }, 6 }));
    CHECK(store.find("config/zone/a"));
    CHECK_FALSE(store.find("config/zone/b"));
    CHECK(store.find("config/zone/c"));
}
