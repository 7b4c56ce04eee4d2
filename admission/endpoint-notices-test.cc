#include "admission/endpoint-notices.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

TEST_CASE("a notice that an endpoint leaves holds for its process only")
{
    EndpointNotices notices;
    CHECK(notices.onLeaving("e", 1));
    CHECK_FALSE(notices.onLeaving("e", 1));
    CHECK(notices.isLeaving("e", 1));
    CHECK_FALSE(notices.isLeaving("e", 2));
    CHECK_FALSE(notices.isLeaving("other", 1));
    notices.onPause("e", 2, start);
    CHECK_FALSE(notices.isLeaving("e", 2));
    notices.onLeaving("e", 2);
    notices.removeEndpoint("e");
    CHECK_FALSE(notices.isLeaving("e", 2));
}

TEST_CASE("a pause lasts until its latest end, and a later answer does not shorten it")
{
    EndpointNotices notices;
    notices.onPause("e", 1, start + Millis(2000));
    notices.onPause("e", 1, start + Millis(500));
    CHECK(notices.pauseLeft("e", 1, start) == Millis(2000));
    CHECK(notices.pauseLeft("e", 1, start + Millis(1999)) == Millis(1));
    CHECK(notices.pauseLeft("e", 1, start + Millis(2000)) == Millis(0));
    CHECK(notices.pauseLeft("e", 2, start) == Millis(0));
}
