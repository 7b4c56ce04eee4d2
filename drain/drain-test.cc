#include "drain/answer-times.h"
#include "drain/plan.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

const TimePoint stopped = TimePoint() + std::chrono::hours(1);

DrainRequest request(Millis deadline, std::optional<Millis> expected, bool isIdempotent)
{
    return { stopped + deadline, expected, isIdempotent };
}

} // namespace

TEST_CASE("a late request is taken only if it has its answer before the process ends")
{
    const DrainPlan plan(stopped, { Millis(8000), Millis(3000) });
    CHECK(plan.answerBy() == stopped + Millis(7500));
    CHECK(plan.closeBy() == stopped + Millis(7750));
    // The deadline bounds the answer, whatever the answer is expected to take.
    for (const bool isIdempotent : { false, true }) {
        CHECK(plan.mayTake(request(Millis(7500), std::nullopt, isIdempotent), stopped + Millis(100)));
        CHECK(plan.mayTake(request(Millis(7500), Millis(60'000), isIdempotent), stopped + Millis(100)));
        CHECK_FALSE(plan.mayTake(request(Millis(7501), std::nullopt, isIdempotent), stopped + Millis(100)));
    }
    // A later deadline needs an expectation, and a request that may be repeated.
    CHECK(plan.mayTake(request(Millis(9000), Millis(4500), true), stopped + Millis(3000)));
    CHECK_FALSE(plan.mayTake(request(Millis(9000), Millis(4501), true), stopped + Millis(3000)));
    CHECK_FALSE(plan.mayTake(request(Millis(9000), Millis(100), false), stopped));
    // None is taken after the load balancer has stopped sending them.
    CHECK_FALSE(plan.mayTake(request(Millis(3100), Millis(10), true), stopped + Millis(3001)));
}

TEST_CASE("a request that has waited is not sent too late")
{
    const DrainPlan plan(stopped, { Millis(8000), Millis(3000) });
    CHECK(plan.maySend(request(Millis(9000), Millis(2000), true), stopped + Millis(5500)));
    CHECK_FALSE(plan.maySend(request(Millis(9000), Millis(2000), true), stopped + Millis(5501)));
    CHECK(plan.maySend(request(Millis(7400), std::nullopt, false), stopped + Millis(7300)));
    CHECK_FALSE(plan.maySend(request(Millis(7400), std::nullopt, false), stopped + Millis(7500)));
}

TEST_CASE("the end of the drain lies within any grace period")
{
    for (const int grace : { 100, 500, 1000, 2000, 2500, 3000, 8000, 30'000 }) {
        CAPTURE(grace);
        const DrainPlan plan(stopped, { Millis(grace), Millis(3000) });
        CHECK(plan.answerBy() > stopped);
        CHECK(plan.answerBy() < plan.closeBy());
        CHECK(plan.closeBy() < stopped + Millis(grace));
        CHECK_FALSE(plan.mayTake(request(Millis(grace), Millis(1), false), stopped));
    }
}

TEST_CASE("few answers of a route take longer than is expected of most")
{
    AnswerTimes times;
    CHECK_FALSE(times.mostTake("r"));
    times.onAnswered("r", Millis(700));
    CHECK(times.mostTake("r") == Millis(1400));
    CHECK_FALSE(times.mostTake("other"));
    std::mt19937 random(49);
    std::lognormal_distribution<double> length(std::log(1500.0), 0.7);
    constexpr int answers = 2000;
    int longer = 0;
    for (int answer = 0; answer < answers; ++answer) {
        const Millis took(static_cast<Millis::rep>(length(random)));
        longer += took > *times.mostTake("r");
        times.onAnswered("r", took);
    }
    CHECK(longer < answers / 8);
}
