#include "ledger/shard.h"

#include <doctest/doctest.h>
#include <memory>
#include <random>

using namespace orioletrail;

namespace {

// The shard's object in the platform, with conditional writes, and its segments.
struct FakeObject {
    std::string value;
    uint64_t revision = 0;
    std::map<std::string, std::string> segments {};

    bool put(const LedgerWrite& write)
    {
        if (write.expectedRevision != revision)
            return false;
        value = write.value;
        ++revision;
        return true;
    }
};

// One owner of the shard. Keeps the platform calls that it asked for until the test completes them,
// and collects the results of its claims.
struct Owner {
    Owner(uint64_t number, FakeObject& object, const LedgerSettings& settings = {})
        : m_shard(number, settings)
        , m_object(object)
    {
    }

    void apply(LedgerActions actions)
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

    void completeSegmentCall()
    {
        if (m_readSegment) {
            const std::string segment = *std::exchange(m_readSegment, std::nullopt);
            const auto found = m_object.segments.find(segment);
            apply(m_shard.onSegmentRead(found == m_object.segments.end() ? std::string() : found->second, m_now));
        } else if (m_writeSegment) {
            const SegmentWrite write = *std::exchange(m_writeSegment, std::nullopt);
            m_object.segments[write.segment] = write.value;
            apply(m_shard.onSegmentWritten(m_now));
        }
    }

    void completeRead()
    {
        m_read = false;
        apply(m_shard.onRead(m_object.value, m_object.revision, m_now));
    }

    void completeWrite()
    {
        const LedgerWrite write = *std::exchange(m_write, std::nullopt);
        if (m_object.put(write))
            apply(m_shard.onWritten(m_object.revision, m_now));
        else
            apply(m_shard.onWriteNotConfirmed(m_now));
    }

    void runToCompletion()
    {
        for (int i = 0; i < 30; ++i) {
            if (m_read)
                completeRead();
            else if (m_write)
                completeWrite();
            completeSegmentCall();
            m_now += Millis(50);
            apply(m_shard.onTick(m_now));
        }
    }

    void claim(uint64_t ticket, std::string_view key, std::string_view body = "body")
    {
        apply(m_shard.claim(ticket, key, body, m_now, m_seconds));
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

TEST_CASE("a request may run only once its claim is durable")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    CHECK_FALSE(owner.mayRun(1));
    owner.completeRead();
    CHECK_FALSE(owner.mayRun(1));
    owner.completeWrite();
    CHECK(owner.mayRun(1));
}

TEST_CASE("claims that arrive during a write share the next write")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "a");
    owner.completeRead();
    for (uint64_t ticket = 2; ticket <= 100; ++ticket)
        owner.claim(ticket, "k" + std::to_string(ticket));
    owner.runToCompletion();
    for (uint64_t ticket = 1; ticket <= 100; ++ticket)
        CHECK(owner.mayRun(ticket));
    CHECK(owner.m_shard.writes() == 2);
}

TEST_CASE("a repeat of a finished key returns the recorded answer, and a different body is refused")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.runToCompletion();
    owner.apply(owner.m_shard.finish(1, "k", { 201, "text/plain", "done", false }, owner.m_now));
    owner.runToCompletion();
    owner.claim(2, "k");
    CHECK(owner.m_results[2].reason == Reason::KeyInProgress);
    REQUIRE(owner.m_results[2].answer);
    CHECK(owner.m_results[2].answer->body == "done");
    owner.claim(3, "k", "other");
    CHECK(owner.m_results[3].reason == Reason::KeyReused);
}

TEST_CASE("a repeat gets the answer even before it is durable")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.runToCompletion();
    owner.apply(owner.m_shard.finish(1, "k", { 201, "text/plain", "done", false }, owner.m_now));
    owner.claim(2, "k");
    REQUIRE(owner.m_results.contains(2));
    REQUIRE(owner.m_results[2].answer);
    CHECK(owner.m_results[2].answer->body == "done");
}

