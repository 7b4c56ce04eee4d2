// Latency and throughput of requests through an entry and a sidecar, compared with direct requests to
// the same fake endpoints.
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
    constexpr Millis throughputTime { 3000 };
    constexpr uint32_t throughputCallers = 48;
    constexpr uint32_t clientThreads = 3;

    // A request and the servers that it is sent to.
    struct Target {
        // Callers are spread over the addresses evenly.
        std::vector<std::string> addresses;
        std::string method;
        std::string path;
        std::string body;
    };

    struct LoadResult {
        // Latency of each call.
        std::vector<double> latencyMicros;
        uint64_t bytes = 0;
        // Calls with another status than 200.
        uint64_t failures = 0;
    };

    // Runs `callers` coroutines on the current thread, each of which sends one request at a time until the
    // duration is over.
    LoadResult runLoad(const Target& target, uint32_t callers, Millis duration)
    {
        boost::asio::io_context context(1);
        std::vector<std::unique_ptr<HttpClient>> clients;
        for (const std::string& addressText : target.addresses) {
            const auto address = parseAddress(addressText);
            clients.push_back(std::make_unique<HttpClient>(context.get_executor(), address->first, address->second));
        }
        LoadResult loadResult;
        const TimePoint deadline = Clock::now() + duration;
        const HeaderList headers { { "Authorization", "Bearer test-token" } };
        auto sendRequests = [&](uint32_t callerIndex) -> Task<> {
            HttpClient& client = *clients[callerIndex % clients.size()];
            while (Clock::now() < deadline) {
                HttpCall call;
                call.request.method = target.method;
                call.request.target = target.path;
                call.request.headers = headers;
                call.request.body = target.body;
                const TimePoint start = Clock::now();
                const HttpResult result = co_await client.call(std::move(call));
                loadResult.latencyMicros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
                loadResult.bytes += result.body.size();
                loadResult.failures += result.status == 200 ? 0 : 1;
            }
        };
        for (uint32_t i = 0; i < callers; ++i)
            boost::asio::co_spawn(context, sendRequests(i), boost::asio::detached);
        context.run();
        return loadResult;
    }

    double quantile(std::vector<double>& values, double fraction)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
    }

    // Returns the completed calls per second of all client threads together. Adds the failed calls and the
    // bytes of the response bodies to `failures` and `bytes`.
    double measureThroughput(const Target& target, uint64_t& failures, uint64_t& bytes)
    {
        std::vector<LoadResult> loadResults(clientThreads);
        std::vector<std::thread> threads;
        for (uint32_t i = 0; i < clientThreads; ++i)
            threads.emplace_back([&, i] { loadResults[i] = runLoad(target, throughputCallers / clientThreads, throughputTime); });
        size_t calls = 0;
        for (uint32_t i = 0; i < clientThreads; ++i) {
            threads[i].join();
            calls += loadResults[i].latencyMicros.size();
            failures += loadResults[i].failures;
            bytes += loadResults[i].bytes;
        }
        return static_cast<double>(calls) / std::chrono::duration<double>(throughputTime).count();
    }

    // Measures a workload with direct requests and with requests through an entry, and prints both.
    // `chunksPerCall` is 0 if responses are not streamed.
    void compareWithDirect(std::string_view workload, const Target& direct, const Target& proxied, double chunksPerCall)
    {
        // Warm-up.
        runLoad(proxied, 8, Millis(1000));
        LoadResult directLatency = runLoad(direct, 1, latencyTime);
        LoadResult proxiedLatency = runLoad(proxied, 1, latencyTime);
        uint64_t failures = directLatency.failures + proxiedLatency.failures;
        uint64_t bytes = 0;
        const double directThroughput = measureThroughput(direct, failures, bytes);
        const double proxiedThroughput = measureThroughput(proxied, failures, bytes);
        const double directP50 = quantile(directLatency.latencyMicros, 0.5);
        const double proxiedP50 = quantile(proxiedLatency.latencyMicros, 0.5);
        json::object line { { "bench", "path" }, { "what", workload }, { "directP50us", directP50 }, { "directP99us", quantile(directLatency.latencyMicros, 0.99) } };
        line["pathP50us"] = proxiedP50;
        line["pathP99us"] = quantile(proxiedLatency.latencyMicros, 0.99);
        line["addedP50us"] = proxiedP50 - directP50;
        line["latencyRatio"] = proxiedP50 / directP50;
        line["directPerSecond"] = directThroughput;
        line["pathPerSecond"] = proxiedThroughput;
        line["rateRatio"] = proxiedThroughput / directThroughput;
        if (chunksPerCall > 0)
            line["pathChunksPerSecond"] = proxiedThroughput * chunksPerCall;
        line["failures"] = failures;
        std::cout << json::serialize(line) << std::endl;
    }

} // namespace

int runPath()
{
    tests::ClusterOptions options;
    options.zones = 1;
    options.enginesPerZone = 2;
    options.servicesPerZone = 3;
    options.engineFlags = { "--first-token-ms", "0", "--per-token-ms", "0", "--cold-capacity", "1000", "--warm-capacity", "1000" };
    options.serviceFlags = { "--order-ms", "0" };
    options.sidecarFlags = { "--cold-limit", "64", "--warm-limit", "64" };
    tests::Cluster cluster(options);
    if (!cluster.waitUntilReady())
        return 1;
    const std::vector<std::string> services { cluster.endpointAddress("z1-s1"), cluster.endpointAddress("z1-s2"), cluster.endpointAddress("z1-s3") };
    const std::vector<std::string> engines { cluster.endpointAddress("z1-m1"), cluster.endpointAddress("z1-m2") };
    const std::vector<std::string> entry { cluster.entryAddress(1) };
    compareWithDirect("short request", { services, "GET", "/orders/1", "" }, { entry, "GET", "/services/print/orders/1", "" }, 0);
    const std::string body = R"({"model":"labels","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"hello"}]})";
    constexpr double chunks = 201;
    compareWithDirect("stream of 200 tokens", { engines, "POST", "/v1/chat/completions", body }, { entry, "POST", "/v1/chat/completions", body }, chunks);
    return 0;
}

} // namespace orioletrail::bench
