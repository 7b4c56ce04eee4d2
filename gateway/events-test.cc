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

TEST_CASE("dropRemainder discards an incomplete event and keeps the id of the last complete one")
{
    EventSplitter splitter;
    splitter.push("id: 7\ndata: x\n\nid: 8\nda");
    splitter.dropRemainder();
    CHECK(splitter.push("id: 8\ndata: y\n\n") == "id: 8\ndata: y\n\n");
    CHECK(splitter.lastId() == "8");
}
