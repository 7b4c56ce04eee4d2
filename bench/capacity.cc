// Cost of control by role at several sizes, and the slopes fitted to it.
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

    struct Point {
        double x = 0;
        double y = 0;
    };

    // Least squares, with the largest distance of a point from the line.
    void printSlope(std::string_view what, std::string_view unit, const std::vector<Point>& points)
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
        const double base = meanY - slope * meanX;
        double spread = 0;
        for (const Point& point : points)
            spread = std::max(spread, std::abs(point.y - base - slope * point.x));
        std::cout << json::serialize(json::object { { "bench", "capacity" }, { "slope", what }, { "unit", unit }, { "perUnit", slope }, { "base", base }, { "largestDeviation", spread } }) << std::endl;
    }

    void printPoint(std::string_view what, double size, json::object values)
    {
        values["bench"] = "capacity";
        values["what"] = what;
        values["size"] = size;
        std::cout << json::serialize(values) << std::endl;
    }

    double cpuMicros()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    double heapBytes()
    {
        return static_cast<double>(mallinfo2().uordblks);
    }

    // A configuration with endpoints, entries and accounts in the proportions of the target.
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

    void measureStore()
    {
        std::vector<Point> memory;
        std::vector<Point> build;
        std::vector<Point> wire;
        for (const int endpoints : { 500, 1700, 6800 }) {
            const ConfigDelta delta = makeConfig(endpoints);
            const auto objects = static_cast<double>(delta.changes.size());
            std::vector<char> frame;
            encode(delta, frame);
            const double before = heapBytes();
            ConfigStore store;
            store.apply(delta);
            const double begin = cpuMicros();
            const auto view = store.buildView();
            const double micros = cpuMicros() - begin;
            const double bytes = heapBytes() - before;
            memory.push_back({ objects, bytes });
            build.push_back({ objects, micros });
            wire.push_back({ objects, static_cast<double>(frame.size()) });
            printPoint("configuration replica", objects, { { "memoryBytes", bytes }, { "rebuildMicros", micros }, { "wholeOnWireBytes", frame.size() } });
        }
        printSlope("configuration memory", "bytes an object", memory);
        printSlope("rebuild after a change", "us an object", build);
        printSlope("whole configuration on the wire", "bytes an object", wire);
    }

    // Rounds of pulling until all entries hold a change, with the real neighbours and stores.
    void measureSpread()
    {
        constexpr Millis tick { 200 };
        constexpr size_t neighbours = 4;
        for (const int entries : { 100, 500, 1500 }) {
            const ConfigDelta all = makeConfig(entries * 6800 / 1500);
            ConfigStore first;
            first.apply(all);
            const auto view = first.buildView();
            std::vector<std::string> names;
            for (const auto& [name, instance] : view->instances)
                names.push_back(name);
            std::map<std::string, std::vector<std::string>> peers;
            for (const std::string& name : names)
                peers[name] = chooseNeighbours(*view, name, neighbours);
            std::mt19937_64 random(1);
            std::map<std::string, bool> has { { names.front(), true } };
            std::map<std::string, size_t> turn;
            for (const std::string& name : names)
                turn[name] = random();
            int rounds = 0;
            double messages = 0;
            while (has.size() < names.size()) {
                ++rounds;
                std::vector<std::string> learned;
                for (const std::string& name : names) {
                    const auto& list = peers[name];
                    ++messages;
                    const std::string& asked = list[turn[name]++ % list.size()];
                    // An entry that has just learned pushes to all its neighbours at once.
                    if (!has.contains(name) && has.contains(asked))
                        learned.push_back(name);
                }
                while (!learned.empty()) {
                    const std::string name = learned.back();
                    learned.pop_back();
                    if (!has.emplace(name, true).second)
                        continue;
                    for (const std::string& peer : peers[name])
                        if (!has.contains(peer))
                            learned.push_back(peer);
                }
            }
            printPoint("spread by gossip", static_cast<double>(names.size()), { { "rounds", rounds }, { "seconds", rounds * std::chrono::duration<double>(tick).count() }, { "neighboursMean", neighbours } });
        }
    }

    double encodedBytes(const Message& message)
    {
        std::vector<char> frame;
        encode(message, frame);
        return static_cast<double>(frame.size());
    }

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
        const double begin = cpuMicros();
        for (int i = 0; i < count; ++i) {
            frame.clear();
            encode(ping, frame);
            decode(std::span<const char>(frame).subspan(frameHeaderBytes), reason);
        }
        const double micros = (cpuMicros() - begin) / count;
        printPoint("messages", 1, { { "pingBytes", pingBytes }, { "gossipRequestBytes", requestBytes }, { "gossipReplyBytes", replyBytes }, { "changeBytes", changeBytes }, { "pingCodecMicros", micros } });
    }

    void measureLedger()
    {
        std::vector<Point> bytes;
        std::vector<Point> micros;
        for (const int entries : { 100, 1000, 4000 }) {
            LedgerRecord record { 1, 1, {} };
            for (int i = 0; i < entries; ++i)
                record.entries[ledgerKey("account", std::to_string(i))] = { std::string(32, 'b'), "12345678901234567890-" + std::to_string(i), 1'700'000'000, RecordedAnswer { 201, "application/json", std::string(60, 'x'), false } };
            const double begin = cpuMicros();
            const std::string text = toJson(record);
            const double spent = cpuMicros() - begin;
            bytes.push_back({ static_cast<double>(entries), static_cast<double>(text.size()) });
            micros.push_back({ static_cast<double>(entries), spent });
            printPoint("ledger shard", entries, { { "objectBytes", text.size() }, { "writeMicros", spent } });
        }
        printSlope("ledger object", "bytes an entry", bytes);
        printSlope("ledger write", "us an entry", micros);
    }

    void measureGroup()
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
            constexpr int switches = 200;
            const double begin = cpuMicros();
            for (int i = 0; i < switches; ++i) {
                leader.startStep();
                exchange();
                exchange();
            }
            const double spent = (cpuMicros() - begin) / switches;
            micros.push_back({ static_cast<double>(ranks), spent });
            printPoint("group leader", ranks, { { "microsPerAgreement", spent }, { "messagesPerAgreement", static_cast<double>(messages) / switches } });
        }
        printSlope("agreement of a group", "us a rank", micros);
    }

    struct ProcessUse {
        double cpuSeconds = 0;
        double residentMb = 0;
        double threads = 0;
    };

    ProcessUse readUse(pid_t pid)
    {
        ProcessUse use;
        // Time on the processor of each thread, in nanoseconds.
        for (const auto& thread : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
            std::ifstream stat(thread.path() / "schedstat");
            double nanos = 0;
            stat >> nanos;
            use.cpuSeconds += nanos / 1e9;
        }
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                use.residentMb = std::stod(line.substr(6)) / 1024;
            if (line.starts_with("Threads:"))
                use.threads = std::stod(line.substr(8));
        }
        return use;
    }

    double counterOf(tests::Cluster& cluster)
    {
        const HttpResult record = cluster.call(cluster.platformAddress(), "GET", "/record");
        boost::system::error_code error;
        const json::value value = json::parse(record.body, error);
        return error ? 0 : value.at("reads").to_number<double>() + value.at("writes").to_number<double>();
    }

    // Idle cost of real processes with no callers, and how soon a change is in force everywhere.
    void measureProcesses()
    {
        constexpr Millis idleTime { 4000 };
        std::vector<Point> entryCpu;
        std::vector<Point> entryMemory;
        std::vector<Point> sidecarCpu;
        for (const int enginesPerZone : { 1, 4, 8 }) {
            tests::ClusterShape shape;
            shape.engines = enginesPerZone;
            shape.services = 1;
            tests::Cluster cluster(shape);
            if (!cluster.waitReady())
                return;
            const double endpoints = static_cast<double>(cluster.endpoints().size());
            const ProcessUse entryBefore = readUse(cluster.entry(1).pid());
            const ProcessUse sidecarBefore = readUse(cluster.sidecar("z1-m1").pid());
            const double callsBefore = counterOf(cluster);
            std::this_thread::sleep_for(idleTime);
            const ProcessUse entry = readUse(cluster.entry(1).pid());
            const ProcessUse sidecar = readUse(cluster.sidecar("z1-m1").pid());
            const double seconds = std::chrono::duration<double>(idleTime).count();
            const double calls = (counterOf(cluster) - callsBefore) / seconds;
            const double entryShare = (entry.cpuSeconds - entryBefore.cpuSeconds) / seconds * 100;
            const double sidecarShare = (sidecar.cpuSeconds - sidecarBefore.cpuSeconds) / seconds * 100;
            const TimePoint sent = Clock::now();
            cluster.ctl("drain endpoint z1-m1");
            const double commandMillis = std::chrono::duration<double, std::milli>(Clock::now() - sent).count();
            const double inForceMillis = cluster.waitForRevision(sent);
            entryCpu.push_back({ endpoints, entryShare });
            entryMemory.push_back({ endpoints, entry.residentMb });
            sidecarCpu.push_back({ endpoints, sidecarShare });
            printPoint("idle processes", endpoints, { { "entryCpuPercent", entryShare }, { "entryMb", entry.residentMb }, { "entryThreads", entry.threads }, { "sidecarCpuPercent", sidecarShare }, { "sidecarMb", sidecar.residentMb }, { "sidecarThreads", sidecar.threads }, { "platformCallsPerSecond", calls }, { "commandMs", commandMillis }, { "inForceEverywhereMs", inForceMillis } });
        }
        printSlope("idle entry", "% of a core a link", entryCpu);
        printSlope("idle entry memory", "MB a link", entryMemory);
        printSlope("idle sidecar", "% of a core an endpoint elsewhere", sidecarCpu);
    }

} // namespace

int runCapacity()
{
    measureMessages();
    measureStore();
    measureSpread();
    measureLedger();
    measureGroup();
    measureProcesses();
    return 0;
}

} // namespace orioletrail::bench
