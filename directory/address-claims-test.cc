#include "directory/address-claims.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

EndpointRecord makeRecord(std::string id, std::string service, uint16_t port, uint64_t processStartMs)
{
    EndpointRecord record;
    record.id = std::move(id);
    record.service = std::move(service);
    record.host = "10.0.0.1";
    record.port = port;
    record.processStartMs = processStartMs;
    return record;
}

EndpointRecords makeRecords(std::vector<EndpointRecord> list)
{
    EndpointRecords records;
    for (EndpointRecord& record : list)
        records.emplace(record.id, record);
    return records;
}

const AddressClaims::ServiceFilter allServices = [](std::string_view) { return true; };

} // namespace

TEST_CASE("of the processes at one address only the last one is alive, and each end is told once")
{
    AddressClaims claims;
    const EndpointRecord first = makeRecord("a", "print", 80, 1000);
    const EndpointRecord second = makeRecord("b", "booking", 80, 2000);
    const EndpointRecord elsewhere = makeRecord("c", "print", 81, 500);
    const EndpointRecord unknownStart = makeRecord("d", "print", 80, 0);
    CHECK(claims.update(makeRecords({ first, elsewhere, unknownStart }), allServices).empty());
    const auto news = claims.update(makeRecords({ first, second, elsewhere, unknownStart }), allServices);
    REQUIRE(news.size() == 1);
    CHECK(news[0].id == "a");
    CHECK(news[0].successor == "b");
    CHECK(news[0].successorService == "booking");
    CHECK(claims.isSuperseded(first));
    for (const EndpointRecord& alive : { second, elsewhere, unknownStart })
        CHECK_FALSE(claims.isSuperseded(alive));
    CHECK(claims.update(makeRecords({ first, second, elsewhere, unknownStart }), allServices).empty());
    // A later process under the same identifier.
    CHECK_FALSE(claims.isSuperseded(makeRecord("a", "print", 80, 3000)));
}

// Fails if a record that names no replica to use hides one at its address.
TEST_CASE("records of services that are not named, and starts in the future, end no process")
{
    AddressClaims claims;
    const EndpointRecord replica = makeRecord("a", "print", 80, 1000);
    const EndpointRecord unnamed = makeRecord("b", "inventory", 80, 2000);
    EndpointRecord future = makeRecord("c", "print", 80, 3000);
    future.startsInFuture = true;
    const EndpointRecords records = makeRecords({ replica, unnamed, future });
    const auto isPrint = [](std::string_view service) { return service == "print"; };
    CHECK(claims.update(records, isPrint).empty());
    CHECK_FALSE(claims.isSuperseded(replica));
    CHECK(claims.update(records, allServices).size() == 1);
    CHECK(claims.isSuperseded(replica));
    CHECK_FALSE(claims.isSuperseded(unnamed));
    CHECK_FALSE(claims.isSuperseded(future));
}

// Fails if an endpoint is used again whose address another service had taken over.
TEST_CASE("a superseded process stays so when its successor or the successor's service goes, until its record does")
{
    AddressClaims claims;
    const EndpointRecord former = makeRecord("a", "print", 80, 1000);
    const EndpointRecord successor = makeRecord("b", "booking", 80, 2000);
    claims.update(makeRecords({ former, successor }), allServices);
    CHECK(claims.update(makeRecords({ former, successor }), [](std::string_view service) { return service == "print"; }).empty());
    CHECK(claims.isSuperseded(former));
    claims.update(makeRecords({ former }), allServices);
    CHECK(claims.isSuperseded(former));
    const EndpointRecord restarted = makeRecord("a", "print", 80, 3000);
    claims.update(makeRecords({ restarted, successor }), allServices);
    CHECK_FALSE(claims.isSuperseded(restarted));
    CHECK(claims.isSuperseded(successor));
    claims.forget("b");
    CHECK_FALSE(claims.isSuperseded(successor));
}
