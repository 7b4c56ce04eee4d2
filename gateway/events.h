// Cuts a stream of server-sent events into whole events.
#pragma once

#include <string>
#include <string_view>

namespace orioletrail {

// Holds back the start of an event until its end has arrived. An event ends with an empty line.
class EventSplitter {
public:
    // Takes the next bytes and returns all events that are whole now, as they were received.
    // The identifier of the last of them is in lastId().
    std::string push(std::string_view);

    // What has arrived of an event that is not whole.
    const std::string& remainder() const { return m_pending; }

    // Drops what is held back, before the stream goes on from another endpoint.
    void dropRemainder() { m_pending.clear(); }

    // Identifier of the last whole event, empty if none had one.
    const std::string& lastId() const { return m_lastId; }

private:
    std::string m_pending;
    std::string m_lastId;
};

} // namespace orioletrail
