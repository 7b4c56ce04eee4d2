#include "retry/crash-parts.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };
constexpr PartHash popular = 1;
constexpr PartHash poison = 2;

// Records with a history in which every request has the popular part.
CrashParts partsWithHistory()
{
    CrashParts parts;
    for (PartHash request = 0; request < 500; ++request)
        parts.onSurvived(std::vector<PartHash> { popular, 100 + request % 10 }, start);
    return parts;
}

TimePoint crashTime(int crash)
{
    return start + std::chrono::seconds(1 + crash);
}

// The crash with this number, by a request of its own.
void addCrash(CrashParts& parts, int crash, std::vector<PartHash> suspected = { popular, poison })
{
    const auto number = static_cast<uint64_t>(crash);
    parts.onCrash(number, { 1000 + number, std::move(suspected) }, crashTime(crash));
}

bool isRefused(const CrashParts& parts, PartHash part, TimePoint now = crashTime(5))
{
    return parts.isRefused(std::vector<PartHash> { part }, now);
}

} // namespace

TEST_CASE("the part that three crashing requests share is refused, and not one that many others have")
{
    CrashParts parts = partsWithHistory();
    addCrash(parts, 1);
    addCrash(parts, 2);
    CHECK_FALSE(isRefused(parts, poison));
    addCrash(parts, 3);
    CHECK(isRefused(parts, poison));
    CHECK_FALSE(isRefused(parts, popular));
    CHECK(parts.isRefused(std::vector<PartHash> { 7, poison, 8 }, crashTime(5)));
    CHECK_FALSE(isRefused(parts, poison, start + std::chrono::hours(1)));
}

TEST_CASE("a part that an endpoint answers after the crash is cleared, one that was sent before it is not")
{
    CrashParts parts = partsWithHistory();
    for (int crash = 1; crash <= 2; ++crash)
        addCrash(parts, crash, { poison, 3 });
    parts.onAnswering(std::vector<PartHash> { poison }, start, crashTime(2));
    parts.onAnswering(std::vector<PartHash> { 3 }, crashTime(2) + Millis(1), crashTime(2) + Millis(300));
    addCrash(parts, 3, { poison, 3 });
    CHECK(isRefused(parts, poison));
    CHECK_FALSE(isRefused(parts, 3));
    // A part that was refused by mistake is taken back when a request that was under way is answered.
    parts.onAnswering(std::vector<PartHash> { poison }, crashTime(3) + Millis(1), crashTime(4));
    CHECK_FALSE(isRefused(parts, poison));
}

TEST_CASE("a request that is sent again and endpoints that end at once are weak evidence")
{
    CrashParts repeated = partsWithHistory();
    for (uint64_t crash = 1; crash <= 6; ++crash)
        repeated.onCrash(crash, { 77, { popular, poison } }, crashTime(static_cast<int>(crash)));
    CHECK(repeated.refusedCount() == 0);
    CrashParts atOnce = partsWithHistory();
    for (uint64_t crash = 1; crash <= 6; ++crash)
        atOnce.onCrash(crash, { crash, { popular, poison } }, crashTime(1) + Millis(crash));
    CHECK(atOnce.refusedCount() == 0);
}

TEST_CASE("evidence that several entries have adds up, and a new entry learns what is refused")
{
    CrashParts first = partsWithHistory();
    CrashParts second = partsWithHistory();
    addCrash(first, 1);
    addCrash(second, 2);
    addCrash(first, 3);
    const TimePoint now = crashTime(3) + Millis(10);
    second.merge(first.report(now), now);
    CHECK(isRefused(second, poison));
    CHECK_FALSE(isRefused(first, poison));
    CrashParts fresh;
    fresh.merge(second.report(now), now);
    CHECK(isRefused(fresh, poison));
    // What one entry clears is cleared at all.
    fresh.onAnswering(std::vector<PartHash> { poison }, now + Millis(1), now + Millis(2));
    second.merge(fresh.report(now + Millis(2)), now + Millis(3));
    CHECK_FALSE(isRefused(second, poison));
    fresh.merge(first.report(now + Millis(4)), now + Millis(4));
    CHECK_FALSE(isRefused(fresh, poison));
}

TEST_CASE("state stays bounded when all parts are new")
{
    CrashParts parts;
    PartHash next = 0;
    for (uint64_t crash = 0; crash < 1000; ++crash)
        for (uint64_t suspect = 0; suspect < 50; ++suspect) {
            const PartHash part = next += 2;
            parts.onCrash(crash, { part, { part, part + 1 } }, start + Millis(crash));
        }
    const CrashPartSettings limits;
    CHECK(parts.crashCount() <= limits.maxCrashes);
    CHECK(parts.suspectedPartCount() <= limits.maxCrashes * limits.maxSuspects * 2);
    CHECK(parts.report(start + Millis(1000)).crashes.size() <= limits.maxReported);
    CHECK(parts.refusedCount() == 0);
}
