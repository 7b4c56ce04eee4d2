// HTTP requests and answers as plain data, and the interfaces of the server and the client.
#pragma once

#include "base/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace orioletrail {

template <class T = void>
using Task = boost::asio::awaitable<T>;

struct HttpRequest {
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;

    // As findHeader().
    std::string_view header(std::string_view name) const;

    // The target without its query.
    std::string_view path() const;

    // The value of a query parameter, not percent-decoded, or an empty view.
    std::string_view query(std::string_view name) const;
};

struct HttpAnswer {
    unsigned status = 200;
    HeaderList headers;
    std::string body;
};

// Writes the answer to one request: either a whole one, or a head, chunks and an end.
class Responder {
public:
    virtual ~Responder() = default;

    // Sends a whole answer.
    virtual Task<> respond(const HttpAnswer&) = 0;

    // Sends the head of a chunked answer.
    virtual Task<> begin(unsigned status, const HeaderList&) = 0;

    // Sends one chunk; completes when the socket has taken it. False if the caller has gone.
    virtual Task<bool> chunk(std::string_view) = 0;

    // Ends a chunked answer as complete.
    virtual Task<> end() = 0;

    // Cuts the connection, so that the caller sees a chunked answer as incomplete.
    virtual void abort() = 0;

    // Sets a callback for when the caller closes its side. At most one is kept.
    virtual void onCallerGone(std::function<void()>) = 0;
};

using HttpHandler = std::function<Task<>(const HttpRequest&, Responder&)>;

struct HttpLimits {
    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = 1024 * 1024;
    // For a request to arrive whole, from its first byte on.
    Millis receiveTimeout { 15'000 };
    // For the first byte of the next request.
    Millis idleTimeout { 15'000 };
    size_t connections = 10'000;
};

// Accepts HTTP/1.1 connections and runs the handler for one request at a time on each.
class HttpServer {
public:
    // Makes the answer to a request that breaks a limit or is malformed.
    using RefusalHook = std::function<HttpAnswer(unsigned status, Reason)>;

    HttpServer(boost::asio::any_io_executor, HttpLimits, HttpHandler, RefusalHook);
    ~HttpServer();

    // Starts accepting. Returns the bound port, or nothing with lastError() set.
    std::optional<uint16_t> listen(std::string_view address, uint16_t port);

    // Replaces the limits; they bind from the next request of each connection on.
    void setLimits(const HttpLimits&);

    // Goes on accepting, but closes each connection after its next answer.
    void closeAfterAnswers();

    // Stops accepting. Requests in progress go on; each connection closes after its answer.
    void stopAccepting();

    // Requests that a handler is running now.
    size_t inProgress() const;

    const std::string& lastError() const { return m_lastError; }

    struct State;

private:
    std::shared_ptr<State> m_state;
    std::string m_lastError;
};

// Why a call by the client failed.
enum class HttpFailure : uint8_t {
    None,
    // The connection was never made, so nothing was sent.
    Connect,
    // Something may have been sent.
    Lost,
    Timeout,
    Cancelled
};

struct HttpResult {
    HttpFailure failure = HttpFailure::None;
    // The call went over a connection that had served others before.
    bool reused = false;
    unsigned status = 0;
    HeaderList headers;
    std::string body;

    bool ok() const { return failure == HttpFailure::None; }
};

// Receives an answer piece by piece; a hook that takes its time holds back the sender.
struct HttpStreamHooks {
    std::function<Task<>(unsigned status, const HeaderList&)> head;
    std::function<Task<>(std::string_view)> chunk;
};

// Cancels a call that is under way.
class HttpCallToken {
public:
    void cancel()
    {
        m_cancelled = true;
        if (m_onCancel)
            m_onCancel();
    }
    bool isCancelled() const { return m_cancelled; }
    void onCancel(std::function<void()> hook) { m_onCancel = std::move(hook); }

private:
    bool m_cancelled = false;
    std::function<void()> m_onCancel;
};

struct HttpCall {
    HttpRequest request;
    Millis timeout { 10'000 };
    Millis connectTimeout { 10'000 };
    // Take an idle connection if there is one. Off for a request that must not run twice,
    // since a reused connection may be closed by the peer while the request is on its way.
    bool reuse = true;
    // An idle connection that has not been used for longer is closed instead.
    Millis maxIdle { 60'000 };
    // False if an answer belongs to another request: it is read and dropped, and the next one is
    // taken. Unset if every answer is taken.
    std::function<bool(unsigned status, const HeaderList&)> belongs;
    std::shared_ptr<HttpCallToken> token;
};

// Calls one server over a pool of connections.
class HttpClient {
public:
    HttpClient(boost::asio::any_io_executor, std::string_view address, uint16_t port);
    ~HttpClient();

    // The whole answer.
    Task<HttpResult> call(HttpCall);

    // As call(), but hands the body to the hooks; the result's body stays empty.
    Task<HttpResult> stream(HttpCall, HttpStreamHooks);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

// The headers without those that concern one connection only (RFC 9110, section 7.6.1),
// the body's length and the host.
HeaderList endToEndHeaders(const HeaderList&);

// The first value of a header, by case-insensitive name, or an empty view.
std::string_view findHeader(const HeaderList&, std::string_view name);

// Splits "IP:PORT". Nothing if it is malformed.
std::optional<std::pair<std::string, uint16_t>> parseAddress(std::string_view);

} // namespace orioletrail
