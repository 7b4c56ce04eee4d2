// Round-trip time of a 512-byte message that is echoed between two threads over loopback: nng compared
// with Connection.
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

    constexpr int roundTrips = 5000;
    constexpr size_t payloadBytes = 512;
    constexpr char nngAddress[] = "127.0.0.1:20990";

    Frame makeFrame()
    {
        Frame frame;
        frame.data.assign(payloadBytes, 'x');
        return frame;
    }

    void printLatency(std::string_view transport, std::vector<double> roundTripMicros)
    {
        std::sort(roundTripMicros.begin(), roundTripMicros.end());
        std::cout << json::serialize(json::object { { "bench", "hop" }, { "way", transport }, { "p50us", roundTripMicros[roundTripMicros.size() / 2] }, { "p99us", roundTripMicros[roundTripMicros.size() * 99 / 100] } }) << '\n';
    }

    void measureNng()
    {
        GossipServer server([](Message&& message, const GossipServer::Reply& reply) { reply(message); });
        if (!server.listen(nngAddress)) {
            std::cerr << server.lastError() << '\n';
            return;
        }
        GossipClient client(nngAddress, Millis(5000));
        std::vector<double> roundTripMicros;
        for (int i = 0; i < roundTrips; ++i) {
            std::promise<void> done;
            const TimePoint sentAt = Clock::now();
            client.call(makeFrame(), [&](const std::optional<Message>&) { done.set_value(); });
            done.get_future().wait();
            roundTripMicros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sentAt).count());
        }
        printLatency("nng", std::move(roundTripMicros));
    }

    void measureConnection()
    {
        boost::asio::io_context serverIo(1);
        boost::asio::io_context clientIo(1);
        tcp::acceptor acceptor(serverIo, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        tcp::socket clientSocket(clientIo);
        clientSocket.connect(acceptor.local_endpoint());
        auto server = std::make_shared<Connection>(acceptor.accept());
        auto client = std::make_shared<Connection>(std::move(clientSocket));
        server->start({ [&](Message&& message) { server->send(message); }, [](std::string_view) {} });
        std::thread thread([&] { serverIo.run(); });
        std::vector<double> roundTripMicros;
        TimePoint sentAt = Clock::now();
        client->start({ [&](Message&&) {
                           roundTripMicros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sentAt).count());
                           if (roundTripMicros.size() == roundTrips) {
                               client->close("done");
                               return;
                           }
                           sentAt = Clock::now();
                           client->send(makeFrame());
                       },
            [](std::string_view) {} });
        client->send(makeFrame());
        clientIo.run();
        serverIo.stop();
        thread.join();
        printLatency("connection", std::move(roundTripMicros));
    }

} // namespace

int runHop()
{
    measureConnection();
    measureNng();
    return 0;
}

} // namespace orioletrail::bench
