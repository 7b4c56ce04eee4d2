// HTTP/1.1 server and pooled client, with requests and responses as plain structs.
#pragma once

#include "base/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace orioletrail {

class MemoryGuard;

template <class T = void>
using Task = boost::asio::awaitable<T>;

struct HttpRequest {
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;

    // The first value of a header, by case-insensitive name, or an empty view.
    std::string_view header(std::string_view name) const;

    // The target without its query string.
    std::string_view path() const;

    // The value of the first query parameter with this name, not percent-decoded, or an empty view.
    std::string_view query(std::string_view name) const;
};

struct HttpResponse {
    unsigned status = 200;
    HeaderList headers;
    std::string body;
};

// What marks the end of a response body.
enum class BodyFraming : uint8_t {
    // No head has been received.
    Unknown,
    // The Content-Length header, or a status that has no body.
    Length,
    // The last chunk of the chunked encoding.
    Chunks,
    // The end of the connection. The sender may have ended it early.
    Connection
};

// Lower-case name of a framing in logs and metrics.
std::string_view bodyFramingName(BodyFraming);

// Writes the response to one request: either complete with respond(), or in parts with begin(),
// chunk() and end().
class Responder {
public:
    virtual ~Responder() = default;

    // Sends a complete response. Aborts a response that begin() has begun.
    virtual Task<> respond(const HttpResponse&) = 0;

    // Sends the status line and headers of a response in parts, whose end is marked by the last
    // chunk or by the end of the connection.
    virtual Task<> begin(unsigned status, const HeaderList&, BodyFraming = BodyFraming::Chunks) = 0;

    // Sends one chunk; completes once it is written to the socket. Returns false if the connection
    // has failed. An empty chunk is not sent.
    virtual Task<bool> chunk(std::string_view) = 0;

    // Marks the response as complete.
    virtual Task<> end() = 0;

    // Ends the connection in a way that shows the client that the response is incomplete.
    virtual void abort() = 0;

    // Sets the callback that runs once when the client closes the connection; replaces an earlier
    // callback.
    virtual void onClientDisconnect(std::function<void()>) = 0;

    // Number of the client's connection, unique among all connections that the server has accepted.
    virtual uint64_t connectionNumber() const = 0;

    // Reserves memory for an answer that the handler keeps, in all `bytes` of it so far. Returns false if the process
    // has none at the moment.
    virtual bool holdAnswer(size_t bytes) = 0;

    // Names the client account whose request it is, in the accounting of memory.
    virtual void setAccount(std::string_view) = 0;
};

using HttpHandler = std::function<Task<>(const HttpRequest&, Responder&)>;

