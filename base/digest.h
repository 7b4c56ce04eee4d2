// Digests and hashes, computed with OpenSSL and xxHash.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletrail {

// Returns the SHA-256 digest of the text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view);

// Returns the 64-bit XXH3 hash of the text. All processes and releases compute the same value.
uint64_t hash64(std::string_view, uint64_t seed = 0);

// Returns the score of `member` for `key` in rendezvous hashing: the member with the highest
// score owns the key.
uint64_t rendezvousScore(std::string_view key, std::string_view member);

} // namespace orioletrail
