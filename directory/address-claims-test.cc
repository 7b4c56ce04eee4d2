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

} // namespace

TEST_CASE("of the processes at one address only the last one is alive, and each end is told once")
{
    AddressClaims claims;
    const EndpointRecord first = makeRecord("a", "print", 80, 1000);
    const EndpointRecord second = makeRecord("b", "booking", 80, 2000);
    const EndpointRecord elsewhere = makeRecord("c", "print", 81, 500);
    const EndpointRecord unknownStart = makeRecord("d", "print", 80, 0);
    CHECK(claims.update(makeRecords({ first, elsewhere, unknownStart })).empty());
    const auto news = claims.update(makeRecords({ first, second, elsewhere, unknownStart }));
    REQUIRE(news.size() == 1);
    CHECK(news[0].id == "a");
    CHECK(news[0].successor == "b");
    CHECK(news[0].successorService == "booking");
    CHECK(claims.isSuperseded(first));
    for (const EndpointRecord& alive : { second, elsewhere, unknownStart })
        CHECK_FALSE(claims.isSuperseded(alive));
    CHECK(claims.update(makeRecords({ first, second, elsewhere, unknownStart })).empty());
    // A later process under the same identifier.
    CHECK_FALSE(claims.isSuperseded(makeRecord("a", "print", 80, 3000)));
}
