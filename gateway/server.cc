// The HTTP server on Boost.Beast.
#include "gateway/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace orioletrail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(asio::any_io_executor executor, HttpLimits limits, HttpHandler handler, ErrorResponseFactory makeErrorResponse)
        : m_acceptor(executor)
        , m_limits(limits)
        , m_handler(std::move(handler))
        , m_makeErrorResponse(std::move(makeErrorResponse))
    {
    }

    tcp::acceptor m_acceptor;
    HttpLimits m_limits;
    HttpHandler m_handler;
    ErrorResponseFactory m_makeErrorResponse;
    size_t m_connections = 0;
    uint64_t m_acceptedConnections = 0;
    size_t m_inProgress = 0;
    bool m_stopping = false;
    bool m_closeAfterResponse = false;
};

namespace detail {

    constexpr Millis sendTimeout { 30'000 };
    // Limits on reading the rest of a rejected request.
    constexpr Millis discardTimeout { 2000 };
    constexpr size_t firstReadBytes = 4096;
    constexpr size_t discardBufferBytes = 64 * 1024;
    constexpr size_t maxDiscardedBytes = 16 * 1024 * 1024;

    // Writes one response and, while the handler runs, watches for the client closing the
    // connection.
    class SocketResponder final : public Responder, public std::enable_shared_from_this<SocketResponder> {
    public:
        // `acceptsChunks` is false for clients of HTTP/1.0.
        SocketResponder(boost::beast::tcp_stream& stream, uint64_t connectionNumber, bool keepAlive, bool acceptsChunks = true)
            : m_stream(stream)
            , m_connectionNumber(connectionNumber)
            , m_keepAlive(keepAlive)
            , m_acceptsChunks(acceptsChunks)
        {
        }

        Task<> respond(const HttpResponse& answer) override
        {
            // A second head would be taken for a part of the response that has begun.
            if (m_headSent && !m_ended) {
                abort();
                co_return;
            }
            http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
            setHeaders(response, answer.headers);
            response.body() = answer.body;
            response.prepare_payload();
            m_headSent = m_ended = true;
            m_stream.expires_after(sendTimeout);
            error_code error;
            co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, error));
            m_failed = m_failed || error;
        }

        Task<> begin(unsigned status, const HeaderList& headers, BodyFraming framing) override
        {
            m_endsWithConnection = framing == BodyFraming::Connection || !m_acceptsChunks;
            m_keepAlive = m_keepAlive && !m_endsWithConnection;
            http::response<http::empty_body> response(static_cast<http::status>(status), 11);
            setHeaders(response, headers);
            response.chunked(!m_endsWithConnection);
            m_headSent = true;
            http::response_serializer<http::empty_body> serializer(response);
            m_stream.expires_after(sendTimeout);
            error_code error;
            co_await http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
            m_failed = m_failed || error;
        }

