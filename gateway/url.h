// Percent-encoding of names in request targets (RFC 3986, section 2.1).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace orioletrail {

// Encodes all bytes but letters, digits, '-', '.', '_' and '~'. The result is one path segment, or the name or value of
// one query parameter, to any server.
std::string percentEncode(std::string_view);

// Returns nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view);

// As percentDecode(), for the name or value of a query parameter, in which a plus sign stands for a blank.
std::optional<std::string> percentDecodeQuery(std::string_view);

} // namespace orioletrail
