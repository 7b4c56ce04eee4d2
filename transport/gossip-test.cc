#include "transport/gossip.h"

#include <doctest/doctest.h>
#include <random>
#include <thread>

using namespace orioletrail;

// nng_close() of nng 1.5.2 can block forever on a socket that is closed while it connects. If a
// client's destructor waited for it, this test would hang until CTest's timeout.
TEST_CASE("destroying a client while it connects does not block")
{
    GossipServer server([](Message&& message, const GossipServer::Reply& reply) { reply(message); });
    REQUIRE(server.listen("127.0.0.1:27990"));
    std::vector<std::thread> threads;
    for (uint64_t seed = 1; seed <= 4; ++seed)
        threads.emplace_back([seed] {
            std::mt19937_64 random(seed);
            for (int i = 0; i < 200; ++i) {
                GossipClient client(random() % 2 ? "127.0.0.1:27990" : "127.0.0.1:27991", Millis(500));
                client.call(GossipRequest { "a", "z", 1, {} }, [](const std::optional<Message>&) {});
                std::this_thread::sleep_for(std::chrono::microseconds(random() % 2000));
            }
        });
    for (std::thread& thread : threads)
        thread.join();
}
