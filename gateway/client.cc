// The HTTP client on Boost.Beast.
#include "base/digest.h"
#include "gateway/async.h"
#include "gateway/http.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
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
    // Bounds the ids that a connection keeps.
    constexpr size_t maxRequestsPerConnection = 1000;
    // An idle connection is dropped this long before the peer's announced keep-alive timeout, so
    // that the peer does not close it while a request is in flight.
    constexpr Millis keepAliveMargin { 500 };
    // Interim responses and responses to other requests that are skipped before the connection is
    // dropped.
    constexpr int maxSkippedResponses = 4;
    constexpr size_t readBufferBytes = 16 * 1024;
    // A process that ends may close its connections before its listening socket, and then resets a new
    // connection, so each one is watched for a while. A server that is full does the same.
    constexpr int listenChecks = 3;
    constexpr Millis listenCheckPause { 10 };
    // Limits what one element of a response may take, such as its head, a chunk header or the trailer.
    constexpr size_t maxElementBytes = 64 * 1024;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned firstFinalStatus = 200;

    // A connection, with bytes read ahead and its idle time.
    struct PooledStream {
        explicit PooledStream(const asio::any_io_executor& executor)
            : m_stream(executor)
        {
        }

        boost::beast::tcp_stream m_stream;
        boost::beast::flat_buffer m_buffer { maxElementBytes };
        TimePoint m_lastUsed = Clock::now();
        // The peer's keep-alive timeout, if it announced one.
        std::optional<Millis> m_peerKeepAlive;
        // Hashes of the ids of all requests that were sent on the connection.
        std::vector<uint64_t> m_requestIds;
        // A response has been received on the connection.
        bool m_hasResponse = false;
        // One of them named no request.
        bool m_hasUnnamedResponse = false;
    };

    using StreamPtr = std::shared_ptr<PooledStream>;

    constexpr int keepAliveIdleSeconds = 1;
    constexpr int keepAliveIntervalSeconds = 1;

    // Configures TCP keep-alive so that the kernel closes a connection after some seconds without any
    // packet from the peer. Calls may take longer than that while the peer's host is reachable.
    void enableDeadPeerDetection(int socket, int probes)
    {
        constexpr int idleSeconds = keepAliveIdleSeconds;
        constexpr int intervalSeconds = keepAliveIntervalSeconds;
        constexpr int on = 1;
        // How long sent data may stay unacknowledged: the duration of the probes, but enough for some
        // retransmissions.
        constexpr int minUserTimeoutSeconds = 2;
        constexpr unsigned millisPerSecond = 1000;
        const unsigned userTimeoutMillis = millisPerSecond * static_cast<unsigned>(std::max(minUserTimeoutSeconds, probes * intervalSeconds));
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMillis, sizeof userTimeoutMillis);
        setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof idleSeconds);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof intervalSeconds);
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    }

    // Closes a connection with a TCP reset, which discards a request that the peer has not read
    // yet. After an orderly close the peer would still run it, although its client has gone.
    void closeWithReset(PooledStream& stream)
    {
        error_code ignored;
        stream.m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream.m_stream.close();
    }

    HttpFailure classifyFailure(const error_code& error, const std::shared_ptr<CancellationToken>& token)
    {
        if (token && token->isCancelled())
            return HttpFailure::Cancelled;
        const bool isParseError = error.category() == http::make_error_code(http::error::bad_value).category();
        if (isParseError && error != http::error::end_of_stream && error != http::error::partial_message)
            return HttpFailure::BadResponse;
        return error == boost::beast::error::timeout ? HttpFailure::Timeout : HttpFailure::ConnectionLost;
    }

    template <class Fields>
    HeaderList toHeaderList(const Fields& fields)
    {
        HeaderList headers;
        for (const auto& field : fields)
            headers.emplace_back(field.name_string(), field.value());
        return headers;
    }

} // namespace detail

struct HttpClient::State {
    State(asio::any_io_executor executor, std::string_view address, uint16_t port, int probes)
        : m_executor(std::move(executor))
        , m_endpoint(asio::ip::make_address(address), port)
        , m_probes(probes)
    {
    }