TEST_CASE("of two claims of one key in a batch only one may run")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.claim(2, "k");
    owner.runToCompletion();
    CHECK(owner.mayRun(1));
    CHECK_FALSE(owner.mayRun(2));
    CHECK(owner.m_results[2].outcome == Outcome::MayHaveRun);
}

TEST_CASE("a former owner that wakes up runs nothing more")
{
    FakeObject object;
    Owner former(1, object);
    former.claim(1, "a");
    former.runToCompletion();
    former.claim(2, "b");
    REQUIRE(former.m_write);
    Owner next(2, object);
    next.claim(1, "b");
    next.runToCompletion();
    CHECK(next.mayRun(1));
    former.runToCompletion();
    CHECK_FALSE(former.mayRun(2));
    CHECK(former.m_results[2].reason == Reason::KeyInProgress);
}

TEST_CASE("a repeat at a new owner waits for the answer that the former is about to record")
{
    FakeObject object;
    Owner former(1, object);
    former.claim(1, "k");
    former.runToCompletion();
    Owner next(2, object);
    next.claim(1, "other");
    next.runToCompletion();
    next.claim(2, "k");
    CHECK(next.m_results.count(2) == 0);
    former.apply(former.m_shard.finish(1, "k", { 201, "", "done", false }, former.m_now));
    former.runToCompletion();
    next.runToCompletion();
    REQUIRE(next.m_results.count(2) == 1);
    REQUIRE(next.m_results[2].answer);
    CHECK(next.m_results[2].answer->body == "done");
}

TEST_CASE("a lost reply to a write is resolved by reading the object")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.completeRead();
    object.put(*std::exchange(owner.m_write, std::nullopt));
    owner.apply(owner.m_shard.onWriteNotConfirmed(owner.m_now));
    owner.runToCompletion();
    CHECK(owner.mayRun(1));
    CHECK(object.revision == 1);
}

TEST_CASE("a repeat during a read-back does not run a key that has run")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.runToCompletion();
    owner.claim(2, "other");
    REQUIRE(owner.m_write);
    owner.apply(owner.m_shard.finish(1, "k", { 200, "", "x", false }, owner.m_now));
    owner.m_write.reset();
    owner.apply(owner.m_shard.onWriteNotConfirmed(owner.m_now));
    owner.claim(3, "k");
    owner.runToCompletion();
    CHECK_FALSE(owner.mayRun(3));
    CHECK(owner.mayRun(2));
}

TEST_CASE("claims during a platform outage are refused as not run, and later claims succeed")
{
    FakeObject object;
    Owner owner(1, object);
    owner.claim(1, "k");
    owner.m_read = false;
    owner.apply(owner.m_shard.onReadFailed(owner.m_now));
    CHECK(owner.m_results[1].reason == Reason::PlatformDown);
    CHECK(owner.m_results[1].outcome == Outcome::NotRun);
    owner.m_now += Millis(500);
    owner.apply(owner.m_shard.onTick(owner.m_now));
    owner.claim(2, "k");
    owner.runToCompletion();
    CHECK(owner.mayRun(2));
}

TEST_CASE("a full shard refuses claims until expired keys are removed")
{
    FakeObject object;
    LedgerSettings settings;
    settings.maxEntries = 2;
    settings.retention = std::chrono::seconds(60);
    Owner owner(1, object, settings);
    for (uint64_t ticket = 1; ticket <= 3; ++ticket)
        owner.claim(ticket, "k" + std::to_string(ticket));
    owner.runToCompletion();
    CHECK(owner.m_results[3].reason == Reason::LedgerFull);
    owner.m_seconds += 61;
    owner.claim(4, "k4");
    owner.runToCompletion();
    CHECK(owner.mayRun(4));
}

