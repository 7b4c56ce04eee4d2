#include "direct/registry.h"

#include "gateway/async.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace orioletrail;
namespace asio = boost::asio;
namespace json = boost::json;

// Fails if such an entry counts as an instance, which divides what all instances share.
TEST_CASE("an entry without an address names no instance")
{
    json::array items;
    const auto add = [&](const std::string& name, const json::value& content) {
        items.push_back(json::object { { "metadata", json::object { { "name", name }, { "revision", 7 } } }, { "spec", content } });
    };
    add("entry-1", json::object { { "address", "10.0.0.1:7340" }, { "service", "" } });
    add("odd-1", nullptr);
    add("odd-2", json::object { { "address", 7 } });
    add("odd-3", json::object { { "address", "nowhere:7340" } });
    add("odd-4", json::object { { "address", "10.0.0.1" } });
    add("odd-5", "text");
    add("sidecar-1", json::object { { "address", "[::1]:1" } });
    const std::string body = json::serialize(json::object { { "items", items }, { "has_more", false }, { "at", 9 } });
    asio::io_context context;
    auto handler = [&](const HttpRequest&, Responder& responder) -> Task<> {
        const HttpResponse answer { 200, {}, body };
        co_await responder.respond(answer);
    };
    HttpServer server(context.get_executor(), {}, handler, [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; });
    const std::optional<uint16_t> port = server.listen("127.0.0.1", 0);
    REQUIRE(port);
    Metrics metrics;
    StoreClient store(context.get_executor(), { "127.0.0.1", *port }, metrics);
    InstanceRegistry registry(store);
    std::optional<std::vector<RegisteredInstance>> instances;
    auto run = [&]() -> Task<> {
        instances = co_await registry.list("entries");
        server.stopAccepting();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run_for(std::chrono::seconds(5));
    REQUIRE(instances);
    REQUIRE(instances->size() == 1);
    CHECK(instances->front().name == "entry-1");
}
