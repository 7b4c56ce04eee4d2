// Encodes messages with CAF's binary serializer. One frame on the wire is a four-byte
// big-endian length, a one-byte message kind and the serialized fields.
#pragma once

#include "transport/message.h"

#include <span>

namespace orioletrail {

inline constexpr size_t frameHeaderBytes = 4;
// Larger frames are refused before anything is decoded.
inline constexpr size_t maxFrameBytes = 4 * 1024 * 1024;

// Appends one frame to `out`.
void encode(const Message&, std::vector<char>& out);

// The size of the payload announced by a frame header, or nothing if it is out of bounds.
std::optional<size_t> payloadSize(std::span<const char, frameHeaderBytes>);

// Decodes a payload without its header. Nothing, with `reason` set, if it is malformed.
std::optional<Message> decode(std::span<const char>, std::string& reason);

} // namespace orioletrail