namespace {

// Claims and finishes `count` keys one after another, with large response bodies, and checks that the
// stored object stays within its size limit.
void runRequests(Owner& owner, uint64_t count, const FakeObject& object)
{
    for (uint64_t ticket = 1; ticket <= count; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        owner.claim(ticket, key);
        owner.runToCompletion();
        REQUIRE(owner.mayRun(ticket));
        owner.apply(owner.m_shard.finish(ticket, key, { 200, "", std::string(1500, 'x'), false }, owner.m_now));
        owner.runToCompletion();
        REQUIRE(object.value.size() < 21'000);
    }
}

} // namespace

TEST_CASE("recorded bodies neither exceed the size limit of the object nor use up the space for claims")
{
    FakeObject object;
    LedgerSettings settings;
    settings.maxBytes = 20'000;
    settings.maxSegmentEntries = 0;
    Owner owner(1, object, settings);
    runRequests(owner, 40, object);
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
    runRequests(owner, 200, object);
    CHECK(object.segments.size() > 10);
    for (const auto& [segment, value] : object.segments)
        CHECK(value.size() < 21'000);
}

TEST_CASE("finished entries move to segments, and a new owner knows them")
{
    FakeObject object;
    LedgerSettings settings;
    settings.segmentThreshold = 10;
    Owner owner(1, object, settings);
    for (uint64_t ticket = 1; ticket <= 100; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        owner.claim(ticket, key);
        owner.runToCompletion();
        owner.apply(owner.m_shard.finish(ticket, key, { 200, "", key, false }, owner.m_now));
        owner.runToCompletion();
    }
    CHECK(object.segments.size() >= 5);
    CHECK(object.value.size() < 8000);
    Owner next(2, object, settings);
    for (uint64_t ticket = 1; ticket <= 100; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        next.claim(ticket, key);
        next.runToCompletion();
        REQUIRE(next.m_results[ticket].answer);
        CHECK(next.m_results[ticket].answer->body == key);
    }
}

TEST_CASE("segments whose keys have all expired are removed")
{
    FakeObject object;
    LedgerSettings settings;
    settings.segmentThreshold = 4;
    settings.retention = std::chrono::seconds(60);
    Owner owner(1, object, settings);
    for (uint64_t ticket = 1; ticket <= 20; ++ticket) {
        const std::string key = "k" + std::to_string(ticket);
        owner.claim(ticket, key);
        owner.runToCompletion();
        owner.apply(owner.m_shard.finish(ticket, key, { 200, "", key, false }, owner.m_now));
        owner.runToCompletion();
    }
    REQUIRE_FALSE(object.segments.empty());
    owner.m_seconds += 100;
    owner.claim(50, "later");
    owner.runToCompletion();
    CHECK(owner.mayRun(50));
    CHECK(object.segments.empty());
    CHECK(owner.m_shard.segmentEntryCount() == 0);
}

TEST_CASE("the creation time of a version 7 UUID is extracted")
{
    CHECK(uuidCreationTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == 1645557742);
    CHECK_FALSE(uuidCreationTime("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
    CHECK_FALSE(uuidCreationTime("order-1"));
}

namespace {

// Runs three owners through random interleavings of claims, lost replies, delayed writes, freezes and
// restarts, and counts how many requests of each key were allowed to run.
class InterleavingTest {
public:
    explicit InterleavingTest(uint64_t seed)
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
        // Low, so that entries move to segments continually.
        settings.segmentThreshold = 2;
        return std::make_unique<Owner>(++m_lastOwner, m_object, settings);
    }

    uint64_t randomBelow(uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(m_random); }

    void step()
    {
        const size_t index = randomBelow(m_owners.size());
        Owner& owner = *m_owners[index];
        owner.m_now += Millis(100);
        switch (randomBelow(9)) {
        case 0:
        case 1:
            m_keyByTicket[++m_lastTicket] = "k" + std::to_string(randomBelow(12));
            owner.claim(m_lastTicket, m_keyByTicket[m_lastTicket]);
            break;
        case 2:
        case 3:
            completeCall(owner);
            break;
        case 4:
            loseWriteReply(owner);
            break;
        case 5:
            deliverDelayedWrite();
            break;
        case 6:
            failRead(owner);
            break;
        case 7:
            finishOne(owner);
            break;
        default:
            if (!randomBelow(8))
                m_owners[index] = makeOwner();
        }
        countRuns(*m_owners[index]);
    }

    void completeCall(Owner& owner)
    {
        if (owner.m_read)
            owner.completeRead();
        else if (owner.m_write)
            owner.completeWrite();
        else if (owner.m_readSegment || owner.m_writeSegment)
            completeOrFailSegmentCall(owner);
        else
            owner.apply(owner.m_shard.onTick(owner.m_now));
    }

    void completeOrFailSegmentCall(Owner& owner)
    {
        if (randomBelow(4)) {
            owner.completeSegmentCall();
        } else if (std::exchange(owner.m_readSegment, std::nullopt)) {
            owner.apply(owner.m_shard.onReadFailed(owner.m_now));
        } else {
            const SegmentWrite write = *std::exchange(owner.m_writeSegment, std::nullopt);
            if (randomBelow(2))
                m_object.segments[write.segment] = write.value;
            owner.apply(owner.m_shard.onSegmentWriteFailed(owner.m_now));
        }
    }

    // The write takes effect now, later or never, and its reply is lost.
    void loseWriteReply(Owner& owner)
    {
        if (!owner.m_write)
            return;
        const LedgerWrite write = *std::exchange(owner.m_write, std::nullopt);
        if (randomBelow(2))
            m_object.put(write);
        else
            m_delayedWrites.push_back(write);
        owner.apply(owner.m_shard.onWriteNotConfirmed(owner.m_now));
    }

    void deliverDelayedWrite()
    {
        if (m_delayedWrites.empty())
            return;
        m_object.put(m_delayedWrites.back());
        m_delayedWrites.pop_back();
    }

    void failRead(Owner& owner)
    {
        if (!std::exchange(owner.m_read, false))
            return;
        owner.apply(owner.m_shard.onReadFailed(owner.m_now));
    }

    void finishOne(Owner& owner)
    {
        for (auto& [ticket, result] : owner.m_results) {
            if (result.reason != Reason::None || m_finished[ticket])
                continue;
            m_finished[ticket] = true;
            owner.apply(owner.m_shard.finish(ticket, m_keyByTicket[ticket], { 200, "", "ok", false }, owner.m_now));
            return;
        }
    }

    void countRuns(Owner& owner)
    {
        for (const auto& [ticket, result] : owner.m_results)
            if (result.reason == Reason::None && !std::exchange(m_counted[ticket], true))
                ++m_runs[m_keyByTicket[ticket]];
    }

    std::mt19937_64 m_random;
    FakeObject m_object;
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::vector<LedgerWrite> m_delayedWrites;
    std::map<uint64_t, std::string> m_keyByTicket;
    std::map<uint64_t, bool> m_counted;
    std::map<uint64_t, bool> m_finished;
    std::map<std::string, int> m_runs;
    uint64_t m_lastOwner = 0;
    uint64_t m_lastTicket = 0;
};

} // namespace

TEST_CASE("no key runs twice under any interleaving of owners, losses and restarts")
{
    size_t segments = 0;
    for (uint64_t seed = 1; seed <= 2000; ++seed) {
        CAPTURE(seed);
        InterleavingTest test(seed);
        REQUIRE(test.run(500) <= 1);
        segments += test.segments();
    }
    CHECK(segments > 2000);
}

TEST_CASE("a recorded answer that could not be sent counts as one whose body is left out")
{
    const auto answerOf = [](const std::string& status, const std::string& contentType) {
        std::string reason;
        const auto record = parseLedgerRecord(R"({"owner":"1","token":2,"segments":[],"entries":{"k":{"b":"d","n":"c","t":3,"s":)" + status + R"(,"c":")" + contentType + R"(","o":"body","x":false}}})", reason);
        REQUIRE(record);
        return *record->entries.at("k").answer;
    };
    CHECK_FALSE(answerOf("201", "text/plain").truncated);
    CHECK_FALSE(answerOf("200", "").truncated);
    for (const char* status : { "0", "100", "199", "600", "4000000000" }) {
        CAPTURE(status);
        CHECK(answerOf(status, "text/plain").truncated);
    }
    CHECK(answerOf("200", "text/plain\\r\\nX: y").truncated);
}
