#include "gateway/async.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace orioletrail {

namespace asio = boost::asio;

Task<> sleepFor(Millis duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Task<> runAll(std::vector<Task<>> tasks)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer ended(executor, asio::steady_timer::time_point::max());
    size_t running = tasks.size();
    const auto onEnded = [&](std::exception_ptr error) {
        if (error)
            std::rethrow_exception(error);
        if (!--running)
            ended.cancel();
    };
    for (Task<>& task : tasks)
        asio::co_spawn(executor, std::move(task), onEnded);
    while (running) {
        boost::system::error_code ignored;
        co_await ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

Millis withJitter(Millis delay)
{
    static thread_local std::mt19937_64 random { std::random_device {}() };
    return Millis(std::uniform_int_distribution<Millis::rep>(delay.count() / 2, delay.count())(random));
}

bool checkAddresses(std::span<const AddressFlag> addresses, std::string& reason)
{
    for (const auto& [flag, value] : addresses) {
        if (!parseAddress(value)) {
            reason = std::string(flag) + ": \"" + std::string(value) + "\" is not an address of the form IP:PORT";
            return false;
        }
    }
    return true;
}

bool listenOn(asio::ip::tcp::acceptor& acceptor, const AddressFlag& address, std::string& reason)
{
    const auto parsed = parseAddress(address.value);
    boost::system::error_code error;
    if (!parsed) {
        reason = std::string(address.flag) + ": not an address";
        return false;
    }
    const asio::ip::tcp::endpoint local(asio::ip::make_address(parsed->first), parsed->second);
    acceptor.open(local.protocol(), error);
    if (!error)
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(local, error);
    if (!error)
        acceptor.listen(asio::ip::tcp::acceptor::max_listen_connections, error);
    if (error)
        reason = std::string(address.flag) + ": cannot listen on " + std::string(address.value) + ": " + error.message();
    return !error;
}

} // namespace orioletrail
