#include "priority/grants.h"
#include "priority/service-order.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

TEST_CASE("no place is kept without more urgent requests, and never more than an eighth of a service")
{
    Demand demand;
    TimePoint now = start;
    for (int number = 0; number < 1000; ++number) {
        now += Millis(10);
        demand.onArrival(1, now);
        demand.onCompletion(now);
    }
    CHECK(demand.kept(1, 640, now) == 0);
    CHECK(demand.kept(0, 640, now) == 0);
    CHECK(demand.kept(2, 640, now) > 1);
    CHECK(demand.kept(2, 40, now) <= 5);
    // The demand ends.
    CHECK(demand.kept(2, 640, now + std::chrono::seconds(20)) == 0);
}

TEST_CASE("reports of a peer that stopped do not count for longer than a second")
{
    Demand demand;
    demand.onPeer("a", { { { 0, 50 } }, 100 }, start);
    CHECK(demand.moreUrgentArrivals(1, start) == 50);
    CHECK(demand.moreUrgentArrivals(1, start + Millis(1001)) == 0);
    PeerOrder order;
    order.onPeer("a", { { 1, { 3, Millis(100) } } }, start);
    CHECK(order.ahead(5, start, start) == 3);
    CHECK(order.ahead(5, start, start + Millis(1001)) == 0);
    CHECK_FALSE(order.at(0, start + Millis(1001)));
}

TEST_CASE("a waiting request at another entry gets one grant at a time, although its report is repeated")
{
    PeerOrder order;
    const std::map<Urgency, WaitingRow> rows { { 1, { 1, Millis(50) } }, { 5, { 2, Millis(90) } } };
    order.onPeer("a", rows, start);
    REQUIRE(order.at(0, start));
    CHECK(order.at(0, start)->urgency == 1);
    CHECK(order.at(2, start)->urgency == 5);
    CHECK_FALSE(order.at(3, start));
    order.onGranted("a", 1);
    order.onPeer("a", rows, start + Millis(100));
    CHECK(order.at(0, start + Millis(100))->urgency == 5);
    order.onGrantEnded("a", 1);
    CHECK(order.at(0, start + Millis(100))->urgency == 1);
}

TEST_CASE("an offer that is not answered expires, and an answer after that or of another entry has no effect")
{
    Grants grants;
    const AddressedGrant offer = grants.offer("a", "model", "e1", 1, start);
    Grant answer = offer.grant;
    answer.kind = GrantKind::Used;
    CHECK_FALSE(grants.onAnswer("b", answer));
    CHECK(grants.expire(start + Millis(200)).empty());
    CHECK(grants.expire(start + Millis(250)).size() == 1);
    CHECK_FALSE(grants.onAnswer("a", answer));
    CHECK(grants.size() == 0);
    // A process that starts again takes no answer to its previous one.
    Grants restarted;
    restarted.offer("a", "model", "e1", 1, start + Millis(300));
    CHECK_FALSE(restarted.onAnswer("a", answer));
}

TEST_CASE("offers that piled up during a pause are not used")
{
    PauseDetector pauses;
    for (int number = 0; number < 10; ++number)
        pauses.onActive(start + Millis(50 * number));
    CHECK_FALSE(pauses.hasJustResumed(start + Millis(500)));
    CHECK(pauses.hasJustResumed(start + Millis(2000)));
    pauses.onActive(start + Millis(2000));
    CHECK(pauses.hasJustResumed(start + Millis(2050)));
    CHECK_FALSE(pauses.hasJustResumed(start + Millis(2150)));
}

