#include "ledger/shard.h"

#include <doctest/doctest.h>
#include <memory>
#include <random>

using namespace orioletrail;

namespace {

// A platform object with conditional writes, whose answers can be lost and delayed.
struct FakeObject {
    std::string value;
    uint64_t revision = 0;
    std::map<std::string, std::string> segments {};

    bool put(const LedgerWrite& write)
    {
        if (write.expected != revision)
            return false;
        value = write.value;
        ++revision;
        return true;
    }
};

// Runs one owner against the fake object and records what it was told to run.
struct Owner {
    Owner(uint64_t number, FakeObject& object, const LedgerSettings& settings = {})
        : m_shard(number, settings)
        , m_object(object)
    {
    }

    void take(LedgerActions actions)
    {
        for (ClaimResult& result : actions.results)
            m_results[result.ticket] = result;
        if (actions.read)
            m_read = true;
        if (actions.write)
            m_write = actions.write;
        if (actions.readSegment)
            m_readSegment = actions.readSegment;
        if (actions.writeSegment)
            m_writeSegment = actions.writeSegment;
        for (const std::string& segment : actions.removeSegments)
            m_object.segments.erase(segment);
    }

    void answerSegment()
    {
        if (m_readSegment) {
            const std::string segment = *std::exchange(m_readSegment, std::nullopt);
            const auto found = m_object.segments.find(segment);
            take(m_shard.onSegmentRead(found == m_object.segments.end() ? std::string() : found->second, m_now));
        } else if (m_writeSegment) {
            const SegmentWrite write = *std::exchange(m_writeSegment, std::nullopt);
            m_object.segments[write.segment] = write.value;
            take(m_shard.onSegmentWritten(m_now));
        }
    }

    void answerRead()
    {
        m_read = false;
        take(m_shard.onRead(m_object.value, m_object.revision, m_now));
    }

    void answerWrite()
    {
        const LedgerWrite write = *std::exchange(m_write, std::nullopt);
        if (m_object.put(write))
            take(m_shard.onWritten(m_object.revision, m_now));
        else
            take(m_shard.onWriteUnresolved(m_now));
    }

    void settle()
    {
        for (int i = 0; i < 30; ++i) {
            if (m_read)
                answerRead();
            else if (m_write)
                answerWrite();
            answerSegment();
            m_now += Millis(50);
            take(m_shard.onTick(m_now));
        }
    }

    void claim(uint64_t ticket, std::string_view key, std::string_view body = "body")
    {
        take(m_shard.claim(ticket, key, body, m_now, m_seconds));
    }

    bool mayRun(uint64_t ticket) const
    {
        const auto found = m_results.find(ticket);
        return found != m_results.end() && found->second.reason == Reason::None;
    }

    LedgerShard m_shard;
    FakeObject& m_object;
    TimePoint m_now;
    int64_t m_seconds = 1'000'000;
    bool m_read = false;
    std::optional<LedgerWrite> m_write;
    std::optional<std::string> m_readSegment;
    std::optional<SegmentWrite> m_writeSegment;
    std::map<uint64_t, ClaimResult> m_results;
};

} // namespace

TEST_CASE("a claim runs only once it is durable")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    CHECK_FALSE(owner.mayRun(1));
    owner.answerRead();
    CHECK_FALSE(owner.mayRun(1));
    owner.answerWrite();
    CHECK(owner.mayRun(1));
}

TEST_CASE("claims that arrive during a write share the next one")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "a");
    owner.answerRead();
    for (uint64_t ticket = 2; ticket <= 100; ++ticket)
        owner.claim(ticket, "k" + std::to_string(ticket));
    owner.settle();
    for (uint64_t ticket = 1; ticket <= 100; ++ticket)
        CHECK(owner.mayRun(ticket));
    CHECK(owner.m_shard.writes() == 2);
}

