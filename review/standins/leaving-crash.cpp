// Replicas of a service answer without a length: their answers end with their connections. One after the other they are
// taken away: each reports that it is draining, still has answers to give, and crashes before it has given them. Checks
// MIXED and ORDER: an answer that ends early must not look complete.
#include "world.hpp"

#include <boost/json/src.hpp>
#include <deque>
#include <memory>

using namespace standin;

namespace {

constexpr int rounds = 6;
constexpr int replicas = 8;
constexpr int requestsPerRound = 48;
constexpr int pieces = 20;
constexpr int pieceMillis = 60;
// After the start of the requests of a round: when the replica reports that it drains, and when it crashes.
constexpr int drainAfterMillis = 200;
constexpr int crashAfterMillis = 700;

std::string pieceOf(int number) { return "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n"; }

std::string wholeStream()
{
    std::string text;
    for (int number = 1; number <= pieces; ++number)
        text += pieceOf(number);
    return text;
}

// A replica that ends when it is killed. Runs as a process of its own.
int runReplica(const std::string& id, const std::string& ip, int port, const std::string& recordPath)
{
    Record record(recordPath, false);
    Listener listener;
    const bool isOk = listener.start(ip, port, [&](Connection& connection) {
        Request request;
        while (connection.readRequest(request)) {
            const std::string requestId = request.header("X-Request-Id");
            if (request.target == "/health" || request.path() == "/orioletrail/report") {
                connection.write(jsonAnswerOf(200, "{\"born\":" + std::to_string(1'700'000'000'000) + "}"));
                continue;
            }
            if (request.header("X-Expect-Replica") != id) {
                connection.write(answerOf(421, { { "X-Request-Id", requestId }, { "X-Not-Run", "1" } }, ""));
                continue;
            }
            const std::string from = request.header("Last-Event-Id");
            const bool isStream = request.target.rfind("/draft/", 0) == 0;
            record.write("run " + id + ' ' + requestId + (from.empty() ? "" : " from " + from));
            Headers headers { { "X-Request-Id", requestId }, { "X-Reply-Stamp", "stamp." + id + '.' + requestId } };
            if (isStream)
                headers.emplace_back("Content-Type", "text/event-stream");
            bool isOpen = connection.write(headOf(200, headers));
            for (int piece = from.empty() ? 1 : atoi(from.c_str()) + 1; isOpen && piece <= pieces; ++piece) {
                isOpen = connection.write(pieceOf(piece));
                sleepFor(pieceMillis);
            }
            record.write(std::string(isOpen ? "ended " : "cut ") + id + ' ' + requestId);
            // The answer ends with its connection.
            return;
        }
    });
    if (!isOk)
        return 2;
    while (true)
        pause();
}

json::object routeOf(const char* prefix, const char* kind, int attempts)
{
    return { { "name", prefix }, { "host", "app.example" }, { "path_prefix", prefix }, { "kind", kind }, { "resumable", !strcmp(kind, "stream") }, { "service", "desk" }, { "timeout_ms", 6000 }, { "goal_ms", 500 }, { "gap_goal_ms", 500 }, { "priority", 1 }, { "max_attempts", attempts } };
}

json::object configuration()
{
    json::object service { { "name", "desk" }, { "health_path", "/health" }, { "max_conns", 220 } };
    json::object limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 5000 }, { "idle_timeout_ms", 15000 } };
    json::object main { { "version", 1 } };
    main["routes"] = json::array { routeOf("/draft/", "stream", 2), routeOf("/orders/", "non_idempotent", 1) };
    main["services"] = json::array { std::move(service) };
    main["tenants"] = json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key1" } } } };
    main["limits"] = std::move(limits);
    return main;
}

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc == 6 && std::string(argv[1]) == "replica")
        return runReplica(argv[2], argv[3], atoi(argv[4]), argv[5]);
    if (argc < 3)
        return 2;
    Record record(argv[1]);
    const Addresses addresses;
    Programs programs(addresses, argv[2]);
    Store store;
    if (!store.start(addresses.node(250), addresses.store()))
        return 2;
    store.put("config", "main", configuration());
    struct Replica {
        std::string id;
        std::string address;
        std::string zone;
        pid_t pid;
    };
    const auto registerReplica = [&](const Replica& replica, const char* state) {
        store.put("servers", replica.id, json::object { { "service", "desk" }, { "addr", replica.address }, { "zone", replica.zone }, { "version", "1" }, { "slots", 12 }, { "state", state }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", 1'700'000'000'000 } });
        record.write("registered " + replica.id + ' ' + state);
    };
    int nodes = 100;
    const auto startReplica = [&] {
        const std::string ip = addresses.node(nodes);
        Replica replica { "i-" + newId(), ip + ':' + std::to_string(addresses.app()), nodes % 2 ? "z2" : "z1", 0 };
        ++nodes;
        replica.pid = programs.startStandin({ "replica", replica.id, ip, std::to_string(addresses.app()), argv[1] });
        sleepFor(200);
        registerReplica(replica, "ready");
        return replica;
    };
    // Of eight replicas, one crashes at a time; a new one takes its place.
    std::deque<Replica> running;
    while (running.size() < replicas)
        running.push_back(startReplica());
    programs.startEntry(1, "z1");
    if (!programs.waitUntilReady(1, 15'000))
        return 2;
    std::atomic<int> whole = 0;
    std::atomic<int> failed = 0;
    std::atomic<int> broken = 0;
    for (int round = 0; round < rounds; ++round) {
        const Replica leaving = running.front();
        running.pop_front();
        std::vector<std::thread> threads;
        for (int number = 0; number < requestsPerRound; ++number) {
            threads.emplace_back([&, number] {
                const int fd = Connection::connectTo(addresses.node(1), addresses.front());
                if (fd < 0)
                    return;
                Connection connection(fd);
                connection.setTimeout(8000);
                const std::string id = newId();
                const bool isStream = number % 2;
                record.write("sent " + id + (isStream ? " stream" : " order"));
                connection.write(std::string("POST ") + (isStream ? "/draft/" : "/orders/") + id + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\nAuthorization: Token key1\r\nContent-Length: 5\r\n\r\nlabel");
                const Response response = connection.readResponse();
                const bool isSuccess = response.isComplete && response.status / 100 == 2;
                const bool isWhole = isSuccess && response.body == wholeStream() && !response.header("X-Reply-Stamp").empty();
                const std::string what = std::to_string(response.status) + (response.isComplete ? " complete, " : " not complete, ") + std::to_string(response.body.size()) + " of " + std::to_string(wholeStream().size()) + " bytes";
                record.write("answered " + id + ' ' + what);
                if (isSuccess && !isWhole)
                    record.write("BROKEN MIXED " + id + (isStream ? " (ORDER) stream " : " order ") + what);
                ++(isWhole ? whole : isSuccess ? broken
                                               : failed);
            });
        }
        sleepFor(drainAfterMillis);
        registerReplica(leaving, "draining");
        sleepFor(crashAfterMillis - drainAfterMillis);
        if (hasTrouble()) {
            record.write("crash " + leaving.id);
            kill(leaving.pid, SIGKILL);
        }
        for (std::thread& thread : threads)
            thread.join();
        kill(leaving.pid, SIGKILL);
        store.remove("servers", leaving.id);
        record.write("removed " + leaving.id);
        running.push_back(startReplica());
        sleepFor(800);
    }
    const std::string summary = "summary: " + std::to_string(whole) + " whole answers, " + std::to_string(failed) + " failures, " + std::to_string(broken) + " successes that are not whole";
    record.write(summary);
    puts(summary.c_str());
    programs.end();
    finish(whole < rounds ? 2 : broken ? 1
                                       : 0);
}
