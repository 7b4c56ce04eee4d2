#include "directory/beliefs.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

EndpointRecord endpoint(std::string id, bool leaving = false)
{
    EndpointRecord record;
    record.id = std::move(id);
    record.service = "print";
    record.leaving = leaving;
    return record;
}

Catalog version(uint64_t number)
{
    CatalogBuilder builder;
    builder.version(number);
    return std::move(builder).build();
}

Beliefs withEndpoints()
{
    Beliefs beliefs;
    beliefs.onCatalog(version(1));
    beliefs.onEndpointsListed({ endpoint("a"), endpoint("b"), endpoint("c", true) }, start);
    return beliefs;
}

} // namespace

TEST_CASE("a configuration never goes back to an earlier version")
{
    Beliefs beliefs;
    CHECK(beliefs.onCatalog(version(5)));
    CHECK_FALSE(beliefs.onCatalog(version(4)));
    CHECK_FALSE(beliefs.onCatalog(version(5)));
    CHECK(beliefs.snapshot().catalog->version() == 5);
    CHECK(beliefs.onCatalog(version(9)));
    CHECK(beliefs.snapshot().catalog->version() == 9);
}

TEST_CASE("nothing is complete before a configuration and a list of endpoints")
{
    Beliefs beliefs;
    CHECK_FALSE(beliefs.isComplete());
    beliefs.onEndpointsListed({}, start);
    CHECK_FALSE(beliefs.isComplete());
    beliefs.onCatalog(version(1));
    CHECK(beliefs.isComplete());
}

TEST_CASE("an endpoint that has left is dropped at once while the store answers")
{
    Beliefs beliefs = withEndpoints();
    beliefs.onEndpointRemoved("a", start);
    CHECK_FALSE(beliefs.snapshot().endpoints.contains("a"));
    beliefs.onEndpointsListed({ endpoint("d") }, start);
    CHECK(beliefs.snapshot().endpoints.size() == 1);
}

TEST_CASE("endpoints that are missing after an outage may register again for two seconds")
{
    Beliefs beliefs = withEndpoints();
    beliefs.onStoreLost(start);
    const TimePoint back = start + std::chrono::seconds(5);
    beliefs.onStoreReturned(back);
    beliefs.onEndpointsListed({ endpoint("a") }, back);
    CHECK(beliefs.snapshot().endpoints.contains("b"));
    // One that was leaving before is not waited for.
    CHECK_FALSE(beliefs.snapshot().endpoints.contains("c"));
    CHECK_FALSE(beliefs.expire(back + Beliefs::returnGrace - Millis(1)));
    SUBCASE("it does not come back")
    {
        CHECK(beliefs.expire(back + Beliefs::returnGrace));
        CHECK_FALSE(beliefs.snapshot().endpoints.contains("b"));
        CHECK(beliefs.snapshot().endpoints.contains("a"));
    }
    SUBCASE("it comes back")
    {
        beliefs.onEndpointChanged(endpoint("b"), back + Millis(500));
        CHECK_FALSE(beliefs.expire(back + Beliefs::returnGrace));
        CHECK(beliefs.snapshot().endpoints.contains("b"));
    }
}
