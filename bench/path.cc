// Latency and rate of the whole path against direct calls to the same stand-ins.
#include "bench/bench.h"
#include "tests/cluster.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <thread>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;

    constexpr Millis latencyTime { 2000 };
    constexpr Millis rateTime { 3000 };
    constexpr uint32_t callersForRate = 48;
    constexpr uint32_t clientThreads = 3;

    struct Target {
        std::vector<std::string> addresses;
        std::string method;
        std::string path;
        std::string body;
    };

    struct Load {
        std::vector<double> micros;
        uint64_t bytes = 0;
        uint64_t failures = 0;
    };

    // Calls one target again and again from a number of callers on one thread.
    Load runLoad(const Target& target, uint32_t callers, Millis duration)
    {
        boost::asio::io_context context(1);
        std::vector<std::unique_ptr<HttpClient>> clients;
        for (const std::string& text : target.addresses) {
            const auto address = parseAddress(text);
            clients.push_back(std::make_unique<HttpClient>(context.get_executor(), address->first, address->second));
        }
        Load load;
        const TimePoint until = Clock::now() + duration;
        const HeaderList headers { { "Authorization", "Bearer test-token" } };
        auto loop = [&](uint32_t index) -> Task<> {
            HttpClient& client = *clients[index % clients.size()];
            while (Clock::now() < until) {
                HttpCall call;
                call.request.method = target.method;
                call.request.target = target.path;
                call.request.headers = headers;
                call.request.body = target.body;
                const TimePoint sent = Clock::now();
                const HttpResult result = co_await client.call(std::move(call));
                load.micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sent).count());
                load.bytes += result.body.size();
                load.failures += result.status == 200 ? 0 : 1;
            }
        };
        for (uint32_t i = 0; i < callers; ++i)
            boost::asio::co_spawn(context, loop(i), boost::asio::detached);
        context.run();
        return load;
    }

    double quantile(std::vector<double>& values, double share)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
    }

    // Completed calls a second from several threads.
    double measureRate(const Target& target, uint64_t& failures, uint64_t& bytes)
    {
        std::vector<Load> loads(clientThreads);
        std::vector<std::thread> threads;
        for (uint32_t i = 0; i < clientThreads; ++i)
            threads.emplace_back([&, i] { loads[i] = runLoad(target, callersForRate / clientThreads, rateTime); });
        size_t calls = 0;
        for (uint32_t i = 0; i < clientThreads; ++i) {
            threads[i].join();
            calls += loads[i].micros.size();
            failures += loads[i].failures;
            bytes += loads[i].bytes;
        }
        return static_cast<double>(calls) / std::chrono::duration<double>(rateTime).count();
    }

    void compare(std::string_view what, const Target& direct, const Target& path, double chunksPerCall)
    {
        runLoad(path, 8, Millis(1000));
        Load directLatency = runLoad(direct, 1, latencyTime);
        Load pathLatency = runLoad(path, 1, latencyTime);
        uint64_t failures = directLatency.failures + pathLatency.failures;
        uint64_t bytes = 0;
        const double directRate = measureRate(direct, failures, bytes);
        const double pathRate = measureRate(path, failures, bytes);
        const double directP50 = quantile(directLatency.micros, 0.5);
        const double pathP50 = quantile(pathLatency.micros, 0.5);
        json::object line { { "bench", "path" }, { "what", what }, { "directP50us", directP50 }, { "directP99us", quantile(directLatency.micros, 0.99) } };
        line["pathP50us"] = pathP50;
        line["pathP99us"] = quantile(pathLatency.micros, 0.99);
        line["addedP50us"] = pathP50 - directP50;
        line["latencyRatio"] = pathP50 / directP50;
        line["directPerSecond"] = directRate;
        line["pathPerSecond"] = pathRate;
        line["rateRatio"] = pathRate / directRate;
        if (chunksPerCall > 0)
            line["pathChunksPerSecond"] = pathRate * chunksPerCall;
        line["failures"] = failures;
        std::cout << json::serialize(line) << std::endl;
    }

} // namespace

int runPath()
{
    tests::ClusterShape shape;
    shape.zones = 1;
    shape.engines = 2;
    shape.services = 3;
    shape.engineFlags = { "--first-token-ms", "0", "--per-token-ms", "0", "--cold-capacity", "1000", "--warm-capacity", "1000" };
    shape.serviceFlags = { "--order-ms", "0" };
    shape.sidecarFlags = { "--cold-limit", "64", "--warm-limit", "64" };
    tests::Cluster cluster(shape);
    if (!cluster.waitReady())
        return 1;
    const std::vector<std::string> services { cluster.endpointAddress("z1-s1"), cluster.endpointAddress("z1-s2"), cluster.endpointAddress("z1-s3") };
    const std::vector<std::string> engines { cluster.endpointAddress("z1-m1"), cluster.endpointAddress("z1-m2") };
    const std::vector<std::string> entry { cluster.entryAddress(1) };
    compare("short request", { services, "GET", "/orders/1", "" }, { entry, "GET", "/services/print/orders/1", "" }, 0);
    const std::string body = R"({"model":"labels","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"hello"}]})";
    constexpr double chunks = 201;
    compare("stream of 200 tokens", { engines, "POST", "/v1/chat/completions", body }, { entry, "POST", "/v1/chat/completions", body }, chunks);
    return 0;
}

} // namespace orioletrail::bench
