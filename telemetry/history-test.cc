#include "telemetry/history.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("find returns the latest request with an id, and the oldest requests are discarded")
{
    RequestHistory history(3);
    for (unsigned status = 200; status < 205; ++status)
        history.add({ status % 2 ? "odd" : "even", "a", "s", true, {}, status, Reason::None, Outcome::Answered });
    REQUIRE(history.find("even"));
    CHECK(history.find("even")->status == 204);
    CHECK(history.find("odd")->status == 203);
    history.add({ "x", "a", "s", true, {}, 200, Reason::None, Outcome::Answered });
    history.add({ "x", "a", "s", true, {}, 200, Reason::None, Outcome::Answered });
    CHECK_FALSE(history.find("odd"));
    CHECK_FALSE(history.find("unknown"));
}
