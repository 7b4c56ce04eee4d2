#include "gateway/events.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("events are passed on whole, wherever the bytes are cut")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\nid:3\n\n: comment\n\nid: 4\ndata: d";
    for (size_t size = 1; size <= stream.size(); ++size) {
        CAPTURE(size);
        EventSplitter splitter;
        std::string complete;
        for (size_t at = 0; at < stream.size(); at += size) {
            const std::string events = splitter.push(std::string_view(stream).substr(at, size));
            CHECK((events.empty() || events.ends_with("\n\n") || events.ends_with("\r\n\r\n")));
            complete += events;
        }
        CHECK(complete + splitter.remainder() == stream);
        CHECK(splitter.remainder() == "id: 4\ndata: d");
        CHECK(splitter.lastId() == "3");
    }
}

TEST_CASE("a stream ends within an event unless an empty line has ended the last one")
{
    const auto endsWithin = [](std::string_view stream) {
        EventSplitter splitter;
        splitter.push(stream);
        return splitter.isWithinEvent();
    };
    CHECK_FALSE(endsWithin(""));
    CHECK_FALSE(endsWithin("data: a\n\n"));
    CHECK_FALSE(endsWithin("data: a\r\n\r\n"));
    CHECK_FALSE(endsWithin("data: a\r\r"));
    CHECK_FALSE(endsWithin("data: a\n\r\n"));
    CHECK_FALSE(endsWithin("data: a\n\n\n: ping\n"));
    CHECK(endsWithin("data: a\n\nd"));
    CHECK(endsWithin("data: a\n\n: pi"));
    CHECK(endsWithin("data: a\n\nid: 2\n"));
    CHECK(endsWithin("data: a\n\nid: 2\r"));
    CHECK(endsWithin("data: a\n\nid: 2\n: ping\n"));
    CHECK(endsWithin("data: a\r\n"));
}

TEST_CASE("events whose lines end with CR alone are passed on, the last at the end of the stream")
{
    EventSplitter splitter;
    CHECK(splitter.push("id: 1\rdata: a\r\rid: 2\rdata: b\r\r") == "id: 1\rdata: a\r\r");
    CHECK(splitter.lastId() == "1");
    CHECK_FALSE(splitter.isWithinEvent());
    CHECK(splitter.remainder() == "id: 2\rdata: b\r\r");
}

TEST_CASE("dropRemainder discards an incomplete event and keeps the id of the last complete one")
{
    EventSplitter splitter;
    splitter.push("id: 7\ndata: x\n\nid: 8\nda");
    splitter.dropRemainder();
    CHECK(splitter.push("id: 8\ndata: y\n\n") == "id: 8\ndata: y\n\n");
    CHECK(splitter.lastId() == "8");
}

// Fails if a stream goes on from an id that the next endpoint gets changed, or that ends its header.
TEST_CASE("an id that is no value of a header leaves none to go on from")
{
    for (int byte = 0; byte < 256; ++byte) {
        if (byte == '\r' || byte == '\n')
            continue;
        CAPTURE(byte);
        const std::string id = "a" + std::string(1, static_cast<char>(byte)) + "b";
        EventSplitter splitter;
        splitter.push("id: 1\ndata: x\n\nid: " + id + "\ndata: y\n\n");
        CHECK(splitter.lastId() == (byte < ' ' || byte == 127 ? "" : id));
    }
    for (const std::string& id : { std::string("  2"), std::string(" 2 "), std::string(2000, 'x') }) {
        EventSplitter splitter;
        splitter.push("id: 1\ndata: x\n\nid:" + id + "\ndata: y\n\n");
        CHECK(splitter.lastId().empty());
        splitter.push("id: 3\ndata: z\n\n");
        CHECK(splitter.lastId() == "3");
    }
}
