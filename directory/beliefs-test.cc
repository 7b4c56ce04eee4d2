#include "directory/beliefs.h"

#include <array>
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

Catalog makeCatalog(uint64_t number, std::span<const char* const> services = {})
{
    CatalogBuilder builder;
    builder.version(number);
    ServiceProfile print;
    print.name = "print";
    builder.service(print);
    for (const char* name : services) {
        ServiceProfile service;
        service.name = name;
        builder.service(service);
    }
    return std::move(builder).build();
}

EndpointRecord makeEndpointAt(std::string id, const std::string& service, uint16_t port, uint64_t processStartMs)
{
    EndpointRecord record = makeEndpoint(std::move(id));
    record.service = service;
    record.host = "10.0.0.1";
    record.port = port;
    record.processStartMs = processStartMs;
    return record;
}

DirectoryState makeState()
{
    DirectoryState state;
    state.onCatalog(makeCatalog(1));
    state.onEndpointsListed({ { makeEndpoint("a"), makeEndpoint("b"), makeEndpoint("c", true) }, {} }, start);
    return state;
}

} // namespace

TEST_CASE("a configuration never goes back to an earlier version")
{
    DirectoryState state;
    CHECK(state.onCatalog(makeCatalog(5)));
    CHECK_FALSE(state.onCatalog(makeCatalog(4)));
    CHECK_FALSE(state.onCatalog(makeCatalog(5)));
    CHECK(state.snapshot().catalog->version() == 5);
    CHECK(state.onCatalog(makeCatalog(9)));
    CHECK(state.snapshot().catalog->version() == 9);
}

TEST_CASE("the state is complete once a configuration and a list of endpoints have arrived")
{
    DirectoryState state;
    CHECK_FALSE(state.isComplete());
    state.onEndpointsListed({}, start);
    CHECK_FALSE(state.isComplete());
    state.onCatalog(makeCatalog(1));
    CHECK(state.isComplete());
}

TEST_CASE("without an outage of the store, a removed or unlisted endpoint is dropped at once")
{
    DirectoryState state = makeState();
    state.onEndpointRemoved("a", start);
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    state.onEndpointsListed({ { makeEndpoint("d") }, {} }, start);
    CHECK(state.snapshot().endpoints.size() == 1);
}

TEST_CASE("endpoints missing from the store after an outage are kept for two seconds")
{
    DirectoryState state = makeState();
    state.onStoreLost(start);
    const TimePoint recovered = start + std::chrono::seconds(5);
    state.onStoreReturned(recovered);
    state.onEndpointsListed({ { makeEndpoint("a") }, {} }, recovered);
    CHECK(state.snapshot().endpoints.contains("b"));
    // An endpoint that was draining is not kept.
    CHECK_FALSE(state.snapshot().endpoints.contains("c"));
    CHECK_FALSE(state.expire(recovered + DirectoryState::reregistrationGrace - Millis(1)));
    SUBCASE("an endpoint that does not register again is removed")
    {
        CHECK(state.expire(recovered + DirectoryState::reregistrationGrace));
        CHECK_FALSE(state.snapshot().endpoints.contains("b"));
        CHECK(state.snapshot().endpoints.contains("a"));
    }
    SUBCASE("an endpoint that registers again is kept")
    {
        state.onEndpointChanged(makeEndpoint("b"), recovered + Millis(500));
        CHECK_FALSE(state.expire(recovered + DirectoryState::reregistrationGrace));
        CHECK(state.snapshot().endpoints.contains("b"));
    }
}

TEST_CASE("a store that is back from an older copy brings back no removed or former process, and none that leaves")
{
    DirectoryState state = makeState();
    EndpointRecord restarted = makeEndpoint("b");
    restarted.processStartMs = 5;
    state.onEndpointChanged(restarted, start);
    state.onEndpointRemoved("a", start);
    state.onStoreRestored(start);
    state.onEndpointsListed({ { makeEndpoint("a"), makeEndpoint("b"), makeEndpoint("c") }, {} }, start);
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    CHECK(state.snapshot().endpoints.at("b").processStartMs == 5);
    CHECK(state.snapshot().endpoints.at("c").leaving);
    // Endpoints that the copy lacks have time to register again.
    state.onEndpointsListed({}, start);
    CHECK(state.snapshot().endpoints.contains("b"));
    const TimePoint later = start + DirectoryState::reregistrationGrace;
    state.expire(later);
    CHECK_FALSE(state.snapshot().endpoints.contains("b"));
    // After the grace period the store's word counts again.
    state.onEndpointsListed({ { makeEndpoint("a"), makeEndpoint("c") }, {} }, later);
    CHECK(state.snapshot().endpoints.contains("a"));
    CHECK_FALSE(state.snapshot().endpoints.at("c").leaving);
}

