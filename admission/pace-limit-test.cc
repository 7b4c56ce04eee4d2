#include "admission/pace-limit.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr PaceProfile profile { 4, 4.55, 0.905, 120, 233, 12, 1 };

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

TEST_CASE("with a slow engine as many streams are held as stay on time, or more if hardly any would")
{
    // A group whose passes wait for one slow rank, whatever it holds; loads are even beside that.
    // Answers of 24 events, of use for 8 s; callers want more than the group can bear.
    struct Played {
        double streams = 0;
        double gapMs = 0;
        // Answers a second, those that are late counting half.
        double value = 0;
    };
    const auto play = [](double slowest, double toldSlowest) {
        constexpr double unevenness = 1.3;
        constexpr double events = 24;
        PaceProfile told = profile;
        told.slowest = toldSlowest;
        PaceLimit limit;
        TimePoint now { std::chrono::hours(1) };
        Played played;
        for (int pass = 0; pass < 200; ++pass) {
            played.streams = std::min(profile.slots, limit.streamsPerEndpoint(told));
            played.gapMs = profile.stepsPerPass * (profile.stepMs * slowest + profile.perStreamMs * unevenness * played.streams);
            now += Millis(static_cast<Millis::rep>(played.gapMs));
            limit.onGap(played.gapMs, played.streams, told, now);
        }
        const double answerMs = events * played.gapMs;
        const double worth = answerMs > 8000 ? 0 : played.gapMs <= profile.gapObjectiveMs ? 1
                                                                                          : 0.5;
        played.value = worth * 1000 * played.streams / answerMs;
        return played;
    };
    const Played four = play(4, 4);
    CHECK(four.gapMs < profile.gapObjectiveMs);
    CHECK(four.streams > 5);
    const Played six = play(6, 6);
    CHECK(six.streams == profile.slots);
    CHECK(six.value > 2 * play(6, 1).value);
    const Played twelve = play(12, 12);
    CHECK(twelve.gapMs <= profile.bearableGapMs + 1);
    CHECK(twelve.value > play(12, 1).value);
}

TEST_CASE("a stall and a service without a pace change nothing")
{
    PaceLimit limit;
    const double before = limit.unevenness();
    limit.onGap(1500, 8, profile, TimePoint(std::chrono::hours(1)));
    CHECK(limit.unevenness() == before);
    CHECK(limit.streamsPerEndpoint(PaceProfile {}) > 1e6);
}
