#include "directory/beliefs.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

EndpointRecord makeEndpoint(std::string id, bool leaving = false)
{
    EndpointRecord record;
    record.id = std::move(id);
    record.service = "print";
    record.leaving = leaving;
    return record;
}

Catalog makeCatalog(uint64_t number)
{
    CatalogBuilder builder;
    builder.version(number);
    return std::move(builder).build();
}

Beliefs makeBeliefs()
{
    Beliefs beliefs;
    beliefs.onCatalog(makeCatalog(1));
    beliefs.onEndpointsListed({ makeEndpoint("a"), makeEndpoint("b"), makeEndpoint("c", true) }, start);
    return beliefs;
}

} // namespace

TEST_CASE("a configuration never goes back to an earlier version")
{
    Beliefs beliefs;
    CHECK(beliefs.onCatalog(makeCatalog(5)));
    CHECK_FALSE(beliefs.onCatalog(makeCatalog(4)));
    CHECK_FALSE(beliefs.onCatalog(makeCatalog(5)));
    CHECK(beliefs.snapshot().catalog->version() == 5);
    CHECK(beliefs.onCatalog(makeCatalog(9)));
    CHECK(beliefs.snapshot().catalog->version() == 9);
}

TEST_CASE("the state is complete once a configuration and a list of endpoints have arrived")
{
    Beliefs beliefs;
    CHECK_FALSE(beliefs.isComplete());
    beliefs.onEndpointsListed({}, start);
    CHECK_FALSE(beliefs.isComplete());
    beliefs.onCatalog(makeCatalog(1));
    CHECK(beliefs.isComplete());
}

TEST_CASE("without an outage of the store, a removed or unlisted endpoint is dropped at once")
{
    Beliefs beliefs = makeBeliefs();
    beliefs.onEndpointRemoved("a", start);
    CHECK_FALSE(beliefs.snapshot().endpoints.contains("a"));
    beliefs.onEndpointsListed({ makeEndpoint("d") }, start);
    CHECK(beliefs.snapshot().endpoints.size() == 1);
}

TEST_CASE("endpoints missing from the store after an outage are kept for two seconds")
{
    Beliefs beliefs = makeBeliefs();
    beliefs.onStoreLost(start);
    const TimePoint recovered = start + std::chrono::seconds(5);
    beliefs.onStoreReturned(recovered);
    beliefs.onEndpointsListed({ makeEndpoint("a") }, recovered);
    CHECK(beliefs.snapshot().endpoints.contains("b"));
    // An endpoint that was draining is not kept.
    CHECK_FALSE(beliefs.snapshot().endpoints.contains("c"));
    CHECK_FALSE(beliefs.expire(recovered + Beliefs::reregistrationGrace - Millis(1)));
    SUBCASE("an endpoint that does not register again is removed")
    {
        CHECK(beliefs.expire(recovered + Beliefs::reregistrationGrace));
        CHECK_FALSE(beliefs.snapshot().endpoints.contains("b"));
        CHECK(beliefs.snapshot().endpoints.contains("a"));
    }
    SUBCASE("an endpoint that registers again is kept")
    {
        beliefs.onEndpointChanged(makeEndpoint("b"), recovered + Millis(500));
        CHECK_FALSE(beliefs.expire(recovered + Beliefs::reregistrationGrace));
        CHECK(beliefs.snapshot().endpoints.contains("b"));
    }
}
