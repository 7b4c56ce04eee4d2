#include "admission/wait-queue.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

WaitRequest makeRequest()
{
    WaitRequest request;
    request.timeToObjective = Millis(500);
    request.expectedFirstByte = Millis(150);
    return request;
}

} // namespace

TEST_CASE("a request waits if it can be served in time, and is otherwise refused with a retry delay")
{
    WaitQueue queue;
    TimePoint now = start;
    for (int i = 0; i < 40; ++i) {
        now += Millis(50);
        queue.onCompletion(now);
    }
    // The moving average after two time constants.
    CHECK(queue.completionRate(now) == doctest::Approx(20 * (1 - std::exp(-2))).epsilon(0.05));
    int waiting = 0;
    while (queue.decide(makeRequest(), now).mayWait) {
        queue.push(makeRequest(), [] {});
        ++waiting;
        REQUIRE(waiting < 100);
    }
    // About 100 ms of the 350 ms that are left may be spent waiting, at 20 completions per second.
    CHECK(waiting >= 1);
    CHECK(waiting <= 3);
    const WaitDecision refused = queue.decide(makeRequest(), now);
    CHECK(refused.retryAfter >= Millis(100));
    CHECK(refused.retryAfter <= Millis(300));
    WaitRequest late = makeRequest();
    late.timeToObjective = Millis(100);
    late.isRetry = true;
    CHECK_FALSE(WaitQueue().decide(late, now).mayWait);
}

TEST_CASE("retries go first, then requests of higher priority, then earlier ones")
{
    WaitQueue queue;
    std::string order;
    const auto push = [&](bool isRetry, int priority, char name) {
        WaitRequest request = makeRequest();
        request.isRetry = isRetry;
        request.priority = priority;
        return queue.push(request, [&order, name] { order += name; });
    };
    push(false, 2, 'a');
    push(false, 1, 'b');
    push(true, 2, 'c');
    const WaitQueue::Ticket removed = push(false, 1, 'd');
    push(false, 1, 'e');
    queue.remove(removed);
    while (queue.wakeFirst()) { }
    CHECK(order == "cbea");
}

// Outcome of a simulated load.
struct LoadResult {
    // Requests answered in time, as a share of the service's capacity.
    double inTime = 0;
    // Late answers, as a share of all answers.
    double late = 0;
};

// Simulates `offered` requests per second at a service with a capacity of 50 per second and varying
// time to first byte.
static LoadResult simulateLoad(double offered, uint64_t seed)
{
    constexpr double capacity = 50;
    constexpr Millis objective { 500 };
    constexpr double firstByteMs = 150;
    constexpr double firstByteSpread = 0.5;
    constexpr int seconds = 20;
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> between(offered);
    std::lognormal_distribution<double> firstByte(std::log(firstByteMs) - firstByteSpread * firstByteSpread / 2, firstByteSpread);
    WaitQueue queue;
    TimePoint now = start;
    TimePoint nextArrival = start;
    TimePoint nextFree = start;
    int inTimeCount = 0;
    int served = 0;
    while (now < start + std::chrono::seconds(seconds)) {
        if (nextArrival <= nextFree) {
            now = nextArrival;
            nextArrival += std::chrono::microseconds(static_cast<int64_t>(between(random) * 1e6));
            WaitRequest request;
            request.timeToObjective = objective;
            request.expectedFirstByte = Millis(static_cast<Millis::rep>(firstByteMs));
            request.estimatedCompletionRate = capacity;
            const TimePoint arrived = now;
            if (queue.decide(request, now).mayWait)
                queue.push(request, [&, arrived] {
                    ++served;
                    inTimeCount += now - arrived + std::chrono::microseconds(static_cast<int64_t>(firstByte(random) * 1000)) <= objective;
                });
        } else {
            now = nextFree;
            nextFree += std::chrono::microseconds(static_cast<int64_t>(1e6 / capacity));
            if (queue.wakeFirst())
                queue.onCompletion(now);
        }
    }
    return { inTimeCount / (capacity * seconds), 1 - static_cast<double>(inTimeCount) / served };
}

TEST_CASE("under twice the load that a service can handle, its whole capacity serves requests in time")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const LoadResult twice = simulateLoad(100, seed);
        CHECK(twice.inTime > 0.9);
        CHECK(twice.late < 0.05);
        CHECK(simulateLoad(45, seed).inTime > 0.8);
    }
}

TEST_CASE("an instance that has completed no request yet queues up to its expected completion rate")
{
    WaitQueue queue;
    WaitRequest request = makeRequest();
    CHECK_FALSE(queue.decide(request, start).mayWait);
    request.estimatedCompletionRate = 12;
    CHECK(queue.decide(request, start).mayWait);
}
