#include "cost/request-cost.h"

#include "cost/output-estimates.h"
#include "cost/work-table.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

EngineProfile engineProfile()
{
    EngineProfile engine;
    engine.stepsPerPass = 4;
    engine.stepMs = 4.5;
    engine.perSequenceMs = 0.9;
    engine.contextMsPerThousand = 0.2;
    engine.promptTokensPerMs = 50;
    engine.promptChunk = 512;
    engine.pairsMsPerMillion = 2;
    engine.memoryTokens = 20'000;
    engine.usualPromptTokens = 1000;
    engine.usualOutputTokens = 100;
    engine.expertShare = 0.8;
    return engine;
}

} // namespace

TEST_CASE("the cost of a request follows from its tokens and the engine's figures")
{
    const EngineProfile engine = engineProfile();
    // 1,000 tokens at 50 per millisecond and 499,500 pairs.
    CHECK(readingMs(engine, 1000) == doctest::Approx(20 + 0.999));
    // The second half of the tokens has three quarters of the pairs.
    CHECK(readingMs(engine, 1000, 500) == doctest::Approx(10 + 2 * (499.5 - 124.75) / 1000));
    CHECK(readingMs(engine, 1000, 2000) == 0);
    const RequestCost cost = costOf(engine, 1000, 100);
    CHECK(cost.steps == 100);
    CHECK(cost.writeMs == doctest::Approx(100 * (0.9 + 0.2 * 1.05)));
    CHECK(cost.workMs() == doctest::Approx(20.999 + 111));
    CHECK(cost.memoryTokens == 1100);
    CHECK(cost.memoryTokenSteps == doctest::Approx(105'000));
    CHECK(relativeWork(engine, { 1000, 0, 100 }, 100) == doctest::Approx(1));
    CHECK(relativeWork(engine, { 1000, 0, 0 }, 200) == doctest::Approx((20.999 + 200 * 1.12) / 131.999));
    CHECK(relativeWork(engine, { 100'000'000, 0, 0 }, 1e8) == 10);
    CHECK(relativeWork(engine, { 1, 0, 1 }, 1) == doctest::Approx(0.1));
    // Without sizes a request counts as one.
    CHECK(relativeWork(engine, {}, 0) == 1);
    CHECK(relativeWork(EngineProfile {}, { 500, 0, 50 }, 50) == 1);
    CHECK(readingMs(EngineProfile {}, 500) == 0);
}

TEST_CASE("only a prompt that fills the memory makes a request too large, whatever length of answer it allows")
{
    const EngineProfile engine = engineProfile();
    CHECK_FALSE(exceedsMemory(engine, { 19'999, 1'000'000, 1'000'000 }));
    CHECK(exceedsMemory(engine, { 20'000, 1, 1 }));
    CHECK_FALSE(exceedsMemory(EngineProfile {}, { 100'000'000, 0, 0 }));
    CHECK_FALSE(exceedsMemory(engine, {}));
}

TEST_CASE("a pass takes its steps, the most loaded rank's own work and the experts' work of all")
{
    const EngineProfile engine = engineProfile();
    CHECK(passMs(engine, {}) == doctest::Approx(18));
    RankForecast rank;
    rank.streams = 6;
    rank.meanStreams = 5;
    rank.mapUnevenness = 1.5;
    rank.slowestFactor = 2;
    CHECK(passMs(engine, rank) == doctest::Approx(36 + 0.2 * 3.6 * 6 + 0.8 * 1.5 * 3.6 * 5));
    rank.readPerPass = 500;
    CHECK(passMs(engine, rank) == doctest::Approx(36 + 0.2 * (21.6 + 10) + 0.8 * 1.5 * (18 + 10)));
    // 2,048 tokens fit into one pass.
    CHECK(firstEventMs(engine, {}, 2048) == doctest::Approx(1.5 * 18));
    CHECK(firstEventMs(engine, {}, 2049) == doctest::Approx(2.5 * 18));
    RankForecast queued;
    queued.promptTokensAhead = 2048;
    CHECK(firstEventMs(engine, queued, 2048) == doctest::Approx(2.5 * 18));
    CHECK(firstEventMs(EngineProfile {}, {}, 1000) == 0);
}

TEST_CASE("the error of the callers' estimates is learnt for each route")
{
    OutputEstimates estimates;
    RequestSize size { 500, 0, 100 };
    constexpr double assumedMean = 1.278; // exp(0.7 * 0.7 / 2)
    CHECK(estimates.expected("a", size) == doctest::Approx(100 * assumedMean).epsilon(0.001));
    std::mt19937_64 random(3);
    // Route a: right in the median, far off. Route b: always three times too low.
    std::lognormal_distribution<double> farOff(std::log(100), 0.9);
    std::lognormal_distribution<double> tooLow(std::log(300), 0.1);
    for (int answer = 0; answer < 5000; ++answer) {
        estimates.onAnswered("a", size, farOff(random));
        estimates.onAnswered("b", size, tooLow(random));
    }
    CHECK(estimates.medianRatio("a") == doctest::Approx(1).epsilon(0.25));
    CHECK(estimates.spread("a") == doctest::Approx(0.9).epsilon(0.25));
    CHECK(estimates.medianRatio("b") == doctest::Approx(3).epsilon(0.05));
    CHECK(estimates.expected("b", size) == doctest::Approx(300).epsilon(0.05));
    CHECK(estimates.expected("b", { 500, 200, 100 }) == 200);
    // Without an estimate, the route's mean counts, and the maximum of a new route.
    CHECK(estimates.expected("b", { 500, 0, 0 }) == doctest::Approx(300).epsilon(0.05));
    CHECK(estimates.expected("new", { 500, 64, 0 }) == 64);
    CHECK(estimates.expected("new", { 500, 0, 0 }) == 0);
    // Answers that end at the caller's maximum show nothing of its estimate.
    for (int answer = 0; answer < 1000; ++answer)
        estimates.onAnswered("b", { 500, 50, 100 }, 50);
    CHECK(estimates.medianRatio("b") == doctest::Approx(3).epsilon(0.05));
}

TEST_CASE("a running stream that exceeds its estimate is estimated anew")
{
    OutputEstimates estimates;
    const RequestSize size { 500, 5000, 100 };
    double before = 0;
    for (const double written : { 0.0, 50.0, 100.0, 300.0, 1000.0, 4000.0, 4999.0 }) {
        const double expected = estimates.expected("a", size, written);
        CHECK(expected > written);
        CHECK(expected >= before);
        CHECK(expected <= 5000);
        before = expected;
    }
    CHECK(estimates.expected("a", size, 6000) == 5000);
    // The mean of draws above 200 tokens.
    std::mt19937_64 random(5);
    std::lognormal_distribution<double> draw(std::log(100), 0.7);
    double sum = 0;
    double count = 0;
    for (int i = 0; i < 200'000; ++i)
        if (const double tokens = draw(random); tokens > 200) {
            sum += tokens;
            ++count;
        }
    CHECK(estimates.expected("a", { 500, 0, 100 }, 200) == doctest::Approx(sum / count).epsilon(0.01));
}

TEST_CASE("the work of requests in flight is their number while all are of the usual size")
{
    WorkTable work;
    const TimePoint now { std::chrono::hours(1) };
    work.onSent("e1", 1, Millis(1000), now);
    CHECK(work.beyondCount("e1") == 0);
    work.onSent("e1", 5, Millis(5000), now);
    work.onSent("e1", 0.5, Millis(500), now);
    CHECK(work.beyondCount("e1") == doctest::Approx(3.5));
    // The small one ends first.
    work.onEnded("e1");
    CHECK(work.beyondCount("e1") == doctest::Approx(4));
    work.onEnded("e1");
    work.onEnded("e1");
    work.onEnded("e1");
    CHECK(work.beyondCount("e1") == 0);
    work.onSent("e2", 5, Millis(5000), now);
    work.removeEndpoint("e2");
    CHECK(work.beyondCount("e2") == 0);
}
