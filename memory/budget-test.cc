#include "memory/budget.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace orioletrail;

namespace {

using Kind = MemoryDecision::Kind;

constexpr MemorySettings smallSettings { 64'000, 20, Millis(1500), 2048, Millis(500) };

TimePoint at(int millis)
{
    return TimePoint() + Millis(millis);
}

// Opens a connection that receives a request and holds a body.
MemoryBudget::Holder receive(MemoryBudget& budget, size_t bytes, TimePoint now)
{
    const MemoryBudget::Holder holder = budget.open("10.0.0.1", now);
    budget.setPhase(holder, ConnectionPhase::Receiving, now);
    CHECK(budget.reserve(holder, MemoryKind::Body, bytes, now).kind == Kind::Granted);
    return holder;
}

} // namespace

TEST_CASE("memory in any order of events is never exceeded, leaks nothing and spares connections that keep their pace")
{
    constexpr int seeds = 200;
    constexpr int steps = 500;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto pick = [&](size_t bound) { return static_cast<size_t>(random() % bound); };
        MemoryBudget budget(smallSettings);
        std::vector<MemoryBudget::Holder> holders;
        std::set<MemoryBudget::Holder> cut;
        const auto remove = [&](size_t index) {
            budget.close(holders[index]);
            cut.erase(holders[index]);
            holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(index));
        };
        TimePoint now = at(0);
        for (int step = 0; step < steps; ++step) {
            now += Millis(pick(200));
            MemoryDecision decision;
            if (holders.empty() || pick(8) == 0) {
                decision = budget.mayOpen(now);
                if (decision.kind == Kind::Granted)
                    holders.push_back(budget.open("10.0.0." + std::to_string(pick(3)), now));
            } else {
                const size_t index = pick(holders.size());
                const MemoryBudget::Holder holder = holders[index];
                const auto kind = static_cast<MemoryKind>(pick(static_cast<size_t>(MemoryKind::Count)));
                switch (pick(7)) {
                case 0:
                    budget.setPhase(holder, static_cast<ConnectionPhase>(pick(4)), now);
                    break;
                case 1:
                    budget.onProgress(holder, pick(10'000), now);
                    break;
                case 2:
                    budget.release(holder, kind, pick(20'000));
                    break;
                case 3:
                    remove(index);
                    break;
                case 4:
                    budget.setAccount(holder, "account-" + std::to_string(pick(3)));
                    break;
                default:
                    decision = budget.reserve(holder, kind, pick(20'000), now);
                    CHECK(std::ranges::find(decision.cutOff, holder) == decision.cutOff.end());
                }
            }
            for (const MemoryBudget::Holder holder : decision.cutOff) {
                const bool isIdle = budget.phase(holder) == ConnectionPhase::Idle;
                CHECK((isIdle || !budget.keepsPace(holder, now)));
                CHECK(budget.phase(holder) != ConnectionPhase::Running);
                CHECK(budget.isCutOff(holder));
            }
            size_t held = 0;
            for (const MemoryBudget::Holder holder : holders)
                held += budget.heldBy(holder);
            CHECK(budget.used() == held);
            CHECK(budget.used() <= smallSettings.bytes);
            CHECK(budget.connections() <= smallSettings.connections);
            CHECK(budget.heldByClient("10.0.0.0") + budget.heldByClient("10.0.0.1") + budget.heldByClient("10.0.0.2") == held);
        }
        while (!holders.empty())
            remove(0);
        CHECK(budget.used() == 0);
        CHECK(budget.heldByClient("10.0.0.1") == 0);
        for (const char* account : { "account-0", "account-1", "account-2" })
            CHECK(budget.heldByAccount(account) == 0);
        for (size_t kind = 0; kind < static_cast<size_t>(MemoryKind::Count); ++kind)
            CHECK(budget.usedBy(static_cast<MemoryKind>(kind)) == 0);
    }
}

TEST_CASE("a body is refused while all others keep their pace, and the largest that stalls is cut off for it")
{
    MemoryBudget budget(smallSettings);
    const auto small = receive(budget, 20'000, at(0));
    const auto large = receive(budget, 30'000, at(0));
    const auto asking = budget.open("10.0.0.2", at(0));
    CHECK(budget.reserve(asking, MemoryKind::Body, 20'000, at(1000)).kind == Kind::Refused);
    const MemoryDecision decision = budget.reserve(asking, MemoryKind::Body, 20'000, at(1500));
    CHECK(decision.kind == Kind::Wait);
    CHECK(decision.cutOff == std::vector { large });
    CHECK_FALSE(budget.isCutOff(small));
    CHECK(budget.reserve(asking, MemoryKind::Body, 20'000, at(1500)).cutOff.empty());
    budget.close(large);
    CHECK(budget.reserve(asking, MemoryKind::Body, 20'000, at(1500)).kind == Kind::Granted);
}

TEST_CASE("a connection that trickles bytes is cut off, one that resumes or runs is not")
{
    MemoryBudget budget(smallSettings);
    const auto trickling = receive(budget, 30'000, at(0));
    for (int second = 1; second <= 3; ++second)
        budget.onProgress(trickling, 1, at(1000 * second));
    CHECK_FALSE(budget.keepsPace(trickling, at(3000)));
    const auto asking = budget.open("10.0.0.2", at(3000));
    CHECK(budget.reserve(asking, MemoryKind::Body, 30'000, at(3000)).cutOff == std::vector { trickling });
    budget.setPhase(trickling, ConnectionPhase::Running, at(3000));
    CHECK_FALSE(budget.isCutOff(trickling));
    CHECK(budget.reserve(asking, MemoryKind::Body, 30'000, at(9000)).kind == Kind::Refused);
}

TEST_CASE("requests without a body get memory while bodies fill their share")
{
    MemoryBudget budget(smallSettings);
    receive(budget, 56'000, at(0));
    const auto asking = budget.open("10.0.0.2", at(0));
    CHECK(budget.reserve(asking, MemoryKind::Body, 1000, at(0)).kind == Kind::Refused);
    CHECK(budget.reserve(asking, MemoryKind::Head, 1000, at(0)).kind == Kind::Granted);
    CHECK(budget.reserve(asking, MemoryKind::Body, 60'000, at(0)).kind == Kind::TooLarge);
}

TEST_CASE("idle connections are closed first when there are too many, the longest idle first")
{
    MemorySettings settings = smallSettings;
    settings.connections = 3;
    MemoryBudget budget(settings);
    const auto stalled = receive(budget, 1000, at(0));
    const auto older = budget.open("10.0.0.1", at(100));
    budget.open("10.0.0.1", at(200));
    CHECK(budget.mayOpen(at(550)).kind == Kind::Refused);
    CHECK(budget.mayOpen(at(2000)).cutOff == std::vector { older });
    CHECK(budget.mayOpen(at(2000)).kind == Kind::Wait);
    budget.close(older);
    CHECK(budget.mayOpen(at(2000)).kind == Kind::Granted);
    CHECK_FALSE(budget.isCutOff(stalled));
}

// Fails if answers without end keep those of all other requests waiting.
TEST_CASE("a short answer gets memory while long ones have taken theirs")
{
    constexpr size_t share = 64'000 / 128;
    MemoryBudget budget(smallSettings);
    const MemoryBudget::Holder longAnswer = budget.open("10.0.0.1", at(0));
    budget.setPhase(longAnswer, ConnectionPhase::Running, at(0));
    CHECK(budget.reserve(longAnswer, MemoryKind::Answer, 56'000, at(0)).kind == Kind::Granted);
    CHECK(budget.reserve(longAnswer, MemoryKind::Answer, 1, at(0)).kind != Kind::Granted);
    const MemoryBudget::Holder shortAnswer = budget.open("10.0.0.2", at(0));
    budget.setPhase(shortAnswer, ConnectionPhase::Running, at(0));
    CHECK(budget.reserve(shortAnswer, MemoryKind::Answer, share, at(0)).kind == Kind::Granted);
    CHECK(budget.reserve(shortAnswer, MemoryKind::Answer, 1, at(0)).kind != Kind::Granted);
}