    // Removes and returns the most recently used idle connection that is still open, has received no
    // bytes since its last response, and on which no late copy of an earlier response could be taken for
    // that to this request; null if there is none. Closes those that cannot be used any more.
    detail::StreamPtr takeIdle(Millis maxIdle, std::optional<uint64_t> requestId)
    {
        for (size_t index = m_idle.size(); index-- > 0;) {
            detail::StreamPtr stream = m_idle[index];
            const auto idle = Clock::now() - stream->m_lastUsed;
            const bool isExpired = idle > maxIdle || (stream->m_peerKeepAlive && idle + detail::keepAliveMargin > *stream->m_peerKeepAlive);
            const bool isUsable = !isExpired && isOpenAndQuiet(*stream);
            const bool mayHoldCopy = requestId && (stream->m_hasUnnamedResponse || std::ranges::find(stream->m_requestIds, *requestId) != stream->m_requestIds.end());
            if (isUsable && mayHoldCopy)
                continue;
            m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(index));
            if (isUsable)
                return stream;
        }
        return nullptr;
    }

    // True if the connection is open and no bytes wait to be read.
    static bool isOpenAndQuiet(detail::PooledStream& stream)
    {
        char byte = 0;
        error_code error;
        stream.m_stream.socket().non_blocking(true, error);
        stream.m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    Task<detail::StreamPtr> connect(Millis timeout, error_code& error)
    {
        auto stream = std::make_shared<detail::PooledStream>(m_executor);
        stream->m_stream.expires_after(timeout);
        co_await stream->m_stream.async_connect(m_endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            stream->m_stream.socket().set_option(tcp::no_delay(true), error);
            detail::enableDeadPeerDetection(stream->m_stream.socket().native_handle(), m_probes);
        }
        co_return stream;
    }

    // Returns a connection to the pool, or closes it if the pool is full.
    void returnToPool(const detail::StreamPtr& stream)
    {
        if (m_idle.size() >= detail::maxIdleConnections || stream->m_requestIds.size() >= detail::maxRequestsPerConnection)
            return;
        stream->m_lastUsed = Clock::now();
        m_idle.push_back(stream);
    }

    asio::any_io_executor m_executor;
    tcp::endpoint m_endpoint;
    int m_probes;
    std::vector<detail::StreamPtr> m_idle;
};

namespace detail {

    http::request<http::string_body> toBeastRequest(HttpRequest&& request, const tcp::endpoint& endpoint)
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

    // Returns an empty view if the message has no id.
    template <class Message>
    std::string_view requestIdOf(const Message& message)
    {
        const auto field = message.find(requestIdHeader);
        return field == message.end() ? std::string_view() : std::string_view(field->value());
    }

    using ResponseParser = http::response_parser<http::buffer_body>;

    // Whether status and framing are those of an answer that the request asked for. The parser takes any
    // three digits for a status, and an unknown transfer coding for a body that ends with its connection.
    bool isValidHead(const ResponseParser& parser)
    {
        constexpr unsigned firstStatus = 100;
        constexpr unsigned lastStatus = 599;
        constexpr unsigned http11 = 11;
        const auto& head = parser.get();
        const unsigned status = head.result_int();
        if (status < firstStatus || status > lastStatus || status == switchingProtocols)
            return false;
        const size_t codings = head.count(http::field::transfer_encoding);
        if (!codings)
            return true;
        return codings == 1 && head.version() == http11 && boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
    }

