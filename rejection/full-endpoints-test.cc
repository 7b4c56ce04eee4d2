#include "rejection/full-report.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };
constexpr uint64_t process = 7;

} // namespace

TEST_CASE("an endpoint that rejected a request has its load until a request ends there, it says less, or time passes")
{
    FullEndpoints full;
    CHECK(full.loadOf("e", process, { 2, 3 }, start) == 0);
    CHECK(full.onRejected("e", process, 10, { 2, 3 }, start));
    CHECK(full.loadOf("e", process, { 2, 3 }, start) == 10);
    // A request of this instance ends, one is sent, and one of another instance ends.
    CHECK(full.loadOf("e", process, { 1, 3 }, start) == 9);
    CHECK(full.loadOf("e", process, { 3, 3 }, start) == 11);
    CHECK(full.loadOf("e", process, { 2, 2 }, start) == 9);
    // A request that others have told of since may be one that the endpoint had.
    CHECK(full.loadOf("e", process, { 2, 5 }, start) == 10);
    CHECK(full.loadOf("e", process + 1, { 2, 3 }, start) == 0);
    CHECK_FALSE(full.onRejected("e", process, 10, { 2, 3 }, start + Millis(10)));
    full.onReported("e", process, 6, 10, { 2, 3 }, start + Millis(20));
    CHECK(full.loadOf("e", process, { 2, 3 }, start + Millis(20)) == 6);
    CHECK(full.report(start + Millis(20)).empty());
    CHECK(full.loadOf("e", process, { 2, 3 }, start + Millis(20) + FullEndpoints::holdTime) == 0);
}

TEST_CASE("a report of another instance does not hold longer than the rejection that it tells of")
{
    FullEndpoints first;
    FullEndpoints second;
    first.onRejected("e", process, 10, {}, start);
    const FullReports reports = first.report(start + Millis(50));
    REQUIRE(reports.contains("e"));
    const TimePoint received = start + Millis(60);
    CHECK(second.onPeerReport("e", reports.at("e"), { 1, 0 }, received));
    CHECK(second.loadOf("e", process, { 1, 0 }, received) == 10);
    CHECK(second.loadOf("e", process, { 1, 0 }, start + FullEndpoints::holdTime + Millis(10)) == 0);
    // What was heard from others is not passed on, so that instances do not keep it alive among themselves.
    CHECK(second.report(received).empty());
    CHECK_FALSE(second.onPeerReport("e", { process, 10, Millis(190) }, {}, received));
    CHECK_FALSE(second.onPeerReport("e", { process, 10, Millis(10'000) }, {}, start + Millis(1000)));
    second.removeEndpoint("e");
    CHECK(second.size(received) == 0);
}

TEST_CASE("reports of full endpoints are read as written, bounded, and without malformed ones")
{
    FullEndpoints full;
    for (size_t number = 0; number < 2 * FullEndpoints::maxReported; ++number)
        full.onRejected("endpoint-with-a-name-of-usual-length-" + std::to_string(number), 17'000'000'000'000'000'000U + number, 10, {}, start);
    const FullReports reports = full.report(start + Millis(5));
    CHECK(reports.size() == FullEndpoints::maxReported);
    boost::json::object message;
    writeFullReports(reports, message);
    // A datagram has 65,000 bytes, most of which other fields may need.
    CHECK(boost::json::serialize(message).size() < 16'000);
    const FullReports read = readFullReports(message);
    REQUIRE(read.size() == reports.size());
    CHECK(read.begin()->second.process == reports.begin()->second.process);
    CHECK(read.begin()->second.load == 10);
    CHECK(read.begin()->second.age == Millis(5));
    CHECK(decodeFullMessage(encodeFullMessage(reports))->size() == reports.size());
    CHECK_FALSE(decodeFullMessage(R"({"instance":"a","run":1,"address":"x","full":{}})"));
    CHECK_FALSE(decodeFullMessage("{"));
    const auto readText = [](std::string_view text) { return readFullReports(boost::json::parse(text).as_object()); };
    CHECK(readText(R"({"full":5})").empty());
    CHECK(readText(R"({"full":{"a":1,"b":{"process":1},"c":{"process":1,"load":-1,"ageMs":1},"d":{"process":1,"load":99999999999,"ageMs":1},"e":{"process":1,"load":1,"ageMs":18446744073709551615},"f":{"process":1,"load":1,"ageMs":1e300}}})").empty());
    std::string many = R"({"full":{)";
    for (int number = 0; number < 1000; ++number)
        many += (number ? ",\"" : "\"") + std::to_string(number) + R"(":{"process":1,"load":1,"ageMs":1})";
    CHECK(readText(many + "}}").size() == FullEndpoints::maxReported);
}
