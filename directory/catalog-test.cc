#include "directory/catalog.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

Route makeRoute(std::string host, std::string prefix, std::string service)
{
    Route route;
    route.name = prefix;
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.targets.push_back({ std::move(service), 1 });
    return route;
}

} // namespace

TEST_CASE("a request gets the route of its host with the longest matching prefix")
{
    CatalogBuilder builder;
    builder.route(makeRoute("a.example", "/", "all")).route(makeRoute("a.example", "/print/", "print"));
    builder.route(makeRoute("a.example", "/print/status/", "status")).route(makeRoute("b.example", "/print/", "other"));
    const Catalog catalog = std::move(builder).build();
    CHECK(catalog.findRoute("a.example", "/print/status/7")->targets[0].service == "status");
    CHECK(catalog.findRoute("a.example", "/print/order")->targets[0].service == "print");
    CHECK(catalog.findRoute("a.example", "/printer")->targets[0].service == "all");
    CHECK(catalog.findRoute("b.example", "/print/x")->targets[0].service == "other");
    CHECK_FALSE(catalog.findRoute("b.example", "/x"));
    CHECK_FALSE(catalog.findRoute("c.example", "/print/x"));
    CHECK(catalog.routeCount() == 4);
}

TEST_CASE("a key identifies its account, and an account without keys still makes keys required")
{
    const std::vector<std::string> keys { "k1", "k2" };
    CatalogBuilder builder;
    builder.account({ "bakery", 3 }, keys).account({ "empty", std::nullopt }, {});
    const Catalog catalog = std::move(builder).build();
    REQUIRE(catalog.findAccount("k2"));
    CHECK(catalog.findAccount("k2")->name == "bakery");
    CHECK(catalog.findAccount("k2")->priority == 3);
    CHECK_FALSE(catalog.findAccount("k3"));
    CHECK_FALSE(catalog.findAccount(""));
    CHECK(catalog.hasAccounts());
    CHECK_FALSE(CatalogBuilder().build().hasAccounts());
}

TEST_CASE("priorities of a service are those of its routes and, for the order of requests, of accounts")
{
    Route urgent = makeRoute("a.example", "/urgent/", "model");
    urgent.priority = 0;
    Route batch = makeRoute("a.example", "/batch/", "model");
    batch.priority = 2;
    Route other = makeRoute("a.example", "/other/", "plain");
    CatalogBuilder builder;
    builder.route(urgent).route(batch).route(other);
    const Catalog catalog = CatalogBuilder(builder).build();
    CHECK(catalog.hasRoutePriorities("model"));
    CHECK_FALSE(catalog.hasRoutePriorities("plain"));
    CHECK_FALSE(catalog.hasPriorities("plain"));
    CHECK_FALSE(catalog.hasPriorities("unknown"));
    const std::vector<std::string> keys { "k1" };
    const Catalog withAccount = std::move(builder.account({ "bakery", 3 }, keys)).build();
    CHECK_FALSE(withAccount.hasRoutePriorities("plain"));
    CHECK(withAccount.hasPriorities("plain"));
}