    // Reads the body and passes each block of data to the chunk hook as it arrives.
    Task<error_code> readBody(PooledStream& stream, ResponseParser& parser, const HttpStreamHooks& hooks)
    {
        std::vector<char> buffer(readBufferBytes);
        while (!parser.is_done()) {
            parser.get().body().data = buffer.data();
            parser.get().body().size = buffer.size();
            parser.get().body().more = true;
            error_code error;
            co_await http::async_read_some(stream.m_stream, stream.m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                co_return error;
            const size_t bytes = buffer.size() - parser.get().body().size;
            if (bytes && !co_await hooks.chunk({ buffer.data(), bytes }))
                co_return http::error::body_limit;
        }
        co_return error_code();
    }

    // Whether a line of a head begins with a blank, which continues the field before it (RFC 9112, section 5.2). A
    // faulty server may mean another field. `text` starts at the beginning of a line.
    bool hasFoldedLine(std::string_view text)
    {
        constexpr std::string_view lineEnd = "\r\n";
        while (!text.starts_with(lineEnd)) {
            const size_t end = text.find(lineEnd);
            if (end == std::string_view::npos)
                return false;
            text.remove_prefix(end + lineEnd.size());
            if (text.starts_with(' ') || text.starts_with('\t'))
                return true;
        }
        return false;
    }

    // Reads a head into the parser. Bytes behind it stay in the buffer.
    Task<error_code> readHead(PooledStream& stream, ResponseParser& parser)
    {
        auto& buffer = stream.m_buffer;
        while (!parser.is_header_done()) {
            error_code error;
            const auto received = buffer.cdata();
            if (received.size()) {
                if (hasFoldedLine({ static_cast<const char*>(received.data()), received.size() }))
                    co_return http::error::bad_field;
                buffer.consume(parser.put(received, error));
                if (error && error != http::error::need_more)
                    co_return error;
                if (parser.is_header_done())
                    break;
            }
            const size_t wanted = boost::beast::read_size(buffer, readBufferBytes);
            if (!wanted)
                co_return http::error::buffer_overflow;
            error = {};
            const size_t bytes = co_await stream.m_stream.async_read_some(buffer.prepare(wanted), asio::redirect_error(asio::use_awaitable, error));
            buffer.commit(bytes);
            if (error)
                co_return error;
        }
        co_return error_code();
    }

    // Reads up to the headers of the response that belongs to the request; skips interim responses
    // and responses to other requests. `requestId` is empty if the request has no id.
    Task<error_code> readFinalHead(PooledStream& stream, std::optional<ResponseParser>& parser, const HttpCall& call, const std::string& requestId, HttpResult& result)
    {
        HttpStreamHooks discardHooks;
        size_t discarded = 0;
        discardHooks.chunk = [&](std::string_view data) -> Task<bool> { co_return (discarded += data.size()) <= call.maxBodyBytes; };
        for (int skipped = 0; skipped < maxSkippedResponses; ++skipped) {
            parser.emplace();
            parser->body_limit(boost::none);
            error_code error = co_await readHead(stream, *parser);
            if (error)
                co_return error;
            if (!isValidHead(*parser))
                co_return http::error::bad_status;
            // Interim responses (RFC 9110, section 15.2) precede the final one.
            if (parser->get().result_int() < firstFinalStatus)
                continue;
            const std::string_view named = requestIdOf(parser->get());
            if (named.empty() && !requestId.empty() && stream.m_hasResponse)
                co_return http::error::bad_field;
            stream.m_hasResponse = true;
            stream.m_hasUnnamedResponse = stream.m_hasUnnamedResponse || named.empty();
            if (named.empty() || named == requestId)
                co_return error_code();
            ++result.droppedResponses;
            error = co_await readBody(stream, *parser, discardHooks);
            if (error || !parser->keep_alive())
                co_return error ? error : asio::error::eof;
        }
        co_return http::error::bad_status;
    }

    // Sends the request and passes the response to the hooks.
    Task<error_code> exchange(PooledStream& stream, const http::request<http::string_body>& message,
        std::optional<ResponseParser>& parser, const HttpCall& call, const HttpStreamHooks& hooks, HttpResult& result)
    {
        error_code error;
        co_await http::async_write(stream.m_stream, message, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return error;
        const std::string requestId(requestIdOf(message));
        error = co_await readFinalHead(stream, parser, call, requestId, result);
        if (error)
            co_return error;
        // The parser adds fields behind the last chunk to those of the head.
        result.headers = toHeaderList(parser->get());
        co_await hooks.head(parser->get().result_int(), result.headers);
        co_return co_await readBody(stream, *parser, hooks);
    }

    BodyFraming framingOf(const std::optional<ResponseParser>& parser)
    {
        if (!parser || !parser->is_header_done())
            return BodyFraming::Unknown;
        if (parser->need_eof())
            return BodyFraming::Connection;
        return parser->chunked() ? BodyFraming::Chunks : BodyFraming::Length;
    }

    // Parses "timeout=N", in seconds, of a Keep-Alive header.
    std::optional<Millis> parseKeepAliveTimeout(std::string_view header)
    {
        constexpr std::string_view name = "timeout=";
        const size_t at = header.find(name);
        unsigned seconds = 0;
        if (at == std::string_view::npos || std::from_chars(header.data() + at + name.size(), header.data() + header.size(), seconds).ec != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace detail

HttpClient::HttpClient(asio::any_io_executor executor, std::string_view address, uint16_t port, int probes)
    : m_state(std::make_shared<State>(std::move(executor), address, port, probes))
{
}

Millis HttpClient::silenceLimit() const
{
    return std::chrono::seconds(detail::keepAliveIdleSeconds + m_state->m_probes * detail::keepAliveIntervalSeconds);
}

HttpClient::~HttpClient() = default;

Task<HttpResult> HttpClient::stream(HttpCall call, HttpStreamHooks hooks)
{
    const std::shared_ptr<State> state = m_state;
    HttpResult result;
    const std::string_view requestId = call.request.header(requestIdHeader);
    const auto idHash = requestId.empty() ? std::nullopt : std::optional(hash64(requestId));
    detail::StreamPtr stream = call.allowReuse ? state->takeIdle(call.maxIdle, idHash) : nullptr;
    result.usedPooledConnection = stream != nullptr;
    if (!stream) {
        error_code error;
        stream = co_await state->connect(std::min(call.timeout, call.connectTimeout), error);
        if (error || (call.token && call.token->isCancelled())) {
            result.failure = HttpFailure::Connect;
            result.isRefused = error == asio::error::connection_refused;
            co_return result;
        }
    }
    if (call.token)
        call.token->onCancel([stream] { detail::closeWithReset(*stream); });
    if (idHash)
        stream->m_requestIds.push_back(*idHash);
    const auto message = detail::toBeastRequest(std::move(call.request), state->m_endpoint);
    std::optional<detail::ResponseParser> parser;
    stream->m_stream.expires_after(call.timeout);
    const error_code error = co_await detail::exchange(*stream, message, parser, call, hooks, result);
    if (call.token)
        call.token->onCancel(nullptr);
    result.framing = detail::framingOf(parser);
    if (error) {
        result.failure = detail::classifyFailure(error, call.token);
        result.headers.clear();
        detail::closeWithReset(*stream);
        co_return result;
    }
    if (hooks.isComplete && !hooks.isComplete(result.framing)) {
        result.failure = HttpFailure::Truncated;
        result.headers.clear();
        detail::closeWithReset(*stream);
        co_return result;
    }
    result.status = parser->get().result_int();
    stream->m_stream.expires_never();
    stream->m_peerKeepAlive = detail::parseKeepAliveTimeout(findHeader(result.headers, "Keep-Alive"));
    // A connection with bytes after the response is not reused, since they match no request.
    const bool mayBeReused = !idHash || !stream->m_hasUnnamedResponse;
    if (parser->keep_alive() && !stream->m_buffer.size() && mayBeReused)
        state->returnToPool(stream);
    co_return result;
}

Task<bool> HttpClient::isListening(Millis timeout)
{
    const std::shared_ptr<State> state = m_state;
    for (int attempt = 0; attempt < detail::listenChecks; ++attempt) {
        error_code error;
        const detail::StreamPtr stream = co_await state->connect(timeout, error);
        if (error)
            co_return error != asio::error::connection_refused;
        co_await sleepFor(detail::listenCheckPause);
        if (State::isOpenAndQuiet(*stream)) {
            stream->m_stream.expires_never();
            state->returnToPool(stream);
            co_return true;
        }
    }
    co_return true;
}

Task<HttpResult> HttpClient::call(HttpCall call)
{
    std::string body;
    HttpStreamHooks hooks;
    hooks.head = [](unsigned, const HeaderList&) -> Task<> { co_return; };
    hooks.chunk = [&body, limit = call.maxBodyBytes](std::string_view data) -> Task<bool> {
        body += data;
        co_return body.size() <= limit;
    };
    HttpResult result = co_await stream(std::move(call), std::move(hooks));
    result.body = std::move(body);
    co_return result;
}

} // namespace orioletrail