TEST_CASE("a finished key gives its recorded answer, another body is an error")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.settle();
    owner.take(owner.m_shard.finish(1, "k", { 201, "text/plain", "done", false }, owner.m_now));
    owner.settle();
    owner.claim(2, "k");
    CHECK(owner.m_results[2].reason == Reason::KeyInProgress);
    REQUIRE(owner.m_results[2].answer);
    CHECK(owner.m_results[2].answer->body == "done");
    owner.claim(3, "k", "other");
    CHECK(owner.m_results[3].reason == Reason::KeyReused);
}

TEST_CASE("a repeat gets the answer before it is written")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.settle();
    owner.take(owner.m_shard.finish(1, "k", { 201, "text/plain", "done", false }, owner.m_now));
    owner.claim(2, "k");
    REQUIRE(owner.m_results.contains(2));
    REQUIRE(owner.m_results[2].answer);
    CHECK(owner.m_results[2].answer->body == "done");
}

TEST_CASE("the same key twice in one batch runs once")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.claim(2, "k");
    owner.settle();
    CHECK(owner.mayRun(1));
    CHECK_FALSE(owner.mayRun(2));
    CHECK(owner.m_results[2].outcome == Outcome::MayHaveRun);
}

TEST_CASE("a former owner that wakes up runs nothing more")
{
    FakeObject object;
    Owner former(1, object);
    former.claim(1, "a");
    former.settle();
    former.claim(2, "b");
    REQUIRE(former.m_write);
    Owner next(2, object);
    next.claim(1, "b");
    next.settle();
    CHECK(next.mayRun(1));
    former.settle();
    CHECK_FALSE(former.mayRun(2));
    CHECK(former.m_results[2].reason == Reason::KeyInProgress);
}

TEST_CASE("a repeat at a new owner waits for the answer that the former is about to record")
{
    FakeObject object;
    Owner former(1, object);
    former.claim(1, "k");
    former.settle();
    Owner next(2, object);
    next.claim(1, "other");
    next.settle();
    next.claim(2, "k");
    CHECK(next.m_results.count(2) == 0);
    former.take(former.m_shard.finish(1, "k", { 201, "", "done", false }, former.m_now));
    former.settle();
    next.settle();
    REQUIRE(next.m_results.count(2) == 1);
    REQUIRE(next.m_results[2].answer);
    CHECK(next.m_results[2].answer->body == "done");
}

TEST_CASE("a lost answer is resolved by reading back")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.answerRead();
    object.put(*std::exchange(owner.m_write, std::nullopt));
    owner.take(owner.m_shard.onWriteUnresolved(owner.m_now));
    owner.settle();
    CHECK(owner.mayRun(1));
    CHECK(object.revision == 1);
}

TEST_CASE("a repeat during a read-back does not run a key that has run")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.settle();
    owner.claim(2, "other");
    REQUIRE(owner.m_write);
    owner.take(owner.m_shard.finish(1, "k", { 200, "", "x", false }, owner.m_now));
    owner.m_write.reset();
    owner.take(owner.m_shard.onWriteUnresolved(owner.m_now));
    owner.claim(3, "k");
    owner.settle();
    CHECK_FALSE(owner.mayRun(3));
    CHECK(owner.mayRun(2));
}

TEST_CASE("an outage refuses claims as not run and later ones go through")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.m_read = false;
    owner.take(owner.m_shard.onReadFailed(owner.m_now));
    CHECK(owner.m_results[1].reason == Reason::PlatformDown);
    CHECK(owner.m_results[1].outcome == Outcome::NotRun);
    owner.m_now += Millis(500);
    owner.take(owner.m_shard.onTick(owner.m_now));
    owner.claim(2, "k");
    owner.settle();
    CHECK(owner.mayRun(2));
}

TEST_CASE("a full shard refuses, and pruned keys make room")
{
    FakeObject object;
    LedgerSettings settings;
    settings.maxEntries = 2;
    settings.retention = std::chrono::seconds(60);
    Owner owner(1, object, settings);
    for (uint64_t ticket = 1; ticket <= 3; ++ticket)
        owner.claim(ticket, "k" + std::to_string(ticket));
    owner.settle();
    CHECK(owner.m_results[3].reason == Reason::LedgerFull);
    owner.m_seconds += 61;
    owner.claim(4, "k4");
    owner.settle();
    CHECK(owner.mayRun(4));
}

