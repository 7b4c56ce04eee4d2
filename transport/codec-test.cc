#include "transport/codec.h"

#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

std::optional<Message> roundTrip(const Message& message)
{
    std::vector<char> frame;
    encode(message, frame);
    const std::span<const char> bytes(frame);
    REQUIRE(payloadSize(bytes.first<frameHeaderBytes>()) == frame.size() - frameHeaderBytes);
    std::string reason;
    return decode(bytes.subspan(frameHeaderBytes), reason);
}

} // namespace

TEST_CASE("an attempt survives the wire")
{
    Open open;
    open.id = { 1, 2, 3 };
    open.headers = { { "A", "b" } };
    open.body = std::string("x\0y", 3);
    open.deadlineMs = 5;
    open.key = "k";
    const auto message = roundTrip(open);
    REQUIRE(message);
    const Open& got = std::get<Open>(*message);
    CHECK(got.id == open.id);
    CHECK(got.headers == open.headers);
    CHECK(got.body == open.body);
    CHECK(got.deadlineMs == 5);
    CHECK(got.key == "k");
}

TEST_CASE("a configuration delta survives the wire")
{
    const auto message = roundTrip(ConfigDelta { 1, 9, { { "a", 8, "v", false }, { "b", 9, "", true } } });
    REQUIRE(message);
    const auto& delta = std::get<ConfigDelta>(*message);
    CHECK(delta.to == 9);
    CHECK(delta.changes[1].deleted);
}

TEST_CASE("sizes out of bounds are refused before anything is decoded")
{
    const char huge[] = { '\x7f', 0, 0, 0 };
    CHECK_FALSE(payloadSize(std::span<const char, frameHeaderBytes>(huge)));
    const char none[] = { 0, 0, 0, 0 };
    CHECK_FALSE(payloadSize(std::span<const char, frameHeaderBytes>(none)));
}

TEST_CASE("damaged messages are refused without harm")
{
    std::vector<char> frame;
    Open open;
    open.headers = { { "A", "b" } };
    open.body = "body";
    encode(open, frame);
    const std::vector<char> payload(frame.begin() + frameHeaderBytes, frame.end());
    std::string reason;
    for (size_t size = 0; size < payload.size(); ++size)
        CHECK_FALSE(decode(std::span(payload).first(size), reason));
    std::mt19937_64 random(1);
    for (int i = 0; i < 20'000; ++i) {
        std::vector<char> damaged = payload;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        decode(damaged, reason);
    }
}

TEST_CASE("unknown kinds and values out of range are refused")
{
    std::string reason;
    const char unknown[] = { '\x7f', 0 };
    CHECK_FALSE(decode(unknown, reason));
    CHECK(reason == "unknown message kind 127");
    Frame frame;
    frame.reason = Reason::Count;
    CHECK_FALSE(roundTrip(frame));
}
