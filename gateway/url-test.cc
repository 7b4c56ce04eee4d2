#include "gateway/url.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("text in any bytes is encoded to plain characters and decoded to itself")
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes += static_cast<char>(byte);
    const std::string encoded = percentEncode(bytes);
    CHECK(encoded.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~%") == std::string::npos);
    CHECK(percentDecode(encoded) == bytes);
    CHECK(percentDecodeQuery(encoded) == bytes);
    CHECK(percentEncode("").empty());
}

TEST_CASE("only in a query a plus sign stands for a blank")
{
    CHECK(percentDecode("a+b%2Bc") == "a+b+c");
    CHECK(percentDecodeQuery("a+b%2Bc") == "a b+c");
}

TEST_CASE("a malformed escape is not decoded")
{
    for (const char* text : { "%", "%4", "a%zz", "%-1", "%+1", "%4%41" }) {
        CAPTURE(text);
        CHECK_FALSE(percentDecode(text));
        CHECK_FALSE(percentDecodeQuery(text));
    }
}
