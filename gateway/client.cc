// The HTTP client on Boost.Beast.
#include "gateway/http.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace orioletrail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace detail {

    constexpr size_t maxIdleConnections = 256;
    // An idle connection is given up so long before its peer closes it, so that a request on its
    // way does not cross the close.
    constexpr Millis keepAliveMargin { 500 };
    // Answers to other requests that are dropped before the connection is given up.
    constexpr int mostStrayAnswers = 4;
    constexpr size_t readBytes = 16 * 1024;

    struct PooledStream {
        explicit PooledStream(const asio::any_io_executor& executor)
            : m_stream(executor)
        {
        }

        boost::beast::tcp_stream m_stream;
        boost::beast::flat_buffer m_buffer;
        TimePoint m_lastUsed = Clock::now();
        // How long the peer says that it keeps the connection.
        std::optional<Millis> m_peerKeeps;
    };

    using StreamPtr = std::shared_ptr<PooledStream>;

    // Has the kernel end a connection whose other end has not been heard of for about four
    // seconds, though a call on it may take longer.
    void detectSilence(int socket)
    {
        constexpr int idleSeconds = 1;
        constexpr int intervalSeconds = 1;
        constexpr int probes = 3;
        constexpr int on = 1;
        // Bytes that the other end does not acknowledge; matches the time of the probes.
        constexpr unsigned unacknowledgedMillis = 3000;
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedMillis, sizeof unacknowledgedMillis);
        setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    }

    // Ends a connection with a reset, so that a peer that has not read the request yet never will:
    // an orderly close would leave it to be run after its caller has gone.
    void reset(PooledStream& stream)
    {
        error_code ignored;
        stream.m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream.m_stream.close();
    }

    HttpFailure failureOf(const error_code& error, const std::shared_ptr<HttpCallToken>& token)
    {
        if (token && token->isCancelled())
            return HttpFailure::Cancelled;
        return error == boost::beast::error::timeout ? HttpFailure::Timeout : HttpFailure::Lost;
    }

    template <class Fields>
    HeaderList toHeaders(const Fields& fields)
    {
        HeaderList headers;
        for (const auto& field : fields)
            headers.emplace_back(field.name_string(), field.value());
        return headers;
    }

} // namespace detail

struct HttpClient::State {
    State(asio::any_io_executor executor, std::string_view address, uint16_t port)
        : m_executor(std::move(executor))
        , m_endpoint(asio::ip::make_address(address), port)
    {
    }

    // A kept connection that its peer has not closed and on which nothing has arrived, or nothing.
    detail::StreamPtr takeIdle(Millis maxIdle)
    {
        while (!m_idle.empty()) {
            detail::StreamPtr stream = std::move(m_idle.back());
            m_idle.pop_back();
            const auto idle = Clock::now() - stream->m_lastUsed;
            if (idle > maxIdle || (stream->m_peerKeeps && idle + detail::keepAliveMargin > *stream->m_peerKeeps))
                continue;
            char byte = 0;
            error_code error;
            stream->m_stream.socket().non_blocking(true, error);
            stream->m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            if (error == asio::error::would_block)
                return stream;
        }
        return nullptr;
    }

    Task<detail::StreamPtr> connect(Millis timeout, error_code& error)
    {
        auto stream = std::make_shared<detail::PooledStream>(m_executor);
        stream->m_stream.expires_after(timeout);
        co_await stream->m_stream.async_connect(m_endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            stream->m_stream.socket().set_option(tcp::no_delay(true), error);
            detail::detectSilence(stream->m_stream.socket().native_handle());
        }
        co_return stream;
    }

    void keep(const detail::StreamPtr& stream)
    {
        if (m_idle.size() >= detail::maxIdleConnections)
            return;
        stream->m_lastUsed = Clock::now();
        m_idle.push_back(stream);
    }

    asio::any_io_executor m_executor;
    tcp::endpoint m_endpoint;
    std::vector<detail::StreamPtr> m_idle;
};

namespace detail {

