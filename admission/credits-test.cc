#include "admission/credits.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace orioletrail;

TEST_CASE("credits are shared equally among idle connections")
{
    CreditPool pool;
    pool.setLimit(9);
    for (uint64_t connection = 1; connection <= 3; ++connection)
        pool.connect(connection);
    const std::vector<CreditChange> changes = pool.rebalance();
    REQUIRE(changes.size() == 3);
    for (const CreditChange& change : changes)
        CHECK(change.credits == 3);
    CHECK(pool.held() == 9);
}

TEST_CASE("an attempt without a credit is refused")
{
    CreditPool pool;
    pool.setLimit(1);
    pool.connect(1);
    CHECK(pool.tryOpen(1) == Reason::NoCredit);
    pool.rebalance();
    CHECK(pool.tryOpen(1) == Reason::None);
    CHECK(pool.tryOpen(1) == Reason::NoCredit);
    CHECK(pool.tryOpen(2) == Reason::NoCredit);
}

TEST_CASE("a credit granted before the limit fell does not exceed it")
{
    CreditPool pool;
    pool.setLimit(4);
    pool.connect(1);
    pool.rebalance();
    CHECK(pool.tryOpen(1) == Reason::None);
    pool.setLimit(1);
    CHECK(pool.tryOpen(1) == Reason::OverLimit);
    CHECK(pool.inFlight() == 1);
}

TEST_CASE("idle credits are recalled for a connection that wants some")
{
    CreditPool pool;
    pool.setLimit(2);
    pool.connect(1);
    pool.rebalance();
    CHECK(pool.held() == 2);
    pool.connect(2);
    pool.setDemand(2, 1);
    const std::vector<CreditChange> recalls = pool.rebalance();
    REQUIRE(recalls.size() == 1);
    CHECK(recalls[0].connection == 1);
    CHECK(recalls[0].credits == -1);
    pool.returnCredits(1, 1);
    const std::vector<CreditChange> grants = pool.rebalance();
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].connection == 2);
}

TEST_CASE("a lost connection frees its credits, not its attempts")
{
    CreditPool pool;
    pool.setLimit(4);
    pool.connect(1);
    pool.rebalance();
    REQUIRE(pool.tryOpen(1) == Reason::None);
    pool.disconnect(1);
    CHECK(pool.held() == 0);
    CHECK(pool.inFlight() == 1);
    pool.connect(2);
    pool.rebalance();
    CHECK(pool.held() == 3);
}

TEST_CASE("held and running attempts never exceed the limit while it does not fall")
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        auto draw = [&](uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(random); };
        CreditPool pool;
        uint32_t limit = 1;
        pool.setLimit(limit);
        for (int i = 0; i < 400; ++i) {
            const uint64_t connection = 1 + draw(5);
            switch (draw(7)) {
            case 0:
                pool.connect(connection);
                break;
            case 1:
                pool.disconnect(connection);
                break;
            case 2:
                pool.setDemand(connection, static_cast<uint32_t>(draw(4)));
                break;
            case 3:
                pool.returnCredits(connection, static_cast<uint32_t>(draw(3)));
                break;
            case 4:
                pool.tryOpen(connection);
                break;
            case 5:
                if (pool.inFlight())
                    pool.finish();
                break;
            default:
                limit += static_cast<uint32_t>(draw(2));
                pool.setLimit(limit);
            }
            pool.rebalance();
            REQUIRE(pool.inFlight() + pool.held() <= limit);
        }
    }
}

TEST_CASE("no credit is lost between a pool and entries that open, finish and return at random, and none lies idle for ever")
{
    // What an entry knows: its credits, and the messages on their way to it.
    struct EntryModel {
        uint32_t credits = 0;
        uint32_t waiting = 0;
        uint32_t running = 0;
        std::deque<int32_t> messages;
    };
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        CreditPool pool;
        std::map<uint64_t, EntryModel> entries;
        for (uint64_t connection = 1; connection <= 3; ++connection) {
            pool.connect(connection);
            entries[connection];
        }
        const auto rebalance = [&] {
            for (const CreditChange& change : pool.rebalance())
                entries[change.connection].messages.push_back(change.credits);
        };
        const auto setDemand = [&](uint64_t connection) { pool.setDemand(connection, entries[connection].waiting + entries[connection].running); };
        const auto receive = [&](uint64_t connection) {
            EntryModel& entry = entries[connection];
            if (entry.messages.empty())
                return;
            const int32_t change = entry.messages.front();
            entry.messages.pop_front();
            if (change > 0) {
                entry.credits += static_cast<uint32_t>(change);
                return;
            }
            const uint32_t returned = std::min(entry.credits, static_cast<uint32_t>(-change));
            entry.credits -= returned;
            pool.returnCredits(connection, returned);
            rebalance();
        };
        const auto open = [&](uint64_t connection) {
            EntryModel& entry = entries[connection];
            if (!entry.credits || !entry.waiting)
                return;
            --entry.credits;
            --entry.waiting;
            if (pool.tryOpen(connection) == Reason::None)
                ++entry.running;
            setDemand(connection);
            rebalance();
        };
        const auto finish = [&](uint64_t connection) {
            EntryModel& entry = entries[connection];
            if (!entry.running)
                return;
            --entry.running;
            pool.finish();
            setDemand(connection);
            rebalance();
        };
        pool.setLimit(16);
        rebalance();
        for (int step = 0; step < 300; ++step) {
            const uint64_t connection = 1 + random() % 3;
            switch (random() % 6) {
            case 0:
                entries[connection].waiting += random() % 8;
                setDemand(connection);
                rebalance();
                break;
            case 1:
                pool.setLimit(random() % 2 ? 1 : 16);
                rebalance();
                break;
            case 2:
            case 3:
                receive(connection);
                break;
            case 4:
                open(connection);
                break;
            default:
                finish(connection);
            }
        }
        // All settles: every waiting attempt runs in the end.
        pool.setLimit(16);
        for (int round = 0; round < 300; ++round)
            for (const uint64_t connection : { 1, 2, 3 }) {
                rebalance();
                receive(connection);
                open(connection);
                finish(connection);
            }
        uint32_t known = 0;
        for (const auto& [connection, entry] : entries) {
            CHECK(entry.waiting == 0);
            known += entry.credits;
            for (const int32_t change : entry.messages)
                known += static_cast<uint32_t>(std::max(0, change));
        }
        CHECK(pool.held() == known);
    }
}
