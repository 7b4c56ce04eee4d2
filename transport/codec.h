// Wire format of messages. A frame is a four-byte big-endian payload length, followed by the
// payload: one byte with the message kind (the index in the Message variant) and the fields in the
// format of CAF's binary serializer.
#pragma once

#include "transport/message.h"

#include <span>

namespace orioletrail {

inline constexpr size_t frameHeaderBytes = 4;
// Payloads beyond this size are rejected before they are read or decoded.
inline constexpr size_t maxFrameBytes = 4 * 1024 * 1024;

// Appends the message to `out` as one frame, header included.
void encode(const Message&, std::vector<char>& out);

// Returns the payload size in bytes that a frame header announces, or std::nullopt if it is 0 or
// above maxFrameBytes.
std::optional<size_t> payloadSize(std::span<const char, frameHeaderBytes>);

// Decodes a payload, without the frame header. If it is malformed or holds an unknown kind or enum
// value, returns std::nullopt and sets `reason`.
std::optional<Message> decode(std::span<const char>, std::string& reason);

} // namespace orioletrail