    http::request<http::string_body> toMessage(HttpRequest&& request, const tcp::endpoint& endpoint)
    {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        for (const auto& [name, value] : request.headers)
            message.insert(name, value);
        if (!message.count(http::field::host))
            message.set(http::field::host, endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
        message.body() = std::move(request.body);
        message.prepare_payload();
        return message;
    }

    // Reads the body in pieces and hands each to the hook.
    Task<error_code> readBody(PooledStream& stream, http::response_parser<http::buffer_body>& parser, const HttpStreamHooks& hooks)
    {
        std::vector<char> piece(readBytes);
        while (!parser.is_done()) {
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            parser.get().body().more = true;
            error_code error;
            co_await http::async_read_some(stream.m_stream, stream.m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                co_return error;
            const size_t bytes = piece.size() - parser.get().body().size;
            if (bytes)
                co_await hooks.chunk({ piece.data(), bytes });
        }
        co_return error_code();
    }

    // Reads the head of the answer that belongs to the request; others before it are dropped.
    Task<error_code> readHead(PooledStream& stream, std::optional<http::response_parser<http::buffer_body>>& parser, const HttpCall& call)
    {
        HttpStreamHooks drop;
        drop.chunk = [](std::string_view) -> Task<> { co_return; };
        for (int stray = 0; stray < mostStrayAnswers; ++stray) {
            parser.emplace();
            parser->body_limit(boost::none);
            error_code error;
            co_await http::async_read_header(stream.m_stream, stream.m_buffer, *parser, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return error;
            // Interim answers (RFC 9110, section 15.2) precede the one that is waited for.
            if (parser->get().result_int() < 200)
                continue;
            if (!call.belongs || call.belongs(parser->get().result_int(), toHeaders(parser->get())))
                co_return error_code();
            error = co_await readBody(stream, *parser, drop);
            if (error || !parser->keep_alive())
                co_return error ? error : asio::error::eof;
        }
        co_return asio::error::invalid_argument;
    }

    Task<error_code> exchange(PooledStream& stream, const http::request<http::string_body>& message,
        std::optional<http::response_parser<http::buffer_body>>& parser, const HttpCall& call, const HttpStreamHooks& hooks)
    {
        error_code error;
        co_await http::async_write(stream.m_stream, message, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error;
        error = co_await readHead(stream, parser, call);
        if (error)
            co_return error;
        co_await hooks.head(parser->get().result_int(), toHeaders(parser->get()));
        co_return co_await readBody(stream, *parser, hooks);
    }

    // The time in "timeout=N" of a Keep-Alive header, if there is one.
    std::optional<Millis> peerKeeps(std::string_view header)
    {
        constexpr std::string_view name = "timeout=";
        const size_t at = header.find(name);
        unsigned seconds = 0;
        if (at == std::string_view::npos || std::from_chars(header.data() + at + name.size(), header.data() + header.size(), seconds).ec != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace detail

HttpClient::HttpClient(asio::any_io_executor executor, std::string_view address, uint16_t port)
    : m_state(std::make_shared<State>(std::move(executor), address, port))
{
}

HttpClient::~HttpClient() = default;

Task<HttpResult> HttpClient::stream(HttpCall call, HttpStreamHooks hooks)
{
    const std::shared_ptr<State> state = m_state;
    HttpResult result;
    detail::StreamPtr stream = call.reuse ? state->takeIdle(call.maxIdle) : nullptr;
    result.reused = stream != nullptr;
    if (!stream) {
        error_code error;
        stream = co_await state->connect(std::min(call.timeout, call.connectTimeout), error);
        if (error || (call.token && call.token->isCancelled())) {
            result.failure = HttpFailure::Connect;
            co_return result;
        }
    }
    if (call.token)
        call.token->onCancel([stream] { detail::reset(*stream); });
    const auto message = detail::toMessage(std::move(call.request), state->m_endpoint);
    std::optional<http::response_parser<http::buffer_body>> parser;
    stream->m_stream.expires_after(call.timeout);
    const error_code error = co_await detail::exchange(*stream, message, parser, call, hooks);
    if (call.token)
        call.token->onCancel(nullptr);
    if (error) {
        result.failure = detail::failureOf(error, call.token);
        detail::reset(*stream);
        co_return result;
    }
    result.status = parser->get().result_int();
    result.headers = detail::toHeaders(parser->get());
    stream->m_stream.expires_never();
    stream->m_peerKeeps = detail::peerKeeps(findHeader(result.headers, "Keep-Alive"));
    // Bytes after the answer belong to no request.
    if (parser->keep_alive() && !stream->m_buffer.size())
        state->keep(stream);
    co_return result;
}

Task<HttpResult> HttpClient::call(HttpCall call)
{
    std::string body;
    HttpStreamHooks hooks;
    hooks.head = [](unsigned, const HeaderList&) -> Task<> { co_return; };
    hooks.chunk = [&body](std::string_view piece) -> Task<> {
        body += piece;
        co_return;
    };
    HttpResult result = co_await stream(std::move(call), std::move(hooks));
    result.body = std::move(body);
    co_return result;
}

} // namespace orioletrail
