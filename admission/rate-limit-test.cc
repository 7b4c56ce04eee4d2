#include "admission/endpoint-limits.h"
#include "admission/rate-limit.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

// Most requests in any span of the window.
size_t maxInWindow(const std::vector<TimePoint>& sent, Millis window)
{
    size_t most = 0;
    for (const TimePoint from : sent)
        most = std::max(most, static_cast<size_t>(std::count_if(sent.begin(), sent.end(), [&](TimePoint at) { return at >= from && at < from + window; })));
    return most;
}

} // namespace

TEST_CASE("all instances together keep to a cold endpoint's rate in every second")
{
    constexpr size_t instances = 4;
    constexpr double perSecond = 28;
    std::vector<RateLimiter> limiters(instances);
    std::vector<TimePoint> sent;
    TimePoint now = start;
    // Each instance tries to send 100 requests per second.
    for (int i = 0; i < 300; ++i) {
        now += Millis(10);
        for (RateLimiter& limiter : limiters) {
            if (!limiter.allows("e", { perSecond }, instances, now))
                continue;
            limiter.onSent("e", now);
            sent.push_back(now);
        }
    }
    CHECK(static_cast<double>(maxInWindow(sent, Millis(1000))) <= perSecond);
    CHECK(sent.size() >= 2 * static_cast<size_t>(perSecond));
}

TEST_CASE("an instance may always send one request, and removing an endpoint drops its count")
{
    RateLimiter limiter(7);
    CHECK(limiter.allows("e", { 2 }, 10, start));
    limiter.onSent("e", start);
    CHECK_FALSE(limiter.allows("e", { 2 }, 10, start + Millis(999)));
    CHECK(limiter.allows("e", { 2 }, 2, start + Millis(1000)));
    // With a share of less than one request it waits for up to twice as long.
    CHECK(limiter.allows("e", { 2 }, 10, start + Millis(2000)));
    limiter.removeEndpoint("e");
    CHECK(limiter.allows("e", { 2 }, 10, start));
    limiter.onSent("e", start);
    limiter.onCancelled("e");
    CHECK(limiter.allows("e", { 2 }, 10, start));
}

TEST_CASE("instances beyond the rate keep it while they hear each other, restart and burst")
{
    // The users allow half as much again, and five more, in any four seconds.
    constexpr Millis window { 4000 };
    constexpr int seeds = 50;
    for (const double perSecond : { 0.4, 1.0, 2.2, 9.0 }) {
        for (int seed = 0; seed < seeds; ++seed) {
            std::mt19937_64 random(static_cast<uint64_t>(seed));
            constexpr size_t instances = 13;
            std::vector<RateLimiter> limiters;
            for (size_t instance = 0; instance < instances; ++instance)
                limiters.emplace_back(random());
            std::vector<TimePoint> sent;
            TimePoint now = start;
            for (int step = 0; step < 3000; ++step) {
                now += Millis(10);
                // Three times as many requests from 10 s to 15 s.
                const unsigned perMille = step >= 1000 && step < 1500 ? 60 : 20;
                for (size_t instance = 0; instance < instances; ++instance) {
                    RateLimiter& limiter = limiters[instance];
                    if (random() % 1000 >= perMille || !limiter.allows("e", { perSecond, window }, instances, now))
                        continue;
                    limiter.onSent("e", now);
                    sent.push_back(now);
                }
                if (step % 10 == 0) {
                    for (size_t from = 0; from < instances; ++from)
                        for (size_t to = 0; to < instances; ++to)
                            if (from != to)
                                limiters[to].onPeerSent(std::to_string(from), limiters[from].sentAges(now), now);
                }
                if (step % 700 == 699)
                    limiters[random() % instances] = RateLimiter(random());
            }
            CHECK(static_cast<double>(maxInWindow(sent, window)) <= 1.5 * perSecond * 4 + 5);
            // Not starved either: half of the rate is used.
            CHECK(static_cast<double>(sent.size()) >= 0.5 * perSecond * 30);
        }
    }
}

TEST_CASE("the latest answer of an endpoint's process says what its limit is, at all instances")
{
    EndpointLimits first;
    EndpointLimits second;
    CHECK_FALSE(first.onAnswer("e", 1, 0, start));
    CHECK(first.onAnswer("e", 1, 2.5, start));
    CHECK_FALSE(first.onAnswer("e", 1, 2.5, start + Millis(10)));
    CHECK(first.limitOf("e", 1) == 2.5);
    CHECK(first.limitOf("e", 2) == 0);
    CHECK(second.merge(first.report(start + Millis(100)), start + Millis(102)));
    CHECK(second.limitOf("e", 1) == 2.5);
    CHECK_FALSE(second.merge(first.report(start + Millis(200)), start + Millis(202)));
    // An answer without a limit lifts it, and what was said before does not bring it back.
    const NamedLimits old = first.report(start + Millis(300));
    CHECK(second.onAnswer("e", 1, 0, start + Millis(300)));
    CHECK_FALSE(second.merge(old, start + Millis(310)));
    CHECK(second.limitOf("e", 1) == 0);
    CHECK(first.merge(second.report(start + Millis(400)), start + Millis(401)));
    CHECK(first.limitOf("e", 1) == 0);
    CHECK(first.report(start + Millis(4000)).empty());
    // A new process has no limit until it names one.
    CHECK(first.onAnswer("e", 2, 7, start + Millis(5000)));
    CHECK(first.limitOf("e", 2) == 7);
    first.removeEndpoint("e");
    CHECK(first.limitOf("e", 2) == 0);
}
