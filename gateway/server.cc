// The HTTP server on Boost.Beast.
#include "gateway/http.h"

#include "gateway/async.h"
#include "memory/guard.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <set>

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
    std::shared_ptr<MemoryGuard> m_memory;
    // Input that is dropped, of all connections.
    std::vector<char> m_discardBuffer;
    size_t m_connections = 0;
    size_t m_rejecting = 0;
    uint64_t m_acceptedConnections = 0;
    size_t m_inProgress = 0;
    size_t m_receiving = 0;
    // Connections that wait for a request.
    std::set<boost::beast::tcp_stream*> m_idle;
    bool m_stopping = false;
    bool m_stopReading = false;
    bool m_closeAfterResponse = false;
};

namespace detail {

    constexpr Millis sendTimeout { 30'000 };
    // Limits on reading the rest of a rejected request.
    constexpr Millis discardTimeout { 2000 };
    constexpr size_t firstReadBytes = 4096;
    constexpr unsigned unavailable = 503;
    constexpr size_t discardBufferBytes = 64 * 1024;
    constexpr size_t maxDiscardedBytes = 16 * 1024 * 1024;
    // Most that one call reads of a request.
    constexpr size_t readBytes = 16 * 1024;
    // Most by which a chunked body grows at once, so that little is reserved in vain.
    constexpr size_t maxBodyGrowth = 256 * 1024;
    // Most that is written until progress is noted.
    constexpr size_t writeBytes = 64 * 1024;
    // Socket, timers, coroutines and the first buffer of a connection.
    constexpr size_t bytesPerConnection = 16 * 1024;
    // How long a reservation waits for connections that are being cut off.
    constexpr int memoryChecks = 20;
    constexpr Millis memoryCheckInterval { 5 };
    // Connections beyond the limit that are answered with 503 at the same time; further ones wait to be accepted.
    constexpr size_t maxRejecting = 8;
    constexpr Millis acceptPause { 10 };

    // How much memory of the process a connection holds; releases it in the end. Without a guard everything is granted.
    class ConnectionMemory {
    public:
        ConnectionMemory(std::shared_ptr<MemoryGuard> guard, boost::beast::tcp_stream& stream)
            : m_guard(std::move(guard))
            , m_control(std::make_shared<Control>(stream))
        {
            if (!m_guard)
                return;
            error_code ignored;
            const std::string client = stream.socket().remote_endpoint(ignored).address().to_string();
            m_holder = m_guard->open(client, [executor = stream.get_executor(), control = m_control, weak = std::weak_ptr(m_guard), this] {
                asio::post(executor, [control, weak, this] {
                    const std::shared_ptr<MemoryGuard> shared = weak.lock();
                    if (shared && control->stream && shared->isCutOff(m_holder))
                        cutOff();
                });
            });
            m_guard->count(m_holder, MemoryKind::Connection, bytesPerConnection);
        }

        ~ConnectionMemory()
        {
            m_control->stream = nullptr;
            if (m_guard)
                m_guard->close(m_holder);
        }

        ConnectionMemory(const ConnectionMemory&) = delete;
        ConnectionMemory& operator=(const ConnectionMemory&) = delete;

        // Raises what is held of this kind to the given number. Waits briefly if connections are being cut off for it.
        Task<MemoryDecision::Kind> holdAtLeast(MemoryKind kind, size_t bytes)
        {
            size_t& held = m_held[static_cast<size_t>(kind)];
            if (!m_guard || bytes <= held)
                co_return MemoryDecision::Kind::Granted;
            MemoryDecision::Kind decision = MemoryDecision::Kind::Wait;
            for (int check = 0; decision == MemoryDecision::Kind::Wait && check < memoryChecks; ++check) {
                decision = m_guard->reserve(m_holder, kind, bytes - held);
                if (decision == MemoryDecision::Kind::Wait)
                    co_await sleepFor(memoryCheckInterval);
            }
            if (decision == MemoryDecision::Kind::Granted)
                held = bytes;
            else
                m_guard->countRefusal(m_holder);
            co_return decision;
        }

        // Tries to raise what is held of this kind, without waiting.
        bool tryHold(MemoryKind kind, size_t bytes)
        {
            size_t& held = m_held[static_cast<size_t>(kind)];
            if (!m_guard || bytes <= held)
                return true;
            if (m_guard->reserve(m_holder, kind, bytes - held) != MemoryDecision::Kind::Granted)
                return false;
            held = bytes;
            return true;
        }

        void release(MemoryKind kind)
        {
            if (const size_t held = std::exchange(m_held[static_cast<size_t>(kind)], 0); m_guard && held)
                m_guard->release(m_holder, kind, held);
        }

        void setPhase(ConnectionPhase phase)
        {
            if (m_guard)
                m_guard->setPhase(m_holder, phase);
        }

        void onProgress(size_t bytes)
        {
            if (m_guard && bytes)
                m_guard->onProgress(m_holder, bytes);
        }

        void setAccount(std::string_view account)
        {
            if (m_guard)
                m_guard->setAccount(m_holder, account);
        }

        bool wasCutOff() const { return m_wasCutOff; }

    private:
        // Keeps the hook of the guard from using a connection that has ended.
        struct Control {
            explicit Control(boost::beast::tcp_stream& given)
                : stream(&given)
            {
            }
            boost::beast::tcp_stream* stream;
        };

        void cutOff()
        {
            m_wasCutOff = true;
            m_control->stream->cancel();
        }

        std::shared_ptr<MemoryGuard> m_guard;
        std::shared_ptr<Control> m_control;
        MemoryGuard::Holder m_holder = 0;
        std::array<size_t, static_cast<size_t>(MemoryKind::Count)> m_held {};
        bool m_wasCutOff = false;
    };

    // Writes one response and, while the handler runs, watches for the client closing the
    // connection.
    class SocketResponder final : public Responder, public std::enable_shared_from_this<SocketResponder> {
    public:
        // `acceptsChunks` is false for clients of HTTP/1.0.
        SocketResponder(boost::beast::tcp_stream& stream, ConnectionMemory& memory, uint64_t connectionNumber, bool keepAlive, bool acceptsChunks = true)
            : m_stream(stream)
            , m_memory(memory)
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
            http::response<http::span_body<const char>> response(static_cast<http::status>(answer.status), 11);
            setHeaders(response, answer.headers);
            response.body() = { answer.body.data(), answer.body.size() };
            response.prepare_payload();
            m_headSent = m_ended = true;
            m_stream.expires_after(sendTimeout);
            http::response_serializer<http::span_body<const char>> serializer(response);
            serializer.limit(writeBytes);
            const Sending sending(m_memory);
            error_code error;
            while (!error && !serializer.is_done())
                m_memory.onProgress(co_await http::async_write_some(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error)));
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
            const Sending sending(m_memory);
            auto reportProgress = [&memory = m_memory, written = size_t { 0 }](const error_code& failure, size_t total) mutable -> size_t {
                memory.onProgress(total - std::exchange(written, total));
                return failure ? 0 : writeBytes;
            };
            error_code error;
            if (m_endsWithConnection)
                co_await asio::async_write(m_stream, asio::buffer(data), reportProgress, asio::redirect_error(asio::use_awaitable, error));
            else
                co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(data)), reportProgress, asio::redirect_error(asio::use_awaitable, error));
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

        bool holdAnswer(size_t bytes) override { return m_memory.tryHold(MemoryKind::Answer, bytes); }

        void setAccount(std::string_view account) override { m_memory.setAccount(account); }

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
        // A part of the answer is being written.
        struct Sending {
            explicit Sending(ConnectionMemory& given)
                : memory(given)
            {
                memory.setPhase(ConnectionPhase::Sending);
            }
            ~Sending() { memory.setPhase(ConnectionPhase::Running); }
            Sending(const Sending&) = delete;
            Sending& operator=(const Sending&) = delete;
            ConnectionMemory& memory;
        };

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
        ConnectionMemory& m_memory;
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
        if (error == boost::system::errc::not_enough_memory)
            return { 503, Reason::NoCapacity };
        return { 400, Reason::BadRequest };
    }

    using ServerState = std::shared_ptr<HttpServer::State>;

    // Reads and drops what the client is still sending: closing a socket with unread input resets
    // the connection, and the client could lose the response.
    Task<> discardInput(const ServerState& state, boost::beast::tcp_stream& stream)
    {
        error_code error;
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
        state->m_discardBuffer.resize(discardBufferBytes);
        stream.expires_after(discardTimeout);
        for (size_t discarded = 0; !error && discarded < maxDiscardedBytes;)
            discarded += co_await stream.async_read_some(asio::buffer(state->m_discardBuffer), asio::redirect_error(asio::use_awaitable, error));
    }

    // Sends an error response and discards the rest of the request.
    Task<> reject(const ServerState& state, boost::beast::tcp_stream& stream, ConnectionMemory& memory, uint64_t connectionNumber, unsigned status, Reason reason)
    {
        {
            auto responder = std::make_shared<SocketResponder>(stream, memory, connectionNumber, false);
            HttpResponse response = state->m_makeErrorResponse(status, reason);
            if (status == unavailable && findHeader(response.headers, "Retry-After").empty())
                response.headers.emplace_back("Retry-After", "1");
            co_await responder->respond(response);
        }
        co_await discardInput(state, stream);
    }

    error_code outOfMemory()
    {
        return boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    }

    using RequestParser = http::request_parser<http::string_body>;

    // Receives one request into the parser. `buffer` holds what has been read ahead. Memory is reserved before it is
    // used: for an announced body at once, for a chunked one as it grows.
    Task<error_code> receive(const ServerState& state, boost::beast::tcp_stream& stream, ConnectionMemory& memory, boost::beast::flat_buffer& buffer, RequestParser& parser)
    {
        const size_t copies = 1 + state->m_limits.bodyCopies;
        bool hasAnnouncedBody = false;
        while (true) {
            error_code error;
            if (buffer.size()) {
                if (parser.is_header_done() && !hasAnnouncedBody) {
                    std::string& body = parser.get().body();
                    const size_t needed = body.size() + buffer.size();
                    if (needed > body.capacity()) {
                        const size_t capacity = std::max(needed, std::min(2 * body.capacity(), body.capacity() + maxBodyGrowth));
                        if (co_await memory.holdAtLeast(MemoryKind::Body, capacity * copies) != MemoryDecision::Kind::Granted)
                            co_return outOfMemory();
                        body.reserve(capacity);
                    }
                }
                buffer.consume(parser.put(buffer.data(), error));
                if (error && error != http::error::need_more)
                    co_return error;
                if (parser.is_done())
                    co_return error_code();
                // Until the head is complete, the parser stops behind it.
                if (parser.is_header_done() && !parser.eager()) {
                    parser.eager(true);
                    hasAnnouncedBody = parser.content_length().has_value();
                    if (hasAnnouncedBody && co_await memory.holdAtLeast(MemoryKind::Body, *parser.content_length() * copies) != MemoryDecision::Kind::Granted)
                        co_return outOfMemory();
                    continue;
                }
            }
            const size_t room = buffer.max_size() - buffer.size();
            if (!room)
                co_return http::error::buffer_overflow;
            // Input beyond the first block is counted in steps.
            const size_t wanted = std::min(room, readBytes);
            if (buffer.size() + wanted > firstReadBytes && co_await memory.holdAtLeast(MemoryKind::Head, buffer.size() + wanted) != MemoryDecision::Kind::Granted)
                co_return outOfMemory();
            // The reservation may have waited.
            if (memory.wasCutOff())
                co_return asio::error::operation_aborted;
            error = {};
            const size_t bytes = co_await stream.async_read_some(buffer.prepare(wanted), asio::redirect_error(asio::use_awaitable, error));
            buffer.commit(bytes);
            if (error == asio::error::eof && parser.got_some()) {
                parser.put_eof(error);
                co_return error ? error : error_code(http::error::partial_message);
            }
            if (error)
                co_return error;
            memory.onProgress(bytes);
        }
    }

    // Reads one request and runs the handler. Returns false if the connection is to be closed.
    Task<bool> serveRequest(const ServerState& state, boost::beast::tcp_stream& stream, ConnectionMemory& memory, uint64_t connectionNumber, boost::beast::flat_buffer& buffer)
    {
        error_code error;
        if (!buffer.size()) {
            if (state->m_stopReading)
                co_return false;
            buffer.shrink_to_fit();
            memory.release(MemoryKind::Head);
            memory.setPhase(ConnectionPhase::Idle);
            stream.expires_after(state->m_limits.idleTimeout);
            state->m_idle.insert(&stream);
            const size_t bytes = co_await stream.async_read_some(buffer.prepare(firstReadBytes), asio::redirect_error(asio::use_awaitable, error));
            state->m_idle.erase(&stream);
            if (error)
                co_return false;
            buffer.commit(bytes);
        }
        memory.setPhase(ConnectionPhase::Receiving);
        memory.onProgress(buffer.size());
        auto parser = std::make_unique<RequestParser>();
        parser->header_limit(static_cast<std::uint32_t>(state->m_limits.maxHeaderBytes));
        parser->body_limit(state->m_limits.maxBodyBytes);
        stream.expires_after(state->m_limits.receiveTimeout);
        ++state->m_receiving;
        error = co_await receive(state, stream, memory, buffer, *parser);
        --state->m_receiving;
        if (error) {
            const bool isIdle = !parser->got_some();
            const auto [status, reason] = memory.wasCutOff() ? std::pair(408U, Reason::BadRequest) : rejectionFor(error);
            // What the request held is free before the client takes the response.
            parser = nullptr;
            buffer.clear();
            buffer.shrink_to_fit();
            memory.release(MemoryKind::Body);
            memory.release(MemoryKind::Head);
            if ((!isIdle && error != asio::error::connection_reset) || memory.wasCutOff()) {
                stream.expires_after(sendTimeout);
                co_await reject(state, stream, memory, connectionNumber, status, reason);
            }
            co_return false;
        }
        stream.expires_never();
        memory.setPhase(ConnectionPhase::Running);
        constexpr unsigned http11 = 11;
        const bool acceptsChunks = parser->get().version() >= http11;
        const bool keepAlive = parser->get().keep_alive() && !state->m_stopping && !state->m_closeAfterResponse;
        const HttpRequest request = toHttpRequest(parser->release());
        parser = nullptr;
        auto responder = std::make_shared<SocketResponder>(stream, memory, connectionNumber, keepAlive, acceptsChunks);
        ++state->m_inProgress;
        co_await state->m_handler(request, *responder);
        --state->m_inProgress;
        responder->stopWatching();
        memory.release(MemoryKind::Body);
        memory.release(MemoryKind::Answer);
        co_return responder->canReuseConnection() && !state->m_stopping && !state->m_closeAfterResponse;
    }

    Task<> serveConnection(ServerState state, tcp::socket socket, bool isBeyondLimit)
    {
        const uint64_t connectionNumber = ++state->m_acceptedConnections;
        boost::beast::tcp_stream stream(std::move(socket));
        error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        {
            ConnectionMemory memory(state->m_memory, stream);
            // Holds a head, and reads ahead no more than one block of a body.
            boost::beast::flat_buffer buffer(state->m_limits.maxHeaderBytes + readBytes);
            if (isBeyondLimit)
                co_await reject(state, stream, memory, connectionNumber, 503, Reason::NoCapacity);
            else
                while (co_await serveRequest(state, stream, memory, connectionNumber, buffer)) { }
            stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            stream.close();
        }
        --state->m_connections;
        if (isBeyondLimit)
            --state->m_rejecting;
    }

    Task<> acceptLoop(ServerState state)
    {
        while (!state->m_stopping) {
            const auto mayOpen = state->m_memory ? state->m_memory->mayOpen() : MemoryDecision::Kind::Granted;
            const bool isBeyondLimit = mayOpen != MemoryDecision::Kind::Granted;
            if (mayOpen == MemoryDecision::Kind::Wait || (isBeyondLimit && state->m_rejecting >= maxRejecting)) {
                co_await sleepFor(acceptPause);
                continue;
            }
            error_code error;
            tcp::socket socket = co_await state->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                // Descriptors may have run out; the connection stays in the queue meanwhile.
                if (!state->m_stopping)
                    co_await sleepFor(acceptPause);
                continue;
            }
            ++state->m_connections;
            const bool isRejected = isBeyondLimit || state->m_connections > state->m_limits.maxConnections;
            state->m_rejecting += isRejected ? 1 : 0;
            asio::co_spawn(state->m_acceptor.get_executor(), serveConnection(state, std::move(socket), isRejected), asio::detached);
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

void HttpServer::setMemory(std::shared_ptr<MemoryGuard> memory)
{
    m_state->m_memory = std::move(memory);
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

void HttpServer::stopReading()
{
    stopAccepting();
    m_state->m_stopReading = true;
    for (boost::beast::tcp_stream* stream : m_state->m_idle)
        stream->cancel();
}

size_t HttpServer::receiving() const
{
    return m_state->m_receiving;
}

size_t HttpServer::inProgress() const
{
    return m_state->m_inProgress;
}

} // namespace orioletrail
