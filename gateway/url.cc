#include "gateway/url.h"

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
// Boost.URL is compiled here, so that the build needs its headers only.
#include <boost/url/src.hpp>

namespace orioletrail {

namespace detail {

    std::optional<std::string> decode(std::string_view text, bool plusIsBlank)
    {
        const auto encoded = boost::urls::make_pct_string_view({ text.data(), text.size() });
        if (!encoded)
            return std::nullopt;
        boost::urls::encoding_opts options;
        options.space_as_plus = plusIsBlank;
        return encoded->decode(options);
    }

} // namespace detail

std::string percentEncode(std::string_view text)
{
    return boost::urls::encode({ text.data(), text.size() }, boost::urls::unreserved_chars);
}

std::optional<std::string> percentDecode(std::string_view text)
{
    return detail::decode(text, false);
}

std::optional<std::string> percentDecodeQuery(std::string_view text)
{
    return detail::decode(text, true);
}

} // namespace orioletrail
