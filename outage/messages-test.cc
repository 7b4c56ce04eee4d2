#include "outage/messages.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("reports of outages are read as they were written, and malformed ones are left out")
{
    const OutageReports reports { { "group-1", { Millis(20), std::nullopt } }, { "group-2", { Millis(300), Millis(5) } } };
    boost::json::object message;
    writeOutages(reports, message);
    CHECK(readOutages(message) == reports);
    CHECK(readOutages({}).empty());
    for (const char* text : { R"({"outages":3})", R"({"outages":{"a":4}})", R"({"outages":{"a":{}}})", R"({"outages":{"a":{"failedMs":-1}}})",
             R"({"outages":{"a":{"failedMs":1e300}}})", R"({"outages":{"a":{"servedMs":"now"}}})" }) {
        CAPTURE(text);
        CHECK(readOutages(boost::json::parse(text).get_object()).empty());
    }
    boost::json::object many;
    for (int group = 0; group < 3000; ++group)
        many[std::to_string(group)] = boost::json::object { { "failedMs", 1 } };
    CHECK(readOutages({ { "outages", std::move(many) } }).size() == 1024);
}
