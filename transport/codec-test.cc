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

TEST_CASE("an Open message keeps its fields through encoding and decoding")
{
    Open open;
    open.id = { 1, 2, 3 };
    open.headers = { { "A", "b" } };
    open.body = std::string("x\0y", 3);
    open.deadlineMs = 5;
    open.key = "k";
    const auto message = roundTrip(open);
    REQUIRE(message);
    const Open& decoded = std::get<Open>(*message);
    CHECK(decoded.id == open.id);
    CHECK(decoded.headers == open.headers);
    CHECK(decoded.body == open.body);
    CHECK(decoded.deadlineMs == 5);
    CHECK(decoded.key == "k");
}

TEST_CASE("a configuration delta keeps its changes through encoding and decoding")
{
    const auto message = roundTrip(ConfigDelta { 1, 9, { { "a", 8, "v", false }, { "b", 9, "", true } } });
    REQUIRE(message);
    const auto& delta = std::get<ConfigDelta>(*message);
    CHECK(delta.to == 9);
    CHECK(delta.changes[1].deleted);
}

TEST_CASE("payload sizes of 0 or above the maximum are rejected from the frame header")
{
    const char tooLarge[] = { '\x7f', 0, 0, 0 };
    CHECK_FALSE(payloadSize(std::span<const char, frameHeaderBytes>(tooLarge)));
    const char zero[] = { 0, 0, 0, 0 };
    CHECK_FALSE(payloadSize(std::span<const char, frameHeaderBytes>(zero)));
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

TEST_CASE("unknown message kinds and enum values out of range are rejected")
{
    std::string reason;
    const char unknown[] = { '\x7f', 0 };
    CHECK_FALSE(decode(unknown, reason));
    CHECK(reason == "unknown message kind 127");
    Frame frame;
    frame.reason = Reason::Count;
    CHECK_FALSE(roundTrip(frame));
}
