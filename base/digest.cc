#include "base/digest.h"

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace orioletrail {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(size * 2);
    for (unsigned i = 0; i < size; ++i) {
        hex += digits[digest[i] >> 4];
        hex += digits[digest[i] & 15];
    }
    return hex;
}

uint64_t hash64(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return hash64(member, hash64(key));
}

} // namespace orioletrail