TEST_CASE("an endpoint at whose address a later process has registered is no longer used")
{
    const auto makeAt = [](std::string id, uint16_t port, uint64_t processStartMs) { return makeEndpointAt(std::move(id), "print", port, processStartMs); };
    DirectoryState state = makeState();
    state.onEndpointsListed({ { makeAt("a", 80, 1000), makeAt("b", 81, 1000), makeAt("c", 82, 0) }, {} }, start);
    CHECK(state.snapshot().endpoints.size() == 3);
    // After a loss of power all have new identifiers, and the store drops the old ones only seconds later.
    state.onEndpointChanged(makeAt("a2", 80, 5000), start);
    state.onEndpointChanged(makeAt("c2", 82, 5000), start);
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    CHECK(state.snapshot().endpoints.contains("a2"));
    CHECK(state.snapshot().endpoints.contains("b"));
    // Nothing is known of the start of this one.
    CHECK(state.snapshot().endpoints.contains("c"));
    state.onEndpointRemoved("a2", start);
    CHECK_FALSE(state.snapshot().endpoints.contains("a2"));
}

// Fails if a record of a service that the configuration does not name hides an endpoint, in a list or a change, before or
// after the configuration is known.
TEST_CASE("records of other writers at the address of an endpoint hide it at no time")
{
    DirectoryState state;
    const EndpointRecord replica = makeEndpointAt("a", "print", 80, 1000);
    const EndpointRecord odd = makeEndpointAt("b", "inventory", 80, 2000);
    state.onEndpointsListed({ { odd, replica }, {} }, start);
    state.onCatalog(makeCatalog(1));
    CHECK(state.snapshot().endpoints.contains("a"));
    state.onEndpointChanged(odd, start);
    CHECK(state.snapshot().endpoints.contains("a"));
    state.onStoreLost(start);
    state.onStoreReturned(start);
    state.onEndpointsListed({ { odd, replica }, {} }, start);
    state.expire(start + std::chrono::seconds(10));
    CHECK(state.snapshot().endpoints.contains("a"));
    CHECK(state.takeSuperseded().empty());
}

// Fails if a request may be sent to an address that a service has taken over.
TEST_CASE("an address that a configured service has taken over stays its own while configurations come and go")
{
    constexpr std::array<const char*, 1> booking { "booking" };
    const EndpointRecord former = makeEndpointAt("a", "print", 80, 1000);
    const EndpointRecord successor = makeEndpointAt("b", "booking", 80, 2000);
    DirectoryState state;
    SUBCASE("the service is named from the start")
    {
        state.onCatalog(makeCatalog(1, booking));
        state.onEndpointsListed({ { former, successor }, {} }, start);
    }
    SUBCASE("the service is added later")
    {
        state.onCatalog(makeCatalog(1));
        state.onEndpointsListed({ { former, successor }, {} }, start);
        CHECK(state.snapshot().endpoints.contains("a"));
        state.onCatalog(makeCatalog(2, booking));
    }
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    CHECK(state.takeSuperseded().size() == 1);
    state.onCatalog(makeCatalog(3));
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    state.onStoreLost(start);
    state.onEndpointRemoved("b", start);
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    state.onStoreReturned(start);
    state.onEndpointsListed({ { former }, {} }, start);
    state.expire(start + std::chrono::seconds(10));
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    state.onCatalog(makeCatalog(4, booking));
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    state.onEndpointChanged(makeEndpointAt("a", "print", 80, 3000), start);
    CHECK(state.snapshot().endpoints.contains("a"));
}

TEST_CASE("an endpoint whose record becomes unreadable is not used and not taken for ended")
{
    DirectoryState state = makeState();
    state.onEndpointUnreadable("a");
    state.onEndpointUnreadable("unknown");
    CHECK_FALSE(state.snapshot().endpoints.contains("a"));
    CHECK(state.snapshot().unreadable == std::set<std::string, std::less<>> { "a" });
    state.onEndpointsListed({ { makeEndpoint("b") }, { "a", "c" } }, start);
    CHECK(state.snapshot().unreadable == std::set<std::string, std::less<>> { "a", "c" });
    state.onEndpointChanged(makeEndpoint("a"), start);
    CHECK(state.snapshot().endpoints.contains("a"));
    state.onEndpointRemoved("c", start);
    CHECK(state.snapshot().unreadable.empty());
}

// Fails if a start in the future counts once the time has come.
TEST_CASE("a start that lay in the future when it was first read never ends another process")
{
    DirectoryState state;
    state.onCatalog(makeCatalog(1));
    EndpointRecord future = makeEndpointAt("b", "print", 80, 2000);
    future.startsInFuture = true;
    state.onEndpointsListed({ { makeEndpointAt("a", "print", 80, 1000), future }, {} }, start);
    future.startsInFuture = false;
    state.onEndpointChanged(future, start);
    CHECK(state.snapshot().endpoints.contains("a"));
}