namespace {

// Claims and finishes this many keys, one after another, with large answers.
void runOrders(Owner& owner, uint64_t count, const FakeObject& object)
{
    for (uint64_t ticket = 1; ticket <= count; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        owner.claim(ticket, key);
        owner.settle();
        REQUIRE(owner.mayRun(ticket));
        owner.take(owner.m_shard.finish(ticket, key, { 200, "", std::string(1500, 'x'), false }, owner.m_now));
        owner.settle();
        REQUIRE(object.value.size() < 21'000);
    }
}

} // namespace

TEST_CASE("recorded bodies never grow the object beyond what the platform takes, nor crowd out claims")
{
    FakeObject object;
    LedgerSettings settings;
    settings.maxBytes = 20'000;
    settings.maxSealed = 0;
    Owner owner(1, object, settings);
    runOrders(owner, 40, object);
    owner.claim(100, "k1");
    REQUIRE(owner.m_results[100].answer);
    CHECK_FALSE(owner.m_results[100].answer->truncated);
    owner.claim(101, "k40");
    REQUIRE(owner.m_results[101].answer);
    CHECK(owner.m_results[101].answer->truncated);
}

TEST_CASE("large answers move to segments before the object is full")
{
    FakeObject object;
    LedgerSettings settings;
    settings.maxBytes = 20'000;
    Owner owner(1, object, settings);
    runOrders(owner, 200, object);
    CHECK(object.segments.size() > 10);
    for (const auto& [segment, value] : object.segments)
        CHECK(value.size() < 21'000);
}

TEST_CASE("finished entries move to segments, and a new owner knows them")
{
    FakeObject object;
    LedgerSettings settings;
    settings.sealAt = 10;
    Owner owner(1, object, settings);
    for (uint64_t ticket = 1; ticket <= 100; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        owner.claim(ticket, key);
        owner.settle();
        owner.take(owner.m_shard.finish(ticket, key, { 200, "", key, false }, owner.m_now));
        owner.settle();
    }
    CHECK(object.segments.size() >= 5);
    CHECK(object.value.size() < 8000);
    Owner next(2, object, settings);
    for (uint64_t ticket = 1; ticket <= 100; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        next.claim(ticket, key);
        next.settle();
        REQUIRE(next.m_results[ticket].answer);
        CHECK(next.m_results[ticket].answer->body == key);
    }
}

TEST_CASE("segments whose keys are all too old are removed")
{
    FakeObject object;
    LedgerSettings settings;
    settings.sealAt = 4;
    settings.retention = std::chrono::seconds(60);
    Owner owner(1, object, settings);
    for (uint64_t ticket = 1; ticket <= 20; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        owner.claim(ticket, key);
        owner.settle();
        owner.take(owner.m_shard.finish(ticket, key, { 200, "", key, false }, owner.m_now));
        owner.settle();
    }
    REQUIRE_FALSE(object.segments.empty());
    owner.m_seconds += 100;
    owner.claim(50, "later");
    owner.settle();
    CHECK(owner.mayRun(50));
    CHECK(object.segments.empty());
    CHECK(owner.m_shard.sealedEntries() == 0);
}

TEST_CASE("a version 7 UUID tells when it was made")
{
    CHECK(mintTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == 1645557742);
    CHECK_FALSE(mintTime("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(mintTime("order-1"));
}

namespace {

// Drives several owners through random interleavings of claims, lost answers, writes that
// land late, freezes and restarts, and counts how often each key was run.
class Explorer {
public:
    explicit Explorer(uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i)
            m_owners.push_back(makeOwner());
    }

    int run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
        int most = 0;
        for (const auto& [key, runs] : m_runs)
            most = std::max(most, runs);
        return most;
    }

    size_t segments() const { return m_object.segments.size(); }

private:
    std::unique_ptr<Owner> makeOwner()
    {
        LedgerSettings settings;
        // Small, so that entries move to segments all the time.
        settings.sealAt = 2;
        return std::make_unique<Owner>(++m_nextOwner, m_object, settings);
    }

    uint64_t draw(uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(m_random); }

    void step()
    {
        const size_t index = draw(m_owners.size());
        Owner& owner = *m_owners[index];
        owner.m_now += Millis(100);
        switch (draw(9)) {
        case 0:
        case 1:
            m_ticketKey[++m_ticket] = "k" + std::to_string(draw(12));
            owner.claim(m_ticket, m_ticketKey[m_ticket]);
            break;
        case 2:
        case 3:
            reply(owner);
            break;
        case 4:
            loseAnswer(owner);
            break;
        case 5:
            landLate();
            break;
        case 6:
            failRead(owner);
            break;
        case 7:
            finishSome(owner);
            break;
        default:
            if (!draw(8))
                m_owners[index] = makeOwner();
        }
        collect(*m_owners[index]);
    }

    void reply(Owner& owner)
    {
        if (owner.m_read)
            owner.answerRead();
        else if (owner.m_write)
            owner.answerWrite();
        else if (owner.m_readSegment || owner.m_writeSegment)
            answerOrLoseSegment(owner);
        else
            owner.take(owner.m_shard.onTick(owner.m_now));
    }

    void answerOrLoseSegment(Owner& owner)
    {
        if (draw(4)) {
            owner.answerSegment();
        } else if (std::exchange(owner.m_readSegment, std::nullopt)) {
            owner.take(owner.m_shard.onReadFailed(owner.m_now));
        } else {
            const SegmentWrite write = *std::exchange(owner.m_writeSegment, std::nullopt);
            if (draw(2))
                m_object.segments[write.segment] = write.value;
            owner.take(owner.m_shard.onSegmentWriteFailed(owner.m_now));
        }
    }

    // The write takes effect now, later or never, and its answer is lost.
    void loseAnswer(Owner& owner)
    {
        if (!owner.m_write)
            return;
        const LedgerWrite write = *std::exchange(owner.m_write, std::nullopt);
        if (draw(2))
            m_object.put(write);
        else
            m_late.push_back(write);
        owner.take(owner.m_shard.onWriteUnresolved(owner.m_now));
    }

    void landLate()
    {
        if (m_late.empty())
            return;
        m_object.put(m_late.back());
        m_late.pop_back();
    }

    void failRead(Owner& owner)
    {
        if (!std::exchange(owner.m_read, false))
            return;
        owner.take(owner.m_shard.onReadFailed(owner.m_now));
    }

    void finishSome(Owner& owner)
    {
        for (auto& [ticket, result] : owner.m_results) {
            if (result.reason != Reason::None || m_finished[ticket])
                continue;
            m_finished[ticket] = true;
            owner.take(owner.m_shard.finish(ticket, m_ticketKey[ticket], { 200, "", "ok", false }, owner.m_now));
            return;
        }
    }

    void collect(Owner& owner)
    {
        for (const auto& [ticket, result] : owner.m_results)
            if (result.reason == Reason::None && !std::exchange(m_counted[ticket], true))
                ++m_runs[m_ticketKey[ticket]];
    }

    std::mt19937_64 m_random;
    FakeObject m_object;
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::vector<LedgerWrite> m_late;
    std::map<uint64_t, std::string> m_ticketKey;
    std::map<uint64_t, bool> m_counted;
    std::map<uint64_t, bool> m_finished;
    std::map<std::string, int> m_runs;
    uint64_t m_nextOwner = 0;
    uint64_t m_ticket = 0;
};

} // namespace

TEST_CASE("no key runs twice under any interleaving of owners, losses and restarts")
{
    size_t segments = 0;
    for (uint64_t seed = 1; seed <= 2000; ++seed) {
        CAPTURE(seed);
        Explorer explorer(seed);
        REQUIRE(explorer.run(500) <= 1);
        segments += explorer.segments();
    }
    CHECK(segments > 2000);
}
