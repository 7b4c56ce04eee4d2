#include "sidecar/attempts.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

const AttemptId id { 9, 1, 0 };

Frame makeFrame(FrameKind kind, std::string data = {})
{
    Frame frame;
    frame.kind = kind;
    frame.data = std::move(data);
    return frame;
}

} // namespace

TEST_CASE("a copy that comes late on an older connection is not run")
{
    AttemptTable table;
    CHECK(table.registerConnection(9, 1) == 0);
    CHECK(table.registerConnection(9, 2) == 1);
    CHECK_FALSE(table.registerConnection(9, 2));
    CHECK_FALSE(table.open(id, 1));
    CHECK(table.open(id, 2));
    CHECK_FALSE(table.open(id, 2));
    CHECK_FALSE(table.open({ 8, 1, 0 }, 1));
}

TEST_CASE("frames are replayed from where the entry has them")
{
    AttemptTable table;
    const TimePoint now;
    table.registerConnection(9, 1);
    REQUIRE(table.open(id, 1));
    table.append(id, makeFrame(FrameKind::Head), now);
    table.append(id, makeFrame(FrameKind::Chunk, "a"), now);
    table.append(id, makeFrame(FrameKind::Chunk, "b"), now);
    const std::vector<Frame> frames = table.resume(id, 2);
    REQUIRE(frames.size() == 1);
    CHECK(frames[0].number == 2);
    CHECK(frames[0].data == "b");
}

TEST_CASE("an attempt that never came is not run, and one that was forgotten may have run")
{
    AttemptTable table({ 1000, Millis(100) });
    const TimePoint now;
    table.registerConnection(9, 1);
    const std::vector<Frame> never = table.resume({ 9, 5, 0 }, 0);
    REQUIRE(never.size() == 1);
    CHECK(never[0].outcome == Outcome::NotRun);
    REQUIRE(table.open({ 9, 6, 0 }, 1));
    table.append({ 9, 6, 0 }, makeFrame(FrameKind::End), now);
    table.expire(now + Millis(200));
    CHECK(table.unacknowledged() == 0);
    CHECK(table.resume({ 9, 6, 0 }, 0)[0].outcome == Outcome::MayHaveRun);
}

TEST_CASE("an answer is kept until its last frame is acknowledged")
{
    AttemptTable table;
    const TimePoint now;
    table.registerConnection(9, 1);
    REQUIRE(table.open(id, 1));
    table.append(id, makeFrame(FrameKind::Head), now);
    table.append(id, makeFrame(FrameKind::End), now);
    CHECK_FALSE(table.append(id, makeFrame(FrameKind::Chunk), now));
    table.ack(id, 1);
    CHECK(table.unacknowledged() == 1);
    table.ack(id, 2);
    CHECK(table.unacknowledged() == 0);
}

TEST_CASE("a full window holds back the sender until frames are acknowledged")
{
    AttemptTable table({ 10, Millis(100) });
    const TimePoint now;
    table.registerConnection(9, 1);
    REQUIRE(table.open(id, 1));
    table.append(id, makeFrame(FrameKind::Chunk, "0123456789"), now);
    CHECK(table.isWindowFull(id));
    table.ack(id, 1);
    CHECK_FALSE(table.isWindowFull(id));
}
