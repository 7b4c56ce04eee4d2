#include "retry/poison.h"

#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

// The death of a process in an attempt that was sent and lost at these times after the start.
RequestDeath makeDeath(uint64_t process, int sentMs, int lostMs)
{
    return { process, start + Millis(sentMs), start + Millis(lostMs) };
}

PoisonRecords recordsThatRefuseAfterThree()
{
    PoisonSettings settings;
    settings.refuseAfter = 3;
    return PoisonRecords(settings);
}

// Passes on what one instance reports to another.
void sendReport(PoisonRecords& from, PoisonRecords& to, TimePoint now)
{
    for (const PoisonEvidence& evidence : from.report(now))
        to.merge(evidence, now);
}

} // namespace

TEST_CASE("after one death a request runs alone, after two it is refused")
{
    PoisonRecords records;
    CHECK(records.verdict("d", start) == PoisonVerdict::Run);
    CHECK(records.onDeath("d", makeDeath(1, 0, 100), start + Millis(100)) == 1);
    CHECK(records.verdict("d", start + Millis(100)) == PoisonVerdict::RunAlone);
    CHECK(records.onDeath("d", makeDeath(2, 101, 200), start + Millis(200)) == 2);
    CHECK(records.verdict("d", start + Millis(200)) == PoisonVerdict::Refuse);
    CHECK(records.verdict("d", start + std::chrono::hours(1)) == PoisonVerdict::Run);
}

TEST_CASE("deaths in quick succession count each, those of attempts that overlapped count once")
{
    PoisonRecords records = recordsThatRefuseAfterThree();
    const TimePoint now = start + Millis(400);
    CHECK(records.onDeath("chain", makeDeath(1, 0, 100), now) == 1);
    CHECK(records.onDeath("chain", makeDeath(2, 101, 200), now) == 2);
    CHECK(records.onDeath("chain", makeDeath(2, 101, 200), now) == 2);
    CHECK(records.onDeath("chain", makeDeath(3, 201, 300), now) == 3);
    CHECK(records.verdict("chain", now) == PoisonVerdict::Refuse);
    for (uint64_t process = 1; process <= 9; ++process)
        CHECK(records.onDeath("popular", makeDeath(process, static_cast<int>(process), 300 + static_cast<int>(process)), now) == 1);
    CHECK(records.verdict("popular", now) == PoisonVerdict::RunAlone);
}

TEST_CASE("deaths that different instances have seen add up at each of them")
{
    std::vector<PoisonRecords> instances(3, recordsThatRefuseAfterThree());
    for (size_t instance = 0; instance < instances.size(); ++instance) {
        const int sent = static_cast<int>(instance) * 200;
        instances[instance].onDeath("d", makeDeath(instance, sent, sent + 100), start + Millis(sent + 100));
    }
    const TimePoint now = start + Millis(600);
    for (PoisonRecords& from : instances)
        for (PoisonRecords& to : instances)
            sendReport(from, to, now);
    for (const PoisonRecords& records : instances)
        CHECK(records.verdict("d", now) == PoisonVerdict::Refuse);
}

TEST_CASE("a request that completes is cleared everywhere, and late reports of older deaths change nothing")
{
    PoisonRecords first = recordsThatRefuseAfterThree();
    PoisonRecords second = recordsThatRefuseAfterThree();
    for (int death = 0; death < 3; ++death)
        first.onDeath("d", makeDeath(static_cast<uint64_t>(death), death * 100, death * 100 + 90), start + Millis(300));
    sendReport(first, second, start + Millis(310));
    const std::vector<PoisonEvidence> late = first.report(start + Millis(320));
    CHECK(second.verdict("d", start + Millis(310)) == PoisonVerdict::Refuse);
    CHECK(second.onCompleted("d", start + Millis(320)));
    CHECK_FALSE(second.onCompleted("d", start + Millis(320)));
    CHECK(second.verdict("d", start + Millis(320)) == PoisonVerdict::Run);
    sendReport(second, first, start + Millis(330));
    CHECK(first.verdict("d", start + Millis(330)) == PoisonVerdict::Run);
    for (const PoisonEvidence& evidence : late)
        CHECK_FALSE(second.merge(evidence, start + Millis(321)));
    CHECK(second.verdict("d", start + Millis(330)) == PoisonVerdict::Run);
}