struct HttpLimits {
    size_t maxHeaderBytes = 16 * 1024;
    size_t maxBodyBytes = 1024 * 1024;
    // For receiving a complete request, from its first byte on.
    Millis receiveTimeout { 15'000 };
    // How long a connection may wait for the first byte of the next request.
    Millis idleTimeout { 15'000 };
    // Connections beyond this number are answered with 503 and closed.
    size_t maxConnections = 10'000;
    // Copies of a body that the handler makes, which are reserved with it.
    size_t bodyCopies = 0;
};

// Accepts HTTP/1.1 connections and runs the handler, for one request at a time per connection.
class HttpServer {
public:
    // Makes the response to a connection beyond the limit or a request that is malformed, too large
    // or too slow.
    using ErrorResponseFactory = std::function<HttpResponse(unsigned status, Reason)>;

    HttpServer(boost::asio::any_io_executor, HttpLimits, HttpHandler, ErrorResponseFactory);
    ~HttpServer();

    // Binds to an IP address and starts accepting; port 0 selects a free port. Returns the bound
    // port. On failure, returns std::nullopt and sets lastError().
    std::optional<uint16_t> listen(std::string_view address, uint16_t port);

    // Bounds the memory and number of connections, together with other servers of the process. Call it before
    // listen().
    void setMemory(std::shared_ptr<MemoryGuard>);

    // Replaces the limits; open connections apply them from their next request on.
    void setLimits(const HttpLimits&);

    // Keeps accepting, but closes each connection after its next response.
    void closeAfterResponses();

    // Stops accepting. Requests in progress continue; each connection closes after its response.
    void stopAccepting();

    // As stopAccepting(), and closes the connections that wait for a request. A request of which a part has been
    // received is still received and handled.
    void stopReading();

    // The number of requests whose handler is running.
    size_t inProgress() const;

    // The number of requests of which a part has been received.
    size_t receiving() const;

    const std::string& lastError() const { return m_lastError; }

    struct State;

private:
    std::shared_ptr<State> m_state;
    std::string m_lastError;
};

// Why a call of HttpClient failed.
enum class HttpFailure : uint8_t {
    None,
    // Connecting failed or the call was cancelled meanwhile; nothing was sent.
    Connect,
    // The connection failed after it was established; the request may have been sent.
    ConnectionLost,
    // No complete response within HttpCall::timeout; the request may have been sent.
    Timeout,
    // Cancelled through HttpCall::token; the request may have been sent.
    Cancelled,
    // The bytes received are not a response in HTTP, or more than the call takes; the request was
    // sent.
    BadResponse,
    // The body ended where its content is incomplete; the request was sent.
    Truncated
};

struct HttpResult {
    HttpFailure failure = HttpFailure::None;
    BodyFraming framing = BodyFraming::Unknown;
    // Connecting failed because nothing listens at the address.
    bool isRefused = false;
    // The call used a pooled connection that had carried earlier calls.
    bool usedPooledConnection = false;
    // Responses that were dropped because they name another request.
    uint32_t droppedResponses = 0;
    unsigned status = 0;
    HeaderList headers;
    std::string body;

    bool ok() const { return failure == HttpFailure::None; }
};

// Receives a response as it arrives. The client reads on only after a hook has completed, so slow
// hooks slow down the sender through TCP flow control.
struct HttpStreamHooks {
    std::function<Task<>(unsigned status, const HeaderList&)> head;
    // Returning false ends the call with BadResponse.
    std::function<Task<bool>(std::string_view)> chunk;
    // Called at the end of the body. Returning false ends the call with Truncated. Optional.
    std::function<bool(BodyFraming)> isComplete;
};

// Cancels a call in progress. Not thread-safe: use it on the client's executor.
class CancellationToken {
public:
    void cancel()
    {
        m_cancelled = true;
        if (m_onCancel)
            m_onCancel();
    }
    bool isCancelled() const { return m_cancelled; }
    // Sets the action of cancel(). Used by HttpClient.
    void onCancel(std::function<void()> hook) { m_onCancel = std::move(hook); }

private:
    bool m_cancelled = false;
    std::function<void()> m_onCancel;
};

struct HttpCall {
    HttpRequest request;
    // For sending the request and receiving the complete response; connecting has its own limit.
    Millis timeout { 10'000 };
    // For connecting; the lower of this and `timeout` applies.
    Millis connectTimeout { 10'000 };
    // Allows an idle pooled connection. Set to false for a request that must not run twice, since
    // the peer may close an idle connection while the request is in flight.
    bool allowReuse = true;
    // Pooled connections that have been idle for longer are closed instead of reused.
    Millis maxIdle { 60'000 };
    std::shared_ptr<CancellationToken> token;
    // Limit for a body that is buffered or dropped, but not for one that is passed to hooks.
    size_t maxBodyBytes = size_t { 1 } << 20;
};

// Identifies a request; a server repeats it in its response.
inline constexpr std::string_view requestIdHeader = "X-Request-Id";

// Adds an id that no other request has. For requests that are not sent in place of a caller's.
void addRequestId(HttpRequest&);

// Sends requests to one server over a pool of keep-alive connections.
//
// A faulty server may send a second copy of a response later, where that to the next request is due.
// Responses are therefore matched to requests by their X-Request-Id: one that names another request is
// dropped, and one that names none is accepted only as the first on its connection, which no request with
// an id uses after that. A request is never sent on a connection that has carried one with the same id
// before. Requests without an id take the first response that names none.
class HttpClient {
public:
    // A connection from which nothing comes for a second is probed, and counts as lost after this many unanswered
    // probes, one a second. Fewer show a silent connection sooner, but end more of them on links that lose packets.
    static constexpr int defaultProbes = 3;

    HttpClient(boost::asio::any_io_executor, std::string_view address, uint16_t port, int probes = defaultProbes);
    ~HttpClient();

    // Longest time until a silent connection counts as lost.
    Millis silenceLimit() const;

    // Sends the request and returns the complete response.
    Task<HttpResult> call(HttpCall);

    // Like call(), but passes the response to the hooks as it arrives and leaves the result's body
    // empty.
    Task<HttpResult> stream(HttpCall, HttpStreamHooks);

    // Opens a connection, which a later call may use. Returns false if it is refused, as it is when
    // no process listens, and true if it is not, or if that is still unknown after the timeout.
    Task<bool> isListening(Millis timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

// Returns the headers that a proxy forwards: all but the hop-by-hop headers (RFC 9110, section
// 7.6.1), Content-Length, Host, Expect and Proxy-Authorization.
HeaderList endToEndHeaders(const HeaderList&);

// The first value of a header, by case-insensitive name, or an empty view.
std::string_view findHeader(const HeaderList&, std::string_view name);

// Splits "IP:PORT". Returns std::nullopt if it is malformed.
std::optional<std::pair<std::string, uint16_t>> parseAddress(std::string_view);

} // namespace orioletrail
