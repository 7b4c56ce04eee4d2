#include "gateway/async.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace orioletrail;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// What a client receives on one connection until it ends.
struct Received {
    std::string bytes;
    error_code end;
};

// Runs a server with the handler, sends `requests` on one connection and reads until it ends.
Received exchange(const HttpHandler& handler, const std::string& requests)
{
    asio::io_context context;
    HttpServer server(context.get_executor(), {}, handler, [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; });
    const std::optional<uint16_t> port = server.listen("127.0.0.1", 0);
    REQUIRE(port);
    Received received;
    auto run = [&]() -> Task<> {
        tcp::socket socket(context);
        const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), *port);
        co_await socket.async_connect(endpoint, asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(requests), asio::use_awaitable);
        std::vector<char> buffer(4096);
        while (!received.end) {
            const size_t bytes = co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, received.end));
            received.bytes.append(buffer.data(), bytes);
        }
        server.stopAccepting();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run_for(std::chrono::seconds(5));
    return received;
}

Task<> sendTwoParts(Responder& responder)
{
    co_await responder.begin(200, {});
    co_await responder.chunk("first ");
    co_await responder.chunk("second");
}

Task<> respondInParts(const HttpRequest&, Responder& responder)
{
    co_await sendTwoParts(responder);
    co_await responder.end();
}

Task<> breakOff(const HttpRequest&, Responder& responder)
{
    co_await sendTwoParts(responder);
    co_await sleepFor(Millis(50));
    responder.abort();
}

} // namespace

TEST_CASE("a client of HTTP/1.0 gets no chunks, and an aborted response ends with a reset")
{
    const Received whole = exchange(respondInParts, "GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
    CHECK(whole.bytes.ends_with("\r\n\r\nfirst second"));
    CHECK(whole.bytes.find("Transfer-Encoding") == std::string::npos);
    CHECK(whole.end == asio::error::eof);
    const Received broken = exchange(breakOff, "GET / HTTP/1.0\r\nHost: a\r\n\r\n");
    CHECK(broken.bytes.find("Transfer-Encoding") == std::string::npos);
    CHECK(broken.end == asio::error::connection_reset);
}

TEST_CASE("an aborted response lacks its last chunk, and requests behind it get no response")
{
    for (const char* header : { "", "Connection: close\r\n" }) {
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n" + std::string(header) + "\r\n";
        const Received whole = exchange(respondInParts, request + "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CHECK(whole.bytes.ends_with("6\r\nsecond\r\n0\r\n\r\n"));
        const Received broken = exchange(breakOff, request + request);
        CHECK(broken.bytes.ends_with("6\r\nsecond\r\n"));
        CHECK(broken.bytes.find("HTTP/1.1", 1) == std::string::npos);
    }
}

TEST_CASE("a complete response is not written into one that has begun")
{
    auto handler = [](const HttpRequest&, Responder& responder) -> Task<> {
        co_await sendTwoParts(responder);
        const HttpResponse error { 404, {}, "not found" };
        co_await responder.respond(error);
    };
    const Received received = exchange(handler, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(received.bytes.find("second") != std::string::npos);
    CHECK(received.bytes.find("404") == std::string::npos);
    CHECK_FALSE(received.bytes.ends_with("0\r\n\r\n"));
}
