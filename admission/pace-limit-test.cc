#include "admission/pace-limit.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr PaceProfile profile { 4, 4.55, 0.905, 120, 233, 12, 1 };

// Duration of a pass with `streams` streams per endpoint, if the most loaded rank has `unevenness`
// times the mean load.
double passMs(double streams, double unevenness)
{
    return profile.stepsPerPass * (profile.stepMs + profile.perStreamMs * unevenness * streams);
}

} // namespace

TEST_CASE("the limit keeps gaps below their objective, however uneven the load is")
{
    for (const double unevenness : { 1.0, 1.5, 2.0, 3.0, 4.0 }) {
        CAPTURE(unevenness);
        PaceLimit limit;
        TimePoint now { std::chrono::hours(1) };
        double streams = 12;
        double gap = 0;
        for (int pass = 0; pass < 200; ++pass) {
            streams = std::min(12.0, limit.maxStreamsPerEndpoint(profile));
            gap = passMs(streams, unevenness);
            now += Millis(static_cast<Millis::rep>(gap));
            limit.onEventGap(gap, streams, profile, now);
        }
        CHECK(gap < profile.gapObjectiveMs);
        CHECK(limit.unevenness() == doctest::Approx(unevenness).epsilon(0.02));
        // All slots are used if that is within the objective.
        if (unevenness <= 1.5)
            CHECK(streams == 12);
    }
}

TEST_CASE("with a slow engine the limit is what stays on time, or more if hardly any stream would")
{
    // One slow rank delays every pass, however few streams it has; the load is slightly uneven.
    // Answers have 24 events and are useless after 8 s. Demand always exceeds capacity.
    struct Result {
        double streams = 0;
        double gapMs = 0;
        // Answers per second; late ones count half.
        double value = 0;
    };
    const auto simulate = [](double slowest, double assumedSlowest) {
        constexpr double unevenness = 1.3;
        constexpr double events = 24;
        PaceProfile model = profile;
        model.slowestFactor = assumedSlowest;
        PaceLimit limit;
        TimePoint now { std::chrono::hours(1) };
        Result result;
        for (int pass = 0; pass < 200; ++pass) {
            result.streams = std::min(profile.slots, limit.maxStreamsPerEndpoint(model));
            result.gapMs = profile.stepsPerPass * (profile.stepMs * slowest + profile.perStreamMs * unevenness * result.streams);
            now += Millis(static_cast<Millis::rep>(result.gapMs));
            limit.onEventGap(result.gapMs, result.streams, model, now);
        }
        const double answerMs = events * result.gapMs;
        const double answerValue = answerMs > 8000 ? 0 : result.gapMs <= profile.gapObjectiveMs ? 1
                                                                                                : 0.5;
        result.value = answerValue * 1000 * result.streams / answerMs;
        return result;
    };
    const Result four = simulate(4, 4);
    CHECK(four.gapMs < profile.gapObjectiveMs);
    CHECK(four.streams > 5);
    const Result six = simulate(6, 6);
    CHECK(six.streams == profile.slots);
    CHECK(six.value > 2 * simulate(6, 1).value);
    const Result twelve = simulate(12, 12);
    CHECK(twelve.gapMs <= profile.maxUsefulGapMs + 1);
    CHECK(twelve.value > simulate(12, 1).value);
}

TEST_CASE("a stall does not change the estimate, and a service without gap objective has no limit")
{
    PaceLimit limit;
    const double before = limit.unevenness();
    limit.onEventGap(1500, 8, profile, TimePoint(std::chrono::hours(1)));
    CHECK(limit.unevenness() == before);
    CHECK(limit.maxStreamsPerEndpoint(PaceProfile {}) > 1e6);
}
