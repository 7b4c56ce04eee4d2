#include "expertmap/lease.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace orioletrail;

TEST_CASE("a lease survives its stored form, and other texts are refused")
{
    std::string reason;
    const LeaseRecord record { 3, 0xffffffffffffffff, 9 };
    CHECK(parseLeaseRecord(toJson(record), reason) == record);
    CHECK_FALSE(parseLeaseRecord("{}", reason));
    CHECK_FALSE(parseLeaseRecord("", reason));
}

TEST_CASE("a lease that is renewed is not taken over, and one that is not is")
{
    LeaseCandidate candidate(7);
    TimePoint now(std::chrono::hours(1));
    for (uint64_t beat = 1; beat < 20; ++beat) {
        now += Millis(500);
        REQUIRE(candidate.tick(now).read);
        CHECK_FALSE(candidate.onRead({ 1, 5, beat }, beat, now).write);
    }
    std::optional<LeaseWrite> write;
    for (int i = 0; i < 5 && !write; ++i) {
        now += Millis(500);
        REQUIRE(candidate.tick(now).read);
        write = candidate.onRead({ 1, 5, 19 }, 19, now).write;
    }
    REQUIRE(write);
    CHECK(write->record.token == 2);
    CHECK(write->expected == 19);
    candidate.onWritten(20, now);
    CHECK(candidate.token() == 2);
}

TEST_CASE("no token is held by two processes, whatever is lost and whoever is frozen")
{
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto draw = [&](uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(random); };
        LeaseRecord stored;
        uint64_t revision = 0;
        auto put = [&](const LeaseWrite& write) {
            if (write.expected != revision)
                return false;
            stored = write.record;
            ++revision;
            return true;
        };
        std::vector<LeaseCandidate> candidates { { 1 }, { 2 }, { 3 } };
        std::vector<LeaseWrite> late;
        std::map<uint64_t, size_t> holders;
        TimePoint now(std::chrono::hours(1));
        for (int i = 0; i < 400; ++i) {
            const size_t index = draw(candidates.size());
            LeaseCandidate& candidate = candidates[index];
            now += Millis(draw(600));
            LeaseActions actions = candidate.tick(now);
            if (actions.read) {
                if (draw(8))
                    actions = candidate.onRead(stored, revision, now);
                else
                    candidate.onUnresolved(now);
            }
            if (actions.write) {
                const uint64_t fate = draw(6);
                if (!fate)
                    late.push_back(*actions.write);
                const bool won = fate && put(*actions.write);
                if (won && fate > 1)
                    candidate.onWritten(revision, now);
                else
                    candidate.onUnresolved(now);
            }
            if (!late.empty() && !draw(5)) {
                put(late.back());
                late.pop_back();
            }
            if (const auto token = candidate.token()) {
                const auto [holder, added] = holders.emplace(*token, index);
                REQUIRE(holder->second == index);
            }
        }
        CHECK_FALSE(holders.empty());
    }
}
