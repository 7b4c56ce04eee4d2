#include "fakes/relay.h"

#include "gateway/http.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <list>

namespace orioletrail::fakes {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    // A client connection and the connection to the target that it is relayed to.
    struct Connection {
        explicit Connection(asio::io_context& context)
            : client(context)
            , server(context)
        {
        }

        tcp::socket client;
        tcp::socket server;
        // Set by SIGUSR1: nothing more is forwarded.
        bool isSilent = false;
    };

    class Relay {
    public:
        explicit Relay(const RelaySettings& settings)
            : m_settings(settings)
        {
        }

        int run()
        {
            const auto listen = parseAddress(m_settings.listen);
            m_acceptor.open(tcp::v4());
            m_acceptor.set_option(tcp::acceptor::reuse_address(true));
            m_acceptor.bind({ asio::ip::make_address(listen->first), listen->second });
            m_acceptor.listen();
            asio::co_spawn(m_context, acceptLoop(), asio::detached);
            asio::co_spawn(m_context, signalLoop(), asio::detached);
            m_context.run();
            return 0;
        }

    private:
        Task<> acceptLoop()
        {
            while (true) {
                auto connection = std::make_shared<Connection>(m_context);
                boost::system::error_code error;
                co_await m_acceptor.async_accept(connection->client, asio::redirect_error(asio::use_awaitable, error));
                if (error || m_rejectConnections)
                    continue;
                const auto target = parseAddress(m_settings.target);
                const tcp::endpoint endpoint(asio::ip::make_address(target->first), target->second);
                co_await connection->server.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
                if (error)
                    continue;
                m_connections.push_back(connection);
                asio::co_spawn(m_context, forward(connection, connection->client, connection->server), asio::detached);
                asio::co_spawn(m_context, forward(connection, connection->server, connection->client), asio::detached);
            }
        }

        Task<> forward(std::shared_ptr<Connection> connection, tcp::socket& from, tcp::socket& to)
        {
            std::array<char, 16 * 1024> buffer {};
            boost::system::error_code error;
            while (!error) {
                const size_t bytes = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
                if (connection->isSilent)
                    co_return;
                if (!error)
                    co_await asio::async_write(to, asio::buffer(buffer, bytes), asio::redirect_error(asio::use_awaitable, error));
            }
            boost::system::error_code ignored;
            from.close(ignored);
            to.close(ignored);
        }

        Task<> signalLoop()
        {
            while (true) {
                const int signal = co_await m_signals.async_wait(asio::use_awaitable);
                if (signal == SIGUSR1) {
                    for (const auto& connection : m_connections)
                        connection->isSilent = true;
                    continue;
                }
                m_rejectConnections = !m_rejectConnections;
                boost::system::error_code ignored;
                for (const auto& connection : m_connections) {
                    connection->client.close(ignored);
                    connection->server.close(ignored);
                }
                m_connections.clear();
            }
        }

        RelaySettings m_settings;
        asio::io_context m_context { 1 };
        tcp::acceptor m_acceptor { m_context };
        asio::signal_set m_signals { m_context, SIGUSR1, SIGUSR2 };
        std::list<std::shared_ptr<Connection>> m_connections;
        bool m_rejectConnections = false;
    };

} // namespace

int runRelay(const RelaySettings& settings)
{
    return Relay(settings).run();
}

} // namespace orioletrail::fakes
