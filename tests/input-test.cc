// Bad input: each gets a clear error and the processes live on.
#include "tests/cluster.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

// Sends bytes, optionally closes the sending side, and returns all that comes back.
std::string exchange(const std::string& address, const std::string& bytes, bool halfClose)
{
    const auto parsed = parseAddress(address);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code ignored;
    socket.connect({ boost::asio::ip::make_address(parsed->first), parsed->second });
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    if (halfClose)
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
    return answer;
}

int exitCodeOf(const std::string& flags)
{
    Process process({ "/bin/sh", "-c", "exec " ORIOLETRAIL_BINARIES "/orioletrail " + flags + " >/dev/null 2>&1" });
    return process.wait(Millis(10'000)).value_or(-1);
}

} // namespace

TEST_CASE("callers' mistakes are answered with the right status")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitReady());
    const std::string entry = cluster.entryAddress(1);
    CHECK(cluster.call(entry, "GET", "/nothing").status == 404);
    CHECK(cluster.call(entry, "GET", "/services/nothing/x").status == 404);
    CHECK(cluster.call(entry, "GET", "/v1/completions").status == 405);
    CHECK(cluster.call(entry, "POST", "/v1/completions", "{").status == 400);
    CHECK(cluster.call(entry, "POST", "/v1/completions", R"({"model":"none"})").status == 404);
    CHECK(cluster.call(entry, "GET", "/services/print/orders/1", "", { { "Authorization", "Bearer wrong" } }).status == 401);
    CHECK(cluster.call(entry, "GET", "/services/print/orders/1", "", { { "X-Deadline-Ms", "soon" } }).status == 400);
    CHECK(cluster.call(entry, "POST", "/services/print/orders", std::string(2'000'000, 'x')).status == 413);
    CHECK(cluster.call(entry, "GET", "/services/print/orders/1", "", { { "X-Long", std::string(40'000, 'x') } }).status == 431);
    CHECK(cluster.call(entry, "GET", "/services/print/orders/1").status == 200);
}

TEST_CASE("broken and half-closed connections are answered and the entry lives on")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitReady());
    const std::string entry = cluster.entryAddress(1);
    CHECK(exchange(entry, "nonsense\r\n\r\n", false).find(" 400 ") != std::string::npos);
    CHECK(exchange(entry, "GET / HTTP/1.1\r\nHost", true).find(" 400 ") != std::string::npos);
    const std::string whole = "GET /services/print/orders/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-token\r\nConnection: close\r\n\r\n";
    CHECK(exchange(entry, whole, false).find(" 200 ") != std::string::npos);
    CHECK_FALSE(exchange(entry, whole, true).empty());
    CHECK(cluster.call(entry, "GET", "/services/print/orders/1").status == 200);
}

TEST_CASE("operators can ask what became of a request and when refusals were")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitReady());
    const HeaderList id { { "X-Request-Id", "mine" } };
    cluster.fault("z1-s1", "lose", 0, 1);
    CHECK(cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", id).status == 502);
    const CommandOutput explained = cluster.ctl("explain request mine");
    CHECK(explained.text.find("non-idempotent: status 502, may-have-run, endpoint-cut") != std::string::npos);
    CHECK(explained.text.find("z1-s1") != std::string::npos);
    CHECK(cluster.ctl("explain request other").status == 3);
    const CommandOutput refusals = cluster.ctl("show refusals");
    CHECK(refusals.text.find("1 minutes with refusals by the system") != std::string::npos);
    CHECK(refusals.text.find("endpoint-cut") != std::string::npos);
}

TEST_CASE("operators' mistakes change nothing and have their own exit codes")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitReady());
    const CommandOutput wrong = cluster.ctl("take zone z1 in");
    CHECK(wrong.status == 2);
    CHECK(wrong.text.find("expected out at column 14") != std::string::npos);
    CHECK(cluster.ctl("take zone nowhere out").status == 3);
    CHECK(cluster.ctl("apply /nonexistent").status == 2);
    CHECK(cluster.ctl("show zones").text.find("z1    in") != std::string::npos);
}

TEST_CASE("settings are checked before anything starts")
{
    CHECK(exitCodeOf("entry --name a") != 0);
    CHECK(exitCodeOf("entry --name a --zone b --listen nowhere") == 2);
    CHECK(exitCodeOf("entry --name a --zone b --queue-timeout -1") != 0);
    CHECK(exitCodeOf("sidecar --name a --zone b --service s --cold-limit 9 --warm-limit 3") == 2);
    CHECK(exitCodeOf("check-config /nonexistent") == 2);
    CHECK(exitCodeOf("version") == 0);
}
