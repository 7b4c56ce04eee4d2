#include "telemetry/line-writer.h"

#include <algorithm>
#include <array>
#include <climits>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace orioletrail;

TEST_CASE("the line rate is limited in the long run, and a burst is allowed at first")
{
    LineRateLimiter limiter({ 100, 500 });
    TimePoint now { std::chrono::hours(1) };
    int allowed = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += Millis(1);
        allowed += limiter.tryAcquire(now) ? 1 : 0;
    }
    // 1000 lines/s over 10 s: the burst of 500, and 100 lines/s after it.
    CHECK(allowed >= 1400);
    CHECK(allowed <= 1510);
    CHECK(limiter.dropped() == 10'000 - static_cast<uint64_t>(allowed));
    limiter.resetDropped();
    CHECK(limiter.dropped() == 0);
}

TEST_CASE("writing to a full pipe drops the line instead of blocking")
{
    std::array<int, 2> pipeEnds {};
    REQUIRE(pipe(pipeEnds.data()) == 0);
    const std::string line = std::string(999, 'x') + '\n';
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += tryWriteLine(pipeEnds[1], line) ? 1 : 0;
    CHECK(written > 10);
    CHECK(written < 100);
    std::string read(1000 * static_cast<size_t>(written), ' ');
    size_t got = 0;
    while (got < read.size())
        got += static_cast<size_t>(::read(pipeEnds[0], read.data() + got, read.size() - got));
    CHECK(std::count(read.begin(), read.end(), '\n') == written);
    CHECK(tryWriteLine(pipeEnds[1], line));
    CHECK_FALSE(tryWriteLine(pipeEnds[1], std::string(PIPE_BUF + 1, 'x')));
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}
