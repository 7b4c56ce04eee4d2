#include "admission/pace-limit.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr PaceProfile profile { 4, 4.55, 0.905, 120 };

// Length of a pass in which each endpoint holds so many streams, if one rank has `unevenness`
// times the mean load.
double passMs(double streams, double unevenness)
{
    return profile.stepsPerPass * (profile.stepMs + profile.perStreamMs * unevenness * streams);
}

} // namespace

TEST_CASE("the limit keeps pauses below their objective, however uneven the load is")
{
    for (const double unevenness : { 1.0, 1.5, 2.0, 3.0, 4.0 }) {
        CAPTURE(unevenness);
        PaceLimit limit;
        TimePoint now { std::chrono::hours(1) };
        double streams = 12;
        double gap = 0;
        for (int pass = 0; pass < 200; ++pass) {
            streams = std::min(12.0, limit.streamsPerEndpoint(profile));
            gap = passMs(streams, unevenness);
            now += Millis(static_cast<Millis::rep>(gap));
            limit.onGap(gap, streams, profile, now);
        }
        CHECK(gap < profile.gapObjectiveMs);
        CHECK(limit.unevenness() == doctest::Approx(unevenness).epsilon(0.02));
        // Nothing is held back that fits.
        if (unevenness <= 1.5)
            CHECK(streams == 12);
    }
}

TEST_CASE("a stall and a service without a pace change nothing")
{
    PaceLimit limit;
    const double before = limit.unevenness();
    limit.onGap(1500, 8, profile, TimePoint(std::chrono::hours(1)));
    CHECK(limit.unevenness() == before);
    CHECK(limit.streamsPerEndpoint(PaceProfile {}) > 1e6);
}
