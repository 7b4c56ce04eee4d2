// A 512-byte echo between two threads over loopback: nng against a framed connection.
#include "bench/bench.h"
#include "transport/connection.h"
#include "transport/gossip.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <future>
#include <iostream>
#include <thread>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;
    using boost::asio::ip::tcp;

    constexpr int echoes = 5000;
    constexpr size_t payloadBytes = 512;
    constexpr char address[] = "127.0.0.1:20990";

    Frame makeFrame()
    {
        Frame frame;
        frame.data.assign(payloadBytes, 'x');
        return frame;
    }

    void print(std::string_view way, std::vector<double> micros)
    {
        std::sort(micros.begin(), micros.end());
        std::cout << json::serialize(json::object { { "bench", "hop" }, { "way", way }, { "p50us", micros[micros.size() / 2] }, { "p99us", micros[micros.size() * 99 / 100] } }) << '\n';
    }

    void measureNng()
    {
        GossipServer server([](Message&& message, const GossipServer::Reply& reply) { reply(message); });
        if (!server.listen(address)) {
            std::cerr << server.lastError() << '\n';
            return;
        }
        GossipClient client(address, Millis(5000));
        std::vector<double> micros;
        for (int i = 0; i < echoes; ++i) {
            std::promise<void> done;
            const TimePoint sent = Clock::now();
            client.call(makeFrame(), [&](const std::optional<Message>&) { done.set_value(); });
            done.get_future().wait();
            micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sent).count());
        }
        print("nng", std::move(micros));
    }

    void measureConnection()
    {
        boost::asio::io_context serverIo(1);
        boost::asio::io_context clientIo(1);
        tcp::acceptor acceptor(serverIo, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket left(clientIo);
        left.connect(acceptor.local_endpoint());
        auto server = std::make_shared<Connection>(acceptor.accept());
        auto client = std::make_shared<Connection>(std::move(left));
        server->start({ [&](Message&& message) { server->send(message); }, [](std::string_view) {} });
        std::thread thread([&] { serverIo.run(); });
        std::vector<double> micros;
        TimePoint sent = Clock::now();
        client->start({ [&](Message&&) {
                           micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sent).count());
                           if (micros.size() == echoes) {
                               client->close("done");
                               return;
                           }
                           sent = Clock::now();
                           client->send(makeFrame());
                       },
            [](std::string_view) {} });
        client->send(makeFrame());
        clientIo.run();
        serverIo.stop();
        thread.join();
        print("connection", std::move(micros));
    }

} // namespace

int runHop()
{
    measureConnection();
    measureNng();
    return 0;
}

} // namespace orioletrail::bench
