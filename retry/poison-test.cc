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

TEST_CASE("deaths in quick succession count each, those of attempts that overlapped count once if the request has completed before")
{
    PoisonRecords records = recordsThatRefuseAfterThree();
    const TimePoint now = start + Millis(400);
    CHECK(records.onDeath("chain", makeDeath(1, 0, 100), now) == 1);
    CHECK(records.onDeath("chain", makeDeath(2, 101, 200), now) == 2);
    CHECK(records.onDeath("chain", makeDeath(2, 101, 200), now) == 2);
    CHECK(records.onDeath("chain", makeDeath(3, 201, 300), now) == 3);
    CHECK(records.verdict("chain", now) == PoisonVerdict::Refuse);
    records.onCompleted("popular", start);
    for (uint64_t process = 1; process <= 9; ++process)
        CHECK(records.onDeath("popular", makeDeath(process, static_cast<int>(process), 300 + static_cast<int>(process)), now) == 1);
    CHECK(records.verdict("popular", now) == PoisonVerdict::RunAlone);
    // Two more ends of many endpoints without a completion in between.
    for (int time = 1; time <= 2; ++time)
        for (uint64_t process = 1; process <= 3; ++process)
            records.onDeath("popular", makeDeath(process + 100 * static_cast<uint64_t>(time), time * 1000, time * 1000 + 300), now);
    CHECK(records.verdict("popular", now) == PoisonVerdict::Refuse);
}

// Fails if the copies of a request that crash endpoints at once count as one death, however many there are.
TEST_CASE("a request that never completed and was lost with several endpoints at once is tried once more, then refused")
{
    for (const int copies : { 3, 4, 8, 20 }) {
        CAPTURE(copies);
        PoisonRecords records = recordsThatRefuseAfterThree();
        for (int copy = 1; copy <= copies; ++copy)
            records.onDeath("d", makeDeath(static_cast<uint64_t>(copy), copy, 60 + copy), start + Millis(100));
        CHECK(records.verdict("d", start + Millis(100)) == PoisonVerdict::Trial);
        CHECK(records.verdict("d", start + Millis(300'000)) == PoisonVerdict::Trial);
        records.onDeath("d", makeDeath(99, 6000, 6060), start + Millis(6060));
        CHECK(records.verdict("d", start + Millis(6060)) == PoisonVerdict::Refuse);
        CHECK(records.verdict("d", start + Millis(120'000)) == PoisonVerdict::Refuse);
    }
    PoisonRecords records = recordsThatRefuseAfterThree();
    records.onDeath("d", makeDeath(1, 0, 60), start + Millis(100));
    CHECK(records.verdict("d", start + Millis(100)) == PoisonVerdict::RunAlone);
    records.onDeath("d", makeDeath(2, 0, 61), start + Millis(100));
    CHECK(records.verdict("d", start + Millis(100)) == PoisonVerdict::Trial);
}

TEST_CASE("what another instance knows of a request's completion counts against deaths that came later")
{
    PoisonRecords first = recordsThatRefuseAfterThree();
    PoisonRecords second = recordsThatRefuseAfterThree();
    second.onCompleted("popular", start);
    for (uint64_t process = 1; process <= 4; ++process)
        first.onDeath("popular", makeDeath(process, 100, 160), start + Millis(160));
    CHECK(first.verdict("popular", start + Millis(160)) == PoisonVerdict::Trial);
    sendReport(first, second, start + Millis(200));
    CHECK(second.verdict("popular", start + Millis(200)) == PoisonVerdict::RunAlone);
    sendReport(second, first, start + Millis(250));
    CHECK(first.verdict("popular", start + Millis(250)) == PoisonVerdict::RunAlone);
}

// Fails if attempts that were sent just before their endpoints ended together seem to follow the ends.
TEST_CASE("a request is not refused because it was sent at the moment at which many endpoints ended")
{
    for (const int sentBefore : { 1, 5, 10, 30 }) {
        CAPTURE(sentBefore);
        PoisonRecords records = recordsThatRefuseAfterThree();
        for (uint64_t process = 1; process <= 6; ++process)
            records.onDeath("d", makeDeath(process, 100 - sentBefore, 100), start + Millis(100));
        CHECK(records.verdict("d", start + Millis(100)) == PoisonVerdict::Trial);
    }
}

// Fails if requests that ran next to the one at fault are taken for its like.
TEST_CASE("deaths that a request with more of them shares are not held against another")
{
    PoisonRecords records = recordsThatRefuseAfterThree();
    const TimePoint now = start + Millis(20'000);
    for (int time = 1; time <= 4; ++time) {
        const RequestDeath death = makeDeath(static_cast<uint64_t>(time), time * 4000, time * 4000 + 60);
        records.onDeath("deadly", death, now);
        if (time > 1)
            records.onDeath("bystander", death, now);
    }
    CHECK(records.verdict("deadly", now) == PoisonVerdict::Refuse);
    CHECK(records.verdict("bystander", now) == PoisonVerdict::RunAlone);
    CHECK(records.deathCount("bystander") == 0);
    // One that has completed explains nothing.
    records.onCompleted("deadly", now);
    CHECK(records.verdict("bystander", now) == PoisonVerdict::Refuse);
}

// Fails if an endpoint that is back under its identity counts only once, while its new start is not known.
TEST_CASE("a process that starts again under the identity of its predecessor counts as another one")
{
    PoisonRecords records = recordsThatRefuseAfterThree();
    CHECK(records.onDeath("d", makeDeath(1, 0, 60), start + Millis(60)) == 1);
    CHECK(records.onDeath("d", makeDeath(1, 20, 60), start + Millis(60)) == 1);
    CHECK(records.onDeath("d", makeDeath(1, 3000, 3060), start + Millis(3060)) == 2);
    CHECK(records.onDeath("d", makeDeath(1, 3010, 3060), start + Millis(3060)) == 2);
    CHECK(records.onDeath("d", makeDeath(1, 6000, 6060), start + Millis(6060)) == 3);
    CHECK(records.verdict("d", start + Millis(6060)) == PoisonVerdict::Refuse);
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
    CHECK(records.verdict("d", last + Millis(120'000)) == PoisonVerdict::Trial);
    CHECK(records.onDeath("d", makeDeath(4, 130'000, 130'100), start + Millis(130'100)) == 4);
    CHECK(records.verdict("d", start + Millis(130'100 + 239'000)) == PoisonVerdict::Refuse);
    CHECK(records.verdict("d", start + Millis(130'100 + 240'000)) == PoisonVerdict::Trial);
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
