#include "retry/crash-evidence.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

TEST_CASE("lost requests count once their endpoint has ended, each once")
{
    CrashEvidence evidence;
    CHECK(evidence.onEnded("e1", start).empty());
    evidence.onLost("e1", "b", start);
    evidence.onLost("e1", "a", start);
    evidence.onLost("e1", "b", start);
    evidence.onLost("e2", "c", start);
    CHECK(evidence.onEnded("e1", start + Millis(100)) == std::vector<std::string> { "a", "b" });
    CHECK(evidence.onEnded("e1", start + Millis(100)).empty());
    CHECK(evidence.size() == 1);
}

TEST_CASE("a request lost long before its endpoint ended is not a suspect, and the number of records is limited")
{
    CrashEvidence evidence;
    evidence.onLost("e1", "a", start);
    CHECK(evidence.onEnded("e1", start + std::chrono::seconds(10)).empty());
    for (int request = 0; request < 5000; ++request)
        evidence.onLost("e1", std::to_string(request), start);
    CHECK(evidence.size() <= 512);
}
