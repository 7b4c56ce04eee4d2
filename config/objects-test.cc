#include "config/objects.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("errors name the object, the field and the problem")
{
    ConfigView view;
    std::string reason;
    CHECK_FALSE(addObject(view, "config/zone/a", R"({"out": 1})", reason));
    CHECK(reason == R"(object "config/zone/a": field "out" must be true or false)");
    CHECK_FALSE(addObject(view, "config/endpoint/e", R"({"service": "s"})", reason));
    CHECK(reason == R"(object "config/endpoint/e": field "zone" is missing)");
    CHECK_FALSE(addObject(view, "config/zone/a", R"({"outt": true})", reason));
    CHECK(reason == R"(object "config/zone/a": field "outt" is not a known field)");
    CHECK_FALSE(addObject(view, "config/zoo/a", "{}", reason));
    CHECK_FALSE(addObject(view, "zone/a", "{}", reason));
    CHECK_FALSE(addObject(view, "config/zone/", "{}", reason));
    CHECK_FALSE(addObject(view, "config/zone/a", "[]", reason));
    CHECK_FALSE(addObject(view, "config/account/a", R"({"tokenDigest": "x", "maxInFlight": 0})", reason));
    CHECK(view.zones.empty());
    CHECK(view.accountsByToken.empty());
}

TEST_CASE("the rule with the longest matching path applies")
{
    ConfigView view;
    std::string reason;
    REQUIRE(addObject(view, "config/rule/all", R"({"service": "s", "idempotent": false})", reason));
    REQUIRE(addObject(view, "config/rule/get", R"({"service": "s", "method": "GET", "pathPrefix": "/orders", "idempotent": true})", reason));
    CHECK(view.findRule("s", "GET", "/orders/1")->name == "get");
    CHECK(view.findRule("s", "POST", "/orders/1")->name == "all");
    CHECK(view.findRule("t", "GET", "/orders/1") == nullptr);
}

TEST_CASE("an unknown zone does not count as taken out")
{
    ConfigView view;
    std::string reason;
    REQUIRE(addObject(view, "config/zone/a", R"({"out": true, "commandId": "1"})", reason));
    CHECK(view.isZoneOut("a"));
    CHECK_FALSE(view.isZoneOut("b"));
}
