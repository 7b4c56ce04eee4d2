#include "telemetry/line-writer.h"

#include <algorithm>
#include <array>
#include <climits>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace orioletrail;

TEST_CASE("lines are bounded in the long run and a quiet time allows for a burst")
{
    LineBudget budget({ 100, 500 });
    TimePoint now { std::chrono::hours(1) };
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += Millis(1);
        taken += budget.take(now) ? 1 : 0;
    }
    // Ten seconds at a thousand lines a second.
    CHECK(taken >= 1400);
    CHECK(taken <= 1510);
    CHECK(budget.dropped() == 10'000 - static_cast<uint64_t>(taken));
    budget.onReported();
    CHECK(budget.dropped() == 0);
}

TEST_CASE("a pipe that nobody reads takes what fits and then nothing, without waiting")
{
    std::array<int, 2> ends {};
    REQUIRE(pipe(ends.data()) == 0);
    const std::string line = std::string(999, 'x') + '\n';
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += writeLineNow(ends[1], line) ? 1 : 0;
    CHECK(written > 10);
    CHECK(written < 100);
    std::string read(1000 * static_cast<size_t>(written), ' ');
    size_t got = 0;
    while (got < read.size())
        got += static_cast<size_t>(::read(ends[0], read.data() + got, read.size() - got));
    CHECK(std::count(read.begin(), read.end(), '\n') == written);
    CHECK(writeLineNow(ends[1], line));
    CHECK_FALSE(writeLineNow(ends[1], std::string(PIPE_BUF + 1, 'x')));
    close(ends[0]);
    close(ends[1]);
}
