#include "expertmap/lease.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace orioletrail;

TEST_CASE("a lease is restored from its JSON, and other texts are refused")
{
    std::string reason;
    const LeaseRecord record { 3, 0xffffffffffffffff };
    CHECK(parseLeaseRecord(toJson(record), reason) == record);
    CHECK_FALSE(parseLeaseRecord("{}", reason));
    CHECK_FALSE(parseLeaseRecord("", reason));
}

TEST_CASE("a candidate makes no calls while it hears the leader, and replaces a silent one")
{
    LeaseCandidate candidate(7);
    TimePoint now(std::chrono::hours(1));
    REQUIRE(candidate.tick(now).read);
    CHECK_FALSE(candidate.onRead({ 1, 5 }, 19, now).write);
    for (int i = 0; i < 50; ++i) {
        now += Millis(500);
        candidate.onLeaderHeard(now);
        CHECK_FALSE(candidate.tick(now).read);
    }
    std::optional<LeaseWrite> write;
    for (int i = 0; i < 5 && !write; ++i) {
        now += Millis(500);
        if (candidate.tick(now).read)
            write = candidate.onRead({ 1, 5 }, 19, now).write;
    }
    REQUIRE(write);
    CHECK(write->record.token == 2);
    CHECK(write->expectedRevision == 19);
    candidate.onWritten(20, now);
    CHECK(candidate.token() == 2);
    now += std::chrono::hours(1);
    CHECK_FALSE(candidate.tick(now).read);
}

TEST_CASE("a holder that was superseded reads the lease again and gives it up")
{
    LeaseCandidate candidate(7);
    const TimePoint now(std::chrono::hours(1));
    candidate.tick(now);
    REQUIRE(candidate.onRead({}, 0, now).write);
    candidate.onWritten(1, now);
    CHECK(candidate.token() == 1);
    candidate.onUnresolved(now);
    const TimePoint later = now + Millis(600);
    REQUIRE(candidate.tick(later).read);
    CHECK_FALSE(candidate.onRead({ 2, 8 }, 2, later).write);
    CHECK_FALSE(candidate.token());
}

TEST_CASE("no token is held by two processes, whatever is lost and whoever is frozen")
{
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto randomBelow = [&](uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(random); };
        LeaseRecord stored;
        uint64_t revision = 0;
        auto put = [&](const LeaseWrite& write) {
            if (write.expectedRevision != revision)
                return false;
            stored = write.record;
            ++revision;
            return true;
        };
        std::vector<LeaseCandidate> candidates { { 1 }, { 2 }, { 3 } };
        std::vector<LeaseWrite> delayedWrites;
        std::map<uint64_t, size_t> holders;
        TimePoint now(std::chrono::hours(1));
        for (int i = 0; i < 400; ++i) {
            const size_t index = randomBelow(candidates.size());
            LeaseCandidate& candidate = candidates[index];
            now += Millis(randomBelow(900));
            if (!randomBelow(6))
                candidate.onLeaderHeard(now);
            if (!randomBelow(20))
                candidate.onUnresolved(now);
            LeaseActions actions = candidate.tick(now);
            if (actions.read) {
                if (randomBelow(8))
                    actions = candidate.onRead(stored, revision, now);
                else
                    candidate.onUnresolved(now);
            }
            if (actions.write) {
                const uint64_t outcome = randomBelow(6);
                if (!outcome)
                    delayedWrites.push_back(*actions.write);
                const bool won = outcome && put(*actions.write);
                if (won && outcome > 1)
                    candidate.onWritten(revision, now);
                else
                    candidate.onUnresolved(now);
            }
            if (!delayedWrites.empty() && !randomBelow(5)) {
                put(delayedWrites.back());
                delayedWrites.pop_back();
            }
            if (const auto token = candidate.token()) {
                const auto [holder, added] = holders.emplace(*token, index);
                REQUIRE(holder->second == index);
            }
        }
        CHECK_FALSE(holders.empty());
    }
}
