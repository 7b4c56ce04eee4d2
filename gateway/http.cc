#include "gateway/http.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <random>

namespace orioletrail {

namespace detail {

    constexpr std::array<std::string_view, 11> notForwardedHeaders = { "connection", "keep-alive", "proxy-connection",
        "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "expect", "proxy-authorization" };

} // namespace detail

std::string_view bodyFramingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Unknown:
        break;
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "chunks";
    case BodyFraming::Connection:
        return "connection";
    }
    return "unknown";
}

HeaderList endToEndHeaders(const HeaderList& headers)
{
    HeaderList forwarded;
    for (const auto& header : headers) {
        const bool isExcluded = std::any_of(detail::notForwardedHeaders.begin(), detail::notForwardedHeaders.end(),
            [&](std::string_view name) { return boost::iequals(header.first, name); });
        if (!isExcluded)
            forwarded.push_back(header);
    }
    return forwarded;
}

std::string_view findHeader(const HeaderList& headers, std::string_view name)
{
    for (const auto& [field, value] : headers)
        if (boost::iequals(field, name))
            return value;
    return {};
}

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const
{
    size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::string_view rest = std::string_view(target).substr(at + 1);
        const size_t next = rest.find('&');
        const std::string_view pair = rest.substr(0, next);
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        at = next == std::string_view::npos ? std::string::npos : at + 1 + next;
    }
    return {};
}

void addRequestId(HttpRequest& request)
{
    static thread_local std::mt19937_64 random { std::random_device {}() };
    request.headers.emplace_back(std::string(requestIdHeader), std::to_string(random()) + '-' + std::to_string(random()));
}

std::optional<std::pair<std::string, uint16_t>> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string host(text.substr(0, colon));
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return std::pair(std::move(host), port);
}

} // namespace orioletrail
