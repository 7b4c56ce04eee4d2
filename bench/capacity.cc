// Cost of the control plane by role at several sizes, and lines fitted to it.
#include "bench/bench.h"
#include "control/control.h"
#include "expertmap/group.h"
#include "ledger/record.h"
#include "membership/peers.h"
#include "tests/cluster.h"
#include "transport/codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <random>
#include <thread>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;

    // A measured cost `y` at size `x`.
    struct Point {
        double x = 0;
        double y = 0;
    };

    // Prints the least-squares line through the points, and the largest vertical distance of a point from it.
    void printLinearFit(std::string_view subject, std::string_view unit, const std::vector<Point>& points)
    {
        double meanX = 0;
        double meanY = 0;
        for (const Point& point : points) {
            meanX += point.x / static_cast<double>(points.size());
            meanY += point.y / static_cast<double>(points.size());
        }
        double covariance = 0;
        double variance = 0;
        for (const Point& point : points) {
            covariance += (point.x - meanX) * (point.y - meanY);
            variance += (point.x - meanX) * (point.x - meanX);
        }
        const double slope = covariance / variance;
        const double intercept = meanY - slope * meanX;
        double largestDeviation = 0;
        for (const Point& point : points)
            largestDeviation = std::max(largestDeviation, std::abs(point.y - intercept - slope * point.x));
        std::cout << json::serialize(json::object { { "bench", "capacity" }, { "slope", subject }, { "unit", unit }, { "perUnit", slope }, { "base", intercept }, { "largestDeviation", largestDeviation } }) << std::endl;
    }

    void printMeasurement(std::string_view subject, double size, json::object values)
    {
        values["bench"] = "capacity";
        values["what"] = subject;
        values["size"] = size;
        std::cout << json::serialize(values) << std::endl;
    }

    // CPU time of the current thread.
    double cpuMicros()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    // Bytes in use on the heap of malloc().
    double heapBytes()
    {
        return static_cast<double>(mallinfo2().uordblks);
    }

    // Returns a configuration with the given number of endpoints, and with entries and accounts in the
    // proportions of the target system: 6800 endpoints, 1500 entries and 970 accounts.
    ConfigDelta makeConfig(int endpoints)
    {
        ConfigDelta delta;
        uint64_t revision = 0;
        auto add = [&](std::string key, std::string value) {
            delta.changes.push_back({ std::move(key), ++revision, std::move(value), false });
        };
        for (int i = 0; i < endpoints; ++i)
            add("config/endpoint/replica-" + std::to_string(i), R"({"service":"model-)" + std::to_string(i % 12) + R"(","zone":"zone-)" + std::to_string(i % 7) + R"(","sidecar":"10.1.2.3:7100"})");
        for (int i = 0; i < endpoints * 1500 / 6800; ++i)
            add("config/instance/entry-" + std::to_string(i), R"({"zone":"zone-)" + std::to_string(i % 7) + R"(","gossip":"10.1.2.4:8082"})");
        for (int i = 0; i < endpoints * 970 / 6800; ++i)
            add("config/account/account-" + std::to_string(i), R"({"tokenDigest":")" + std::string(60, 'a') + std::to_string(1000 + i) + R"(","maxInFlight":100})");
        delta.to = revision;
        return delta;
    }

    // Measures the memory, view rebuild time and encoded size of a configuration replica.
    void measureConfigReplica()
    {
        std::vector<Point> memoryPoints;
        std::vector<Point> rebuildPoints;
        std::vector<Point> wirePoints;
        for (const int endpoints : { 500, 1700, 6800 }) {
            const ConfigDelta delta = makeConfig(endpoints);
            const auto objects = static_cast<double>(delta.changes.size());
            std::vector<char> frame;
            encode(delta, frame);
            const double before = heapBytes();
            ConfigStore store;
            store.apply(delta);
            const double start = cpuMicros();
            const auto view = store.buildView();
            const double micros = cpuMicros() - start;
            const double bytes = heapBytes() - before;
            memoryPoints.push_back({ objects, bytes });
            rebuildPoints.push_back({ objects, micros });
            wirePoints.push_back({ objects, static_cast<double>(frame.size()) });
            printMeasurement("configuration replica", objects, { { "memoryBytes", bytes }, { "rebuildMicros", micros }, { "wholeOnWireBytes", frame.size() } });
        }
        printLinearFit("configuration memory", "bytes per object", memoryPoints);
        printLinearFit("configuration view rebuild after a change", "us per object", rebuildPoints);
        printLinearFit("full configuration on the wire", "bytes per object", wirePoints);
    }

    // Simulates pull gossip of a change that one entry starts with, and counts the rounds until all entries
    // have it. In each round every entry asks one of its neighbours, which it takes in turn. The neighbours
    // are those that the product chooses.
    void measureGossip()
    {
        constexpr Millis gossipInterval { 200 };
        constexpr size_t neighbourCount = 4;
        for (const int entries : { 100, 500, 1500 }) {
            const ConfigDelta all = makeConfig(entries * 6800 / 1500);
            ConfigStore store;
            store.apply(all);
            const auto view = store.buildView();
            std::vector<std::string> names;
            for (const auto& [name, instance] : view->instances)
                names.push_back(name);
            std::map<std::string, std::vector<std::string>> neighboursOf;
            for (const std::string& name : names)
                neighboursOf[name] = chooseNeighbours(*view, name, neighbourCount);
            std::mt19937_64 random(1);
            std::map<std::string, bool> informed { { names.front(), true } };
            std::map<std::string, size_t> nextNeighbour;
            for (const std::string& name : names)
                nextNeighbour[name] = random();
            int rounds = 0;
            double messages = 0;
            while (informed.size() < names.size()) {
                ++rounds;
                std::vector<std::string> newlyInformed;
                for (const std::string& name : names) {
                    const auto& neighbourList = neighboursOf[name];
                    ++messages;
                    const std::string& neighbour = neighbourList[nextNeighbour[name]++ % neighbourList.size()];
                    // An entry that learns of the change pushes it to all its neighbours at once.
                    if (!informed.contains(name) && informed.contains(neighbour))
                        newlyInformed.push_back(name);
                }
                while (!newlyInformed.empty()) {
                    const std::string name = newlyInformed.back();
                    newlyInformed.pop_back();
                    if (!informed.emplace(name, true).second)
                        continue;
                    for (const std::string& neighbour : neighboursOf[name])
                        if (!informed.contains(neighbour))
                            newlyInformed.push_back(neighbour);
                }
            }
            printMeasurement("configuration spread by gossip", static_cast<double>(names.size()), { { "rounds", rounds }, { "seconds", rounds * std::chrono::duration<double>(gossipInterval).count() }, { "neighboursMean", neighbourCount } });
        }
    }

    double encodedBytes(const Message& message)
    {
        std::vector<char> frame;
        encode(message, frame);
        return static_cast<double>(frame.size());
    }

    // Measures the encoded sizes of control messages, and the CPU time to encode and decode a ping.
    void measureMessages()
    {
        Ping ping { 123456789, 123456780, 1'000'000, 300, Reason::None };
        const double pingBytes = encodedBytes(ping);
        const double requestBytes = encodedBytes(GossipRequest { "entry-1234", "zone-5", 1'000'000, {} });
        const double replyBytes = encodedBytes(GossipReply { "entry-1234", "zone-5", 300, { 1'000'000, 1'000'000, {} } });
        const ObjectChange change { "config/endpoint/replica-1234", 1'000'000, R"({"service":"model-3","zone":"zone-2","sidecar":"10.1.2.3:7100","leaving":true})", false };
        const double changeBytes = encodedBytes(ConfigDelta { 999'999, 1'000'000, { change } });
        constexpr int count = 200'000;
        std::vector<char> frame;
        std::string reason;
        const double start = cpuMicros();
        for (int i = 0; i < count; ++i) {
            frame.clear();
            encode(ping, frame);
            decode(std::span<const char>(frame).subspan(frameHeaderBytes), reason);
        }
        const double micros = (cpuMicros() - start) / count;
        printMeasurement("messages", 1, { { "pingBytes", pingBytes }, { "gossipRequestBytes", requestBytes }, { "gossipReplyBytes", replyBytes }, { "changeBytes", changeBytes }, { "pingCodecMicros", micros } });
    }

    // Measures the size of a shard's object and the CPU time to serialize it.
    void measureLedger()
    {
        std::vector<Point> bytes;
        std::vector<Point> micros;
        for (const int entries : { 100, 1000, 4000 }) {
            LedgerRecord record { 1, 1, {} };
            for (int i = 0; i < entries; ++i)
                record.entries[ledgerKey("account", std::to_string(i))] = { std::string(32, 'b'), "12345678901234567890-" + std::to_string(i), 1'700'000'000, RecordedAnswer { 201, "application/json", std::string(60, 'x'), false } };
            const double start = cpuMicros();
            const std::string text = toJson(record);
            const double elapsedMicros = cpuMicros() - start;
            bytes.push_back({ static_cast<double>(entries), static_cast<double>(text.size()) });
            micros.push_back({ static_cast<double>(entries), elapsedMicros });
            printMeasurement("ledger shard", entries, { { "objectBytes", text.size() }, { "writeMicros", elapsedMicros } });
        }
        printLinearFit("ledger object", "bytes per entry", bytes);
        printLinearFit("ledger write", "us per entry", micros);
    }

    // Measures the CPU time and the messages with which a group agrees on a step and runs it, over the leader
    // and all ranks.
    void measureGroupAgreement()
    {
        std::vector<Point> micros;
        for (const uint32_t ranks : { 8U, 32U, 128U }) {
            GroupLeader leader(ranks, 1);
            std::vector<GroupRank> members;
            for (uint32_t rank = 0; rank < ranks; ++rank) {
                members.emplace_back(rank, rank + 1, 1);
                members.back().onLoaded(1);
            }
            size_t messages = 0;
            // Delivers the messages of the leader, and the replies of the ranks to it.
            auto exchange = [&] {
                for (const GroupMessage& message : leader.messages()) {
                    RankActions actions = members[message.rank].receive(message);
                    if (actions.run)
                        actions = members[message.rank].onStepDone(actions.run->first);
                    messages += 1 + (actions.reply ? 1 : 0);
                    if (actions.reply)
                        leader.receive(*actions.reply);
                }
            };
            exchange();
            messages = 0;
            constexpr int agreements = 200;
            const double start = cpuMicros();
            for (int i = 0; i < agreements; ++i) {
                leader.startStep();
                exchange();
                exchange();
            }
            const double elapsedMicros = (cpuMicros() - start) / agreements;
            micros.push_back({ static_cast<double>(ranks), elapsedMicros });
            printMeasurement("group leader", ranks, { { "microsPerAgreement", elapsedMicros }, { "messagesPerAgreement", static_cast<double>(messages) / agreements } });
        }
        printLinearFit("group agreement on a step", "us per rank", micros);
    }

    struct ProcessUsage {
        // Sum over the threads that are alive.
        double cpuSeconds = 0;
        double residentMb = 0;
        double threads = 0;
    };

    ProcessUsage readProcessUsage(pid_t pid)
    {
        ProcessUsage usage;
        // The first field of schedstat is the CPU time of the thread in nanoseconds.
        for (const auto& thread : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
            std::ifstream stat(thread.path() / "schedstat");
            double nanos = 0;
            stat >> nanos;
            usage.cpuSeconds += nanos / 1e9;
        }
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                usage.residentMb = std::stod(line.substr(6)) / 1024;
            if (line.starts_with("Threads:"))
                usage.threads = std::stod(line.substr(8));
        }
        return usage;
    }

    // Reads and writes that the platform has counted; 0 if its answer cannot be parsed.
    double platformCalls(tests::Cluster& cluster)
    {
        const HttpResult record = cluster.call(cluster.platformAddress(), "GET", "/record");
        boost::system::error_code error;
        const json::value value = json::parse(record.body, error);
        return error ? 0 : value.at("reads").to_number<double>() + value.at("writes").to_number<double>();
    }

    // Measures the cost of real processes without client requests, and how long it takes until a
    // configuration change is in force in all of them.
    void measureProcesses()
    {
        constexpr Millis idleTime { 4000 };
        std::vector<Point> entryCpu;
        std::vector<Point> entryMemory;
        std::vector<Point> sidecarCpu;
        for (const int enginesPerZone : { 1, 4, 8 }) {
            tests::ClusterOptions options;
            options.enginesPerZone = enginesPerZone;
            options.servicesPerZone = 1;
            tests::Cluster cluster(options);
            if (!cluster.waitUntilReady())
                return;
            const double endpoints = static_cast<double>(cluster.endpointNames().size());
            const ProcessUsage entryBefore = readProcessUsage(cluster.entry(1).pid());
            const ProcessUsage sidecarBefore = readProcessUsage(cluster.sidecar("z1-m1").pid());
            const double callsBefore = platformCalls(cluster);
            std::this_thread::sleep_for(idleTime);
            const ProcessUsage entry = readProcessUsage(cluster.entry(1).pid());
            const ProcessUsage sidecar = readProcessUsage(cluster.sidecar("z1-m1").pid());
            const double seconds = std::chrono::duration<double>(idleTime).count();
            const double calls = (platformCalls(cluster) - callsBefore) / seconds;
            const double entryCpuPercent = (entry.cpuSeconds - entryBefore.cpuSeconds) / seconds * 100;
            const double sidecarCpuPercent = (sidecar.cpuSeconds - sidecarBefore.cpuSeconds) / seconds * 100;
            const TimePoint sent = Clock::now();
            cluster.runCtl("drain endpoint z1-m1");
            const double commandMillis = std::chrono::duration<double, std::milli>(Clock::now() - sent).count();
            const double inForceMillis = cluster.millisUntilSameRevision(sent);
            entryCpu.push_back({ endpoints, entryCpuPercent });
            entryMemory.push_back({ endpoints, entry.residentMb });
            sidecarCpu.push_back({ endpoints, sidecarCpuPercent });
            printMeasurement("idle processes", endpoints, { { "entryCpuPercent", entryCpuPercent }, { "entryMb", entry.residentMb }, { "entryThreads", entry.threads }, { "sidecarCpuPercent", sidecarCpuPercent }, { "sidecarMb", sidecar.residentMb }, { "sidecarThreads", sidecar.threads }, { "platformCallsPerSecond", calls }, { "commandMs", commandMillis }, { "inForceEverywhereMs", inForceMillis } });
        }
        printLinearFit("idle entry", "% of a core per link", entryCpu);
        printLinearFit("idle entry memory", "MB per link", entryMemory);
        printLinearFit("idle sidecar", "% of a core per endpoint", sidecarCpu);
    }

} // namespace

int runCapacity()
{
    measureMessages();
    measureConfigReplica();
    measureGossip();
    measureLedger();
    measureGroupAgreement();
    measureProcesses();
    return 0;
}

} // namespace orioletrail::bench
