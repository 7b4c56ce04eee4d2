// Entries of other writers in the store, and answers of endpoints that are none in HTTP.
#include "tests/cluster.h"
#include "tests/direct-cluster.h"
#include "tests/raw-endpoint.h"

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <mutex>
#include <random>

using namespace orioletrail;
using namespace orioletrail::tests;

namespace {

// One answer that is malformed, as text for the test's output and as bytes.
struct OddAnswer {
    std::string name;
    RawEndpoint::Answer answer;
};

// Answers to the request with this id, whose body is "odd" wherever one could be taken for the endpoint's.
std::vector<OddAnswer> oddAnswers(const std::string& id)
{
    const std::string common = "X-Request-Id: " + id + "\r\nX-Reply-Stamp: s\r\nContent-Type: text/plain\r\n";
    const auto withStatus = [&](const std::string& status) { return "HTTP/1.1 " + status + " Odd\r\n" + common + "Content-Length: 3\r\n\r\nodd"; };
    const auto withLine = [&](const std::string& line) { return "HTTP/1.1 200 OK\r\n" + common + line + "\r\n\r\nodd"; };
    std::vector<OddAnswer> answers;
    for (const char* status : { "000", "007", "099", "101", "600", "999", "2x0", "20", "-20" })
        answers.push_back({ std::string("status ") + status, { withStatus(status) } });
    for (const std::string& line : { std::string("X Odd: v\r\nContent-Length: 3"), std::string("X-Odd : v\r\nContent-Length: 3"), std::string("Content-Length : 3"), std::string(" Content-Length: 3"), std::string("\tContent-Length: 3"),
             std::string("X\x01Odd: v\r\nContent-Length: 3"), std::string("X-Odd\x7f: v\r\nContent-Length: 3"), std::string("X\xffOdd: v\r\nContent-Length: 3"), std::string("Transfer-Encoding: gzip"),
             std::string("Content-Length: +3"), std::string("Content-Length: 3, 4") })
        answers.push_back({ "line " + line, { withLine(line), {}, Millis(0), true } });
    const std::string whole = "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 3\r\n\r\nodd";
    std::mt19937 random(49);
    for (int cut = 0; cut < 12; ++cut) {
        const size_t bytes = std::uniform_int_distribution<size_t>(0, whole.size() - 1)(random);
        answers.push_back({ "cut after " + std::to_string(bytes), { whole.substr(0, bytes), {}, Millis(0), true } });
    }
    return answers;
}

// An endpoint that answers with one of the malformed answers, and its health checks and reports soundly.
class OddEndpoint {
public:
    explicit OddEndpoint(uint16_t port = 0)
        : m_endpoint([this](const std::string& head) { return answer(head); }, port)
    {
    }

    std::string address() const { return m_endpoint.address(); }

    // Answers further requests with the malformed answer of this number. False if there are no more.
    bool select(size_t number)
    {
        const std::lock_guard lock(m_mutex);
        m_number = number;
        return number < oddAnswers("").size();
    }

    // Requests that got a malformed answer.
    size_t answered()
    {
        const std::lock_guard lock(m_mutex);
        return m_answered;
    }

private:
    RawEndpoint::Answer answer(const std::string& head)
    {
        if (head.starts_with("GET /load ") || head.starts_with("GET /orioletrail/report "))
            return { "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"start\":7,\"inFlight\":0}" };
        const std::lock_guard lock(m_mutex);
        ++m_answered;
        return oddAnswers(RawEndpoint::field(head, "X-Request-Id"))[m_number].answer;
    }