TEST_CASE("claims are spread over the room that there is, and each is used once by the entry it comes back to")
{
    Claims first;
    Claims second;
    std::map<int64_t, int> perSlot;
    constexpr double perSecond = 40;
    for (int number = 0; number < 20; ++number) {
        bool isMade = false;
        const Millis after = first.name({ 1, Millis(100), perSecond, Millis(2600) }, start, isMade);
        CHECK(isMade);
        ++perSlot[after.count() / 100];
    }
    for (const auto& [slot, count] : perSlot)
        CHECK(count <= 3);
    second.onPeer("first", first.report(start), start);
    const TimePoint later = start + Millis(250);
    CHECK_FALSE(second.redeem(0, later));
    int redeemed = 0;
    while (second.redeem(1, later))
        ++redeemed;
    // Exactly those of the slots around its return.
    CHECK(redeemed == perSlot[1] + perSlot[2] + perSlot[3]);
    CHECK(redeemed > 0);
    first.onPeer("second", second.report(later), later);
    CHECK_FALSE(first.redeem(1, later));
    // A restarted entry has lost its claims; nobody waits for them.
    CHECK(Claims().due(9, later) == 0);
    CHECK(first.due(9, start + std::chrono::seconds(10)) == 0);
}

TEST_CASE("a delay beyond what the caller accepts is named but not counted as a claim")
{
    Claims claims;
    bool isMade = true;
    CHECK(claims.name({ 1, Millis(2000), 10, Millis(500) }, start, isMade) >= Millis(2000));
    CHECK_FALSE(isMade);
    CHECK(claims.report(start).empty());
}

TEST_CASE("routes, accounts and large requests below their floor go first, and an account bears its own excess")
{
    Floors floors;
    TimePoint now = start;
    const FloorRequest urgent { "urgent", "shop", 0, 700, false };
    const FloorRequest batch { "batch", "farm", 2, 700, false };
    for (int number = 0; number < 200; ++number) {
        now += Millis(20);
        floors.onArrival(urgent, now);
        floors.onServed(urgent, now);
        floors.onArrival(batch, now);
    }
    CHECK(floors.isBelow(batch, now));
    CHECK_FALSE(floors.isBelow(urgent, now));
    for (int number = 0; number < 100; ++number)
        floors.onServed(batch, now);
    CHECK_FALSE(floors.isBelow(batch, now));

    Floors sizes;
    for (uint64_t number = 1; number <= 400; ++number) {
        const FloorRequest request { "urgent", "", 0, number % 100 + 1, false };
        sizes.onArrival(request, start);
        if (number % 100 < 60)
            sizes.onServed(request, start);
    }
    CHECK(sizes.isBelow({ "urgent", "", 0, 99, false }, start));
    CHECK(sizes.isBelow({ "urgent", "", 0, 80, false }, start));
    CHECK_FALSE(sizes.isBelow({ "urgent", "", 0, 10, false }, start));

    Floors accounts;
    for (int number = 0; number < 100; ++number) {
        accounts.onArrival({ "r", "greedy", 1, 0, false }, start);
        accounts.onServed({ "r", "greedy", 1, 0, false }, start);
        for (const char* name : { "a", "b", "c" })
            if (number % 10 == 0) {
                accounts.onArrival({ "r", name, 1, 0, false }, start);
                accounts.onServed({ "r", name, 1, 0, false }, start);
            }
    }
    CHECK(accounts.isExcess({ "r", "greedy", 1, 0, false }, start));
    CHECK_FALSE(accounts.isExcess({ "r", "a", 1, 0, false }, start));
    CHECK_FALSE(accounts.isBelow({ "r", "greedy", 1, 0, false }, start));
}

TEST_CASE("at most a quarter of a service is kept, so that none is refused while half of it is free")
{
    ServiceOrder order;
    bool isMade = false;
    for (int number = 0; number < 200; ++number)
        order.claims().name({ 0, Millis(100), 10'000, Millis(2600) }, start, isMade);
    const Supply supply { 40, 21, 10 };
    const OrderedRequest request { urgencyOf(5, false, false), start + Millis(150), 0 };
    CHECK(order.kept(request.urgency, supply, start + Millis(150)) == 10);
    CHECK(order.mayStart(request, supply, start + Millis(150)));
}
