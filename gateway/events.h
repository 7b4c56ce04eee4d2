// Splits a stream of server-sent events (SSE) at event boundaries.
#pragma once

#include <string>
#include <string_view>

namespace orioletrail {

// Buffers an incomplete event until the empty line that ends it arrives.
class EventSplitter {
public:
    // Appends received bytes and returns all events that are now complete, byte for byte as
    // received, or an empty string if there are none. Updates lastId().
    std::string push(std::string_view);

    // The bytes received so far of an incomplete event.
    const std::string& remainder() const { return m_pending; }

    // True if the remainder holds part of an event. Empty lines and comments are none.
    bool isWithinEvent() const;

    // Discards the incomplete event, since an endpoint that takes over the stream sends it from its
    // beginning.
    void dropRemainder();

    // The most recent "id" field among all complete events, or an empty string if none had one. Also empty if that one
    // cannot be sent as the value of a header, so that a stream does not go on from an earlier event.
    const std::string& lastId() const { return m_lastId; }

private:
    std::string m_pending;
    // Offset in m_pending before which all line ends are known, and that of the line it is in.
    size_t m_scanned = 0;
    size_t m_lineStart = 0;
    std::string m_lastId;
};

} // namespace orioletrail