    std::mutex m_mutex;
    size_t m_number = 0;
    size_t m_answered = 0;
    RawEndpoint m_endpoint;
};

// Sends requests with `call` until one has reached the endpoint, and checks its answer: it names the attempt as one that
// may have run, and holds nothing of the malformed answer.
void checkRefused(OddEndpoint& endpoint, const std::function<HttpResult()>& call)
{
    for (size_t number = 0; endpoint.select(number); ++number) {
        const std::string name = oddAnswers("")[number].name;
        CAPTURE(name);
        const size_t before = endpoint.answered();
        HttpResult result;
        Clock::duration took {};
        const bool wasReached = waitUntil([&] {
            const TimePoint start = Clock::now();
            result = call();
            took = Clock::now() - start;
            return endpoint.answered() > before;
        });
        CAPTURE(result.body);
        REQUIRE(wasReached);
        CHECK(result.ok());
        CHECK(result.status == 502);
        CHECK(result.body.find("odd") == std::string::npos);
        CHECK(result.body.find("may-have-run") != std::string::npos);
        for (const auto& [field, value] : result.headers)
            CHECK(field.find("Odd") == std::string::npos);
        // Before the deadline of 3 s.
        CHECK(took < std::chrono::seconds(2));
    }
}

} // namespace

// Fails if a name is written into the target of the next page as it is.
TEST_CASE("malformed: entries with odd names in a list of several pages hide no endpoint")
{
    DirectCluster cluster;
    REQUIRE(cluster.waitUntilReady());
    // Pages of the stand-in have 500 objects, and these names come before those of the endpoints.
    constexpr int entries = 1100;
    const std::vector<std::string> marks { "&watch=1", "+", "#", "%", "%zz", " ", "?", "=", "\"", "\\", "\n", "\x7f", "\xc3\xa9", "/../" };
    for (int entry = 0; entry < entries; ++entry)
        cluster.putObject("servers", "a" + marks[static_cast<size_t>(entry) % marks.size()] + std::to_string(entry) + marks[static_cast<size_t>(entry) % marks.size()],
            entry % 2 ? boost::json::value(nullptr) : boost::json::value(boost::json::object { { "service", "print" }, { "addr", "nowhere" }, { "zone", "z1" }, { "state", "odd" } }));
    cluster.startEntry();
    REQUIRE(cluster.waitUntilReady());
    CHECK(waitUntil([&] { return cluster.call("GET", "/lookup/1", "a1").status == 200; }));
    CHECK(cluster.call("POST", "/once/1", "a2").status == 200);
    CHECK(cluster.call("POST", "/stream/1", "a3").body == completeStream());
}

TEST_CASE("malformed: no caller of a direct entry gets an answer that is none in HTTP")
{
    DirectCluster cluster;
    OddEndpoint endpoint;
    cluster.removeObject("servers", "p1");
    cluster.removeObject("servers", "p2");
    cluster.putObject("servers", "odd", boost::json::object { { "service", "print" }, { "addr", endpoint.address() }, { "zone", "z1" }, { "version", "v1" }, { "slots", 12 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 } });
    REQUIRE(cluster.waitUntilReady());
    int request = 0;
    checkRefused(endpoint, [&] { return cluster.call("POST", "/once/1", "b" + std::to_string(request++)); });
    checkRefused(endpoint, [&] { return cluster.call("GET", "/lookup/1", "b" + std::to_string(request++)); });
}

TEST_CASE("malformed: no caller of an entry before sidecars gets an answer that is none in HTTP")
{
    ClusterOptions options;
    options.zones = 1;
    options.enginesPerZone = 1;
    Cluster cluster(options);
    REQUIRE(cluster.waitUntilReady());
    cluster.endpoint("z1-s1").signal(SIGKILL);
    REQUIRE(cluster.endpoint("z1-s1").wait(Millis(5000)));
    OddEndpoint endpoint(parseAddress(cluster.endpointAddress("z1-s1"))->second);
    const HeaderList headers { { "X-Deadline-Ms", "3000" } };
    // Each request is another one, as the endpoint's process has changed and one request must not seem to crash it often.
    int request = 0;
    checkRefused(endpoint, [&] { return cluster.call(cluster.entryAddress(1), "POST", "/services/print/orders", std::to_string(request++), headers); });
    checkRefused(endpoint, [&] { return cluster.call(cluster.entryAddress(1), "GET", "/services/print/orders/" + std::to_string(request++), {}, headers); });
}
