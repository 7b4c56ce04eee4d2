#include "tests/raw-endpoint.h"

#include "gateway/async.h"
#include "tests/process.h"

#include <atomic>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <thread>

namespace orioletrail::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

struct RawEndpoint::State {
    State(Handler answerRequest, uint16_t port)
        : handler(std::move(answerRequest))
        , acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port))
    {
        asio::co_spawn(context, acceptLoop(), asio::detached);
        thread = std::thread([this] { context.run(); });
    }

    ~State()
    {
        context.stop();
        thread.join();
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    Task<> acceptLoop()
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (!error)
                asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    Task<> serve(tcp::socket socket)
    {
        boost::system::error_code error;
        std::string received;
        while (true) {
            const size_t headBytes = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            const std::string head = received.substr(0, headBytes);
            received.erase(0, headBytes);
            const std::string length = field(head, "Content-Length");
            const size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
            if (received.size() < bodyBytes)
                co_await asio::async_read(socket, asio::dynamic_buffer(received), asio::transfer_exactly(bodyBytes - received.size()), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            received.erase(0, bodyBytes);
            ++requests;
            const Answer answer = handler(head);
            if (answer.delay > Millis(0))
                co_await sleepFor(answer.delay);
            co_await asio::async_write(socket, asio::buffer(answer.bytes), asio::redirect_error(asio::use_awaitable, error));
            while (!error && !answer.repeated.empty())
                co_await asio::async_write(socket, asio::buffer(answer.repeated), asio::redirect_error(asio::use_awaitable, error));
            if (error || answer.closesConnection)
                co_return;
        }
    }

    Handler handler;
    asio::io_context context { 1 };
    tcp::acceptor acceptor;
    std::atomic<size_t> requests { 0 };
    std::thread thread;
};

RawEndpoint::RawEndpoint(Handler handler, uint16_t port)
    : m_state(std::make_unique<State>(std::move(handler), port))
{
}

RawEndpoint::~RawEndpoint() = default;

std::string RawEndpoint::address() const
{
    return localAddress(m_state->acceptor.local_endpoint().port());
}

size_t RawEndpoint::requestCount() const
{
    return m_state->requests;
}

std::string RawEndpoint::field(const std::string& head, const std::string& name)
{
    for (size_t line = head.find("\r\n"); line != std::string::npos; line = head.find("\r\n", line + 2)) {
        const size_t end = head.find("\r\n", line + 2);
        const std::string text = head.substr(line + 2, end == std::string::npos ? end : end - line - 2);
        if (boost::istarts_with(text, name + ": "))
            return text.substr(name.size() + 2);
    }
    return {};
}

} // namespace orioletrail::tests
