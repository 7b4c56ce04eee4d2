#include "retry/crash-evidence.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

CrashEvidence::LostRequest lostRequest(std::string endpoint, std::string digest, TimePoint sentAt = start)
{
    return { std::move(endpoint), 1, std::move(digest), sentAt, start };
}

} // namespace

TEST_CASE("lost requests count once their endpoint has ended, each once")
{
    CrashEvidence evidence;
    CHECK(evidence.onEnded("e1", start).empty());
    evidence.onLost(lostRequest("e1", "b", start - Millis(30)));
    evidence.onLost(lostRequest("e1", "a"));
    evidence.onLost(lostRequest("e1", "b", start - Millis(20)));
    evidence.onLost(lostRequest("e2", "c"));
    const auto ended = evidence.onEnded("e1", start + Millis(100));
    REQUIRE(ended.size() == 2);
    CHECK(ended[0].digest == "a");
    CHECK(ended[1].digest == "b");
    CHECK(ended[1].sentAt == start - Millis(20));
    CHECK(evidence.onEnded("e1", start + Millis(100)).empty());
    CHECK(evidence.size() == 1);
}

TEST_CASE("a request lost long before its endpoint ended is not a suspect, and the number of records is limited")
{
    CrashEvidence evidence;
    evidence.onLost(lostRequest("e1", "a"));
    CHECK(evidence.onEnded("e1", start + std::chrono::seconds(10)).empty());
    for (int request = 0; request < 5000; ++request)
        evidence.onLost(lostRequest("e1", std::to_string(request)));
    CHECK(evidence.size() <= 512);
}