        Task<bool> chunk(std::string_view data) override
        {
            if (m_failed || data.empty())
                co_return !m_failed;
            m_stream.expires_after(sendTimeout);
            error_code error;
            if (m_endsWithConnection)
                co_await asio::async_write(m_stream, asio::buffer(data), asio::redirect_error(asio::use_awaitable, error));
            else
                co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(data)), asio::redirect_error(asio::use_awaitable, error));
            m_failed = m_failed || error;
            co_return !m_failed;
        }

        Task<> end() override
        {
            m_ended = true;
            error_code error;
            if (!m_failed && !m_endsWithConnection)
                co_await asio::async_write(m_stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, error));
            m_failed = m_failed || error;
        }

        void abort() override
        {
            m_failed = true;
            error_code ignored;
            // Only a reset shows that a response that ends with its connection is incomplete.
            if (m_endsWithConnection) {
                m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
                m_stream.socket().close(ignored);
            } else {
                m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
            }
        }

        void onClientDisconnect(std::function<void()> callback) override
        {
            m_onDisconnect = std::move(callback);
            watchForDisconnect();
        }

        uint64_t connectionNumber() const override { return m_connectionNumber; }

        // Drops the callback and stops watching for the client closing the connection.
        void stopWatching()
        {
            m_onDisconnect = nullptr;
            if (m_watching)
                m_stream.socket().cancel();
        }

        void closeAfterResponse() { m_keepAlive = false; }
        bool isHeadSent() const { return m_headSent; }
        bool canReuseConnection() const { return m_keepAlive && m_ended && !m_failed; }

    private:
        template <class Response>
        void setHeaders(Response& response, const HeaderList& headers)
        {
            for (const auto& [name, value] : headers)
                response.set(name, value);
            response.keep_alive(m_keepAlive);
        }

        // Waits until the socket is readable, which during a request means either a pipelined
        // request or a closed connection; peeks at one byte to tell them apart.
        void watchForDisconnect()
        {
            if (m_watching)
                return;
            m_watching = true;
            m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
                self->m_watching = false;
                if (error || !self->m_onDisconnect)
                    return;
                char byte = 0;
                error_code peekError;
                self->m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
                if (peekError && peekError != asio::error::would_block)
                    std::exchange(self->m_onDisconnect, nullptr)();
            });
        }

        boost::beast::tcp_stream& m_stream;
        std::function<void()> m_onDisconnect;
        uint64_t m_connectionNumber;
        bool m_keepAlive;
        bool m_acceptsChunks;
        bool m_headSent = false;
        bool m_ended = false;
        bool m_failed = false;
        bool m_watching = false;
        // The end of the connection marks the end of the response.
        bool m_endsWithConnection = false;
    };

    HttpRequest toHttpRequest(http::request<http::string_body>&& message)
    {
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.emplace_back(field.name_string(), field.value());
        request.body = std::move(message.body());
        return request;
    }

    // The HTTP status and reason for a request that could not be read.
    std::pair<unsigned, Reason> rejectionFor(const error_code& error)
    {
        if (error == http::error::header_limit || error == http::error::buffer_overflow)
            return { 431, Reason::HeaderTooLarge };
        if (error == http::error::body_limit)
            return { 413, Reason::BodyTooLarge };
        if (error == boost::beast::error::timeout)
            return { 408, Reason::BadRequest };
        return { 400, Reason::BadRequest };
    }

    using ServerState = std::shared_ptr<HttpServer::State>;

    // Reads and drops what the client is still sending: closing a socket with unread input resets
    // the connection, and the client could lose the response.
    Task<> discardInput(boost::beast::tcp_stream& stream)
    {
        error_code error;
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
        std::vector<char> buffer(discardBufferBytes);
        stream.expires_after(discardTimeout);
        for (size_t discarded = 0; !error && discarded < maxDiscardedBytes;)
            discarded += co_await stream.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    }

    // Sends an error response and discards the rest of the request.
    Task<> reject(const ServerState& state, boost::beast::tcp_stream& stream, uint64_t connectionNumber, unsigned status, Reason reason)
    {
        auto responder = std::make_shared<SocketResponder>(stream, connectionNumber, false);
        co_await responder->respond(state->m_makeErrorResponse(status, reason));
        co_await discardInput(stream);
    }

    // Reads one request and runs the handler. Returns false if the connection is to be closed.
    Task<bool> serveRequest(const ServerState& state, boost::beast::tcp_stream& stream, uint64_t connectionNumber, boost::beast::flat_buffer& buffer)
    {
        error_code error;
        if (!buffer.size()) {
            stream.expires_after(state->m_limits.idleTimeout);
            const size_t bytes = co_await stream.async_read_some(buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return false;
            buffer.commit(bytes);
        }
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(state->m_limits.maxHeaderBytes));
        parser.body_limit(state->m_limits.maxBodyBytes);
        stream.expires_after(state->m_limits.receiveTimeout);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            const bool isIdle = !parser.got_some();
            if (!isIdle && error != asio::error::connection_reset) {
                const auto [status, reason] = rejectionFor(error);
                stream.expires_after(sendTimeout);
                co_await reject(state, stream, connectionNumber, status, reason);
            }
            co_return false;
        }
        stream.expires_never();
        constexpr unsigned http11 = 11;
        const bool acceptsChunks = parser.get().version() >= http11;
        const bool keepAlive = parser.get().keep_alive() && !state->m_stopping && !state->m_closeAfterResponse;
        const HttpRequest request = toHttpRequest(parser.release());
        auto responder = std::make_shared<SocketResponder>(stream, connectionNumber, keepAlive, acceptsChunks);
        ++state->m_inProgress;
        co_await state->m_handler(request, *responder);
        --state->m_inProgress;
        responder->stopWatching();
        co_return responder->canReuseConnection() && !state->m_stopping && !state->m_closeAfterResponse;
    }

    Task<> serveConnection(ServerState state, tcp::socket socket)
    {
        const uint64_t connectionNumber = ++state->m_acceptedConnections;
        boost::beast::tcp_stream stream(std::move(socket));
        boost::beast::flat_buffer buffer(state->m_limits.maxHeaderBytes + state->m_limits.maxBodyBytes);
        error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        if (state->m_connections > state->m_limits.maxConnections)
            co_await reject(state, stream, connectionNumber, 503, Reason::NoCapacity);
        else
            while (co_await serveRequest(state, stream, connectionNumber, buffer)) { }
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        --state->m_connections;
    }

    Task<> acceptLoop(ServerState state)
    {
        while (!state->m_stopping) {
            error_code error;
            tcp::socket socket = co_await state->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                continue;
            ++state->m_connections;
            asio::co_spawn(state->m_acceptor.get_executor(), serveConnection(state, std::move(socket)), asio::detached);
        }
    }

} // namespace detail

HttpServer::HttpServer(asio::any_io_executor executor, HttpLimits limits, HttpHandler handler, ErrorResponseFactory makeErrorResponse)
    : m_state(std::make_shared<State>(executor, limits, std::move(handler), std::move(makeErrorResponse)))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

std::optional<uint16_t> HttpServer::listen(std::string_view address, uint16_t port)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address, error), port);
    tcp::acceptor& acceptor = m_state->m_acceptor;
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error) {
        m_lastError = "cannot listen on " + std::string(address) + ":" + std::to_string(port) + ": " + error.message();
        return std::nullopt;
    }
    asio::co_spawn(acceptor.get_executor(), detail::acceptLoop(m_state), asio::detached);
    return acceptor.local_endpoint().port();
}

void HttpServer::setLimits(const HttpLimits& limits)
{
    m_state->m_limits = limits;
}

void HttpServer::closeAfterResponses()
{
    m_state->m_closeAfterResponse = true;
}

void HttpServer::stopAccepting()
{
    m_state->m_stopping = true;
    error_code ignored;
    m_state->m_acceptor.close(ignored);
}

size_t HttpServer::inProgress() const
{
    return m_state->m_inProgress;
}

} // namespace orioletrail
