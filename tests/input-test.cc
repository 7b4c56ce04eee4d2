// Invalid input from callers and operators gets a clear error and ends no process.
#include "tests/cluster.h"

#include <doctest/doctest.h>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

// Runs `orioletrail` with the given flags.
int exitCode(const std::string& flags)
{
    Process process({ "/bin/sh", "-c", "exec " ORIOLETRAIL_BINARIES "/orioletrail " + flags + " >/dev/null 2>&1" });
    return process.wait(Millis(10'000)).value_or(-1);
}

} // namespace

TEST_CASE("invalid requests get the right status")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
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

TEST_CASE("malformed and half-closed connections are answered, and the entry keeps serving")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const std::string entry = cluster.entryAddress(1);
    CHECK(sendRaw(entry, "nonsense\r\n\r\n", false).find(" 400 ") != std::string::npos);
    CHECK(sendRaw(entry, "GET / HTTP/1.1\r\nHost", true).find(" 400 ") != std::string::npos);
    const std::string validRequest = "GET /services/print/orders/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-token\r\nConnection: close\r\n\r\n";
    CHECK(sendRaw(entry, validRequest, false).find(" 200 ") != std::string::npos);
    CHECK_FALSE(sendRaw(entry, validRequest, true).empty());
    CHECK(cluster.call(entry, "GET", "/services/print/orders/1").status == 200);
}

TEST_CASE("operators can look up the outcome of a request and the times of refusals")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const HeaderList headers { { "X-Request-Id", "mine" } };
    cluster.setFault("z1-s1", "lose", 0, 1);
    CHECK(cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", "a", headers).status == 502);
    const CommandOutput explanation = cluster.runCtl("explain request mine");
    CHECK(explanation.text.find("non-idempotent: status 502, may-have-run, endpoint-cut") != std::string::npos);
    CHECK(explanation.text.find("z1-s1") != std::string::npos);
    CHECK(cluster.runCtl("explain request other").status == 3);
    const CommandOutput refusals = cluster.runCtl("show refusals");
    CHECK(refusals.text.find("1 minutes with refusals by the system") != std::string::npos);
    CHECK(refusals.text.find("endpoint-cut") != std::string::npos);
}

TEST_CASE("invalid commands change nothing and have distinct exit codes")
{
    Cluster cluster({ 1, 1, 1, false, {}, {}, {} });
    REQUIRE(cluster.waitUntilReady());
    const CommandOutput malformed = cluster.runCtl("take zone z1 in");
    CHECK(malformed.status == 2);
    CHECK(malformed.text.find("expected out at column 14") != std::string::npos);
    CHECK(cluster.runCtl("take zone nowhere out").status == 3);
    CHECK(cluster.runCtl("apply /nonexistent").status == 2);
    CHECK(cluster.runCtl("show zones").text.find("z1    in") != std::string::npos);
}

TEST_CASE("settings are validated before a process starts")
{
    CHECK(exitCode("entry --name a") != 0);
    CHECK(exitCode("entry --name a --zone b --listen nowhere") == 2);
    CHECK(exitCode("entry --name a --zone b --queue-timeout -1") != 0);
    CHECK(exitCode("sidecar --name a --zone b --service s --cold-limit 9 --warm-limit 3") == 2);
    CHECK(exitCode("check-config /nonexistent") == 2);
    CHECK(exitCode("version") == 0);
}
