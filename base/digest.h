// Digests and rendezvous scores, computed by OpenSSL and xxHash.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletrail {

// SHA-256 of the text, as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view);

// XXH3 of the text, 64 bits. Stable across processes and versions of this program.
uint64_t hash64(std::string_view, uint64_t seed = 0);

// Score of `member` for `key` in rendezvous hashing; the highest score owns the key.
uint64_t rendezvousScore(std::string_view key, std::string_view member);

} // namespace orioletrail