TEST_CASE("a request that is tried after its refusal and ends another process is refused for longer")
{
    PoisonRecords records = recordsThatRefuseAfterThree();
    int sent = 0;
    for (uint64_t process = 1; process <= 3; ++process, sent += 100)
        records.onDeath("d", makeDeath(process, sent, sent + 90), start + Millis(sent + 90));
    const TimePoint last = start + Millis(290);
    CHECK(records.verdict("d", last + Millis(119'000)) == PoisonVerdict::Refuse);
    CHECK(records.verdict("d", last + Millis(120'000)) == PoisonVerdict::RunAlone);
    CHECK(records.onDeath("d", makeDeath(4, 130'000, 130'100), start + Millis(130'100)) == 4);
    CHECK(records.verdict("d", start + Millis(130'100 + 239'000)) == PoisonVerdict::Refuse);
    CHECK(records.verdict("d", start + Millis(130'100 + 240'000)) == PoisonVerdict::RunAlone);
}

TEST_CASE("an instance that starts anew learns of old deaths, those of refused requests first")
{
    PoisonRecords records = recordsThatRefuseAfterThree();
    for (int request = 0; request < 20; ++request)
        records.onDeath("suspect-" + std::to_string(request), makeDeath(1, 0, 100), start + Millis(100));
    for (int death = 0; death < 3; ++death)
        records.onDeath("refused", makeDeath(static_cast<uint64_t>(death), death * 100, death * 100 + 90), start + Millis(300));
    PoisonRecords fresh = recordsThatRefuseAfterThree();
    const TimePoint later = start + Millis(60'000);
    sendReport(records, fresh, later);
    CHECK(fresh.verdict("refused", later) == PoisonVerdict::Refuse);
    for (int message = 0; message < 4; ++message)
        sendReport(records, fresh, later);
    CHECK(fresh.size() == 21);
    CHECK(records.fullReport(later).size() == 21);
    CHECK(records.fullReport(later + Millis(600'000)).empty());
}

TEST_CASE("the numbers of records, deaths and reported records are limited")
{
    PoisonSettings settings;
    settings.maxRecords = 10;
    settings.maxDeaths = 4;
    settings.maxReported = 3;
    PoisonRecords records(settings);
    for (int i = 0; i < 100; ++i)
        records.onDeath(std::to_string(i), makeDeath(1, i, i), start + Millis(i));
    CHECK(records.size() == 10);
    CHECK(records.verdict("99", start + Millis(99)) == PoisonVerdict::RunAlone);
    for (int i = 2; i < 102; ++i)
        records.onDeath("99", makeDeath(static_cast<uint64_t>(i), 200 + i, 200 + i), start + Millis(310));
    CHECK(records.evidence("99", start + Millis(310)).deaths.size() == 4);
    CHECK(records.report(start + Millis(310)).size() == 3);
    CHECK(records.report(start + Millis(310)).front().digest == "99");
}

TEST_CASE("reports that each instance passes on with a delay come to an end")
{
    struct Delivery {
        size_t to = 0;
        PoisonEvidence evidence;
    };
    constexpr size_t instanceCount = 9;
    constexpr size_t deathCount = 12;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::vector<PoisonRecords> instances(instanceCount);
        std::multimap<TimePoint, Delivery> network;
        const auto tellOthers = [&](size_t from, TimePoint now) {
            for (size_t to = 0; to < instanceCount; ++to)
                if (to != from)
                    network.emplace(now + Millis(1 + static_cast<int>(random() % 40)), Delivery { to, instances[from].evidence("d", now) });
        };
        size_t delivered = 0;
        // Each instance may pass on that a death is new, and that it is cleared, once.
        constexpr size_t maxDelivered = 3 * deathCount * instanceCount * instanceCount;
        int event = 0;
        while ((event < static_cast<int>(deathCount) * 2 || !network.empty()) && delivered <= maxDelivered) {
            const TimePoint next = start + Millis(event * 15);
            if (event < static_cast<int>(deathCount) * 2 && (network.empty() || next <= network.begin()->first)) {
                const size_t instance = random() % instanceCount;
                if (event % 2 == 0)
                    instances[instance].onDeath("d", { static_cast<uint64_t>(event), next - Millis(10), next }, next);
                if (event % 2 == 0 || instances[instance].onCompleted("d", next))
                    tellOthers(instance, next);
                ++event;
                continue;
            }
            const auto [now, delivery] = *network.begin();
            network.erase(network.begin());
            ++delivered;
            if (instances[delivery.to].merge(delivery.evidence, now))
                tellOthers(delivery.to, now);
        }
        CHECK(delivered <= maxDelivered);
    }
}
