// Entries of other writers in the store.
#include "tests/direct-cluster.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace orioletrail;
using namespace orioletrail::tests;

// Fails if a name is written into the target of the next page as it is.
TEST_CASE("malformed: entries with odd names in a list of several pages hide no endpoint")
{
    DirectCluster cluster;
    REQUIRE(cluster.waitUntilReady());
    // Pages of the stand-in have 500 objects, and these names come before those of the endpoints.
    constexpr int entries = 1100;
    const std::vector<std::string> marks { "&watch=1", "+", "#", "%", "%zz", " ", "?", "=", "\"", "\\", "\n", "\x7f", "\xc3\xa9", "/../" };
    for (int entry = 0; entry < entries; ++entry)
        cluster.putObject("servers", "a" + marks[static_cast<size_t>(entry) % marks.size()] + std::to_string(entry) + marks[static_cast<size_t>(entry) % marks.size()],
            entry % 2 ? boost::json::value(nullptr) : boost::json::value(boost::json::object { { "service", "print" }, { "addr", "nowhere" }, { "zone", "z1" }, { "state", "odd" } }));
    cluster.startEntry();
    REQUIRE(cluster.waitUntilReady());
    CHECK(waitUntil([&] { return cluster.call("GET", "/lookup/1", "a1").status == 200; }));
    CHECK(cluster.call("POST", "/once/1", "a2").status == 200);
    CHECK(cluster.call("POST", "/stream/1", "a3").body == completeStream());
}
