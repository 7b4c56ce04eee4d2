// An order service of three replicas, one of which is grey at times: its health check is good, but it fails a part of the
// orders after it has run them. It answers 503 without X-Not-Run then. Checks REFUSED.
#include "world.hpp"

#include <boost/json/src.hpp>
#include <memory>

using namespace standin;

namespace {

constexpr int replicas = 3;
constexpr int slots = 6;
constexpr int workMillis = 15;
constexpr double failedShare = 0.45;
constexpr int clients = 6;
constexpr int durationMillis = 30'000;
constexpr Millis greyDuration { 6500 };
constexpr Millis greyPeriod { 10'000 };

class OrderReplica {
public:
    OrderReplica(std::string id, bool isGrey, Record& record)
        : m_id(std::move(id))
        , m_isGrey(isGrey)
        , m_record(record)
    {
    }

    bool start(const std::string& ip, int port)
    {
        return m_listener.start(ip, port, [this](Connection& connection) {
            Request request;
            while (connection.readRequest(request))
                if (!connection.write(handle(request)))
                    return;
        });
    }

    std::map<std::string, int> runs()
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    std::string handle(const Request& request)
    {
        const std::string id = request.header("X-Request-Id");
        Headers headers { { "X-Replica-Id", m_id } };
        if (request.target == "/health")
            return answerOf(200, headers, "");
        headers.emplace_back("X-Request-Id", id);
        if (request.header("X-Expect-Replica") != m_id) {
            headers.emplace_back("X-Not-Run", "1");
            return answerOf(421, headers, "");
        }
        {
            std::lock_guard lock(m_mutex);
            ++m_runs[id];
        }
        const bool isFailed = m_isGrey && hasTrouble() && isWithinWindow(greyDuration, greyPeriod) && chance(failedShare);
        m_record.write("run " + m_id + ' ' + id + (isFailed ? ", answered 503 without X-Not-Run" : ""));
        sleepFor(workMillis);
        headers.emplace_back("X-Reply-Stamp", "stamp." + m_id + '.' + id);
        headers.emplace_back("X-Replica-Load", "1,0," + std::to_string(slots));
        return isFailed ? answerOf(503, headers, "failed") : answerOf(200, headers, "printed " + id);
    }

    std::string m_id;
    bool m_isGrey;
    Record& m_record;
    Listener m_listener;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

json::object configuration()
{
    json::object route { { "name", "print-order" }, { "host", "app.example" }, { "path_prefix", "/orders/" }, { "kind", "non_idempotent" }, { "service", "print-desk" }, { "timeout_ms", 1500 }, { "goal_ms", 300 }, { "priority", 1 }, { "max_attempts", 1 } };
    json::object service { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 220 } };
    json::object limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 5000 }, { "idle_timeout_ms", 15000 } };
    json::object main { { "version", 1 } };
    main["routes"] = json::array { std::move(route) };
    main["services"] = json::array { std::move(service) };
    main["tenants"] = json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key1" } } } };
    main["limits"] = std::move(limits);
    return main;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    const Addresses addresses;
    Programs programs(addresses, argv[2]);
    Store store;
    if (!store.start(addresses.node(250), addresses.store()))
        return 2;
    std::vector<std::unique_ptr<OrderReplica>> service;
    for (int number = 0; number < replicas; ++number) {
        const std::string id = "i-" + newId();
        const std::string ip = addresses.node(100 + number);
        service.push_back(std::make_unique<OrderReplica>(id, !number, record));
        if (!service.back()->start(ip, addresses.app()))
            return 2;
        store.put("servers", id, json::object { { "service", "print-desk" }, { "addr", ip + ':' + std::to_string(addresses.app()) }, { "zone", "z" + std::to_string(1 + number) }, { "version", "1" }, { "slots", slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", 1'700'000'000'000 } });
    }
    store.put("config", "main", configuration());
    programs.startEntry(1, "z1");
    programs.startEntry(2, "z2");
    if (!programs.waitUntilReady(1, 15'000) || !programs.waitUntilReady(2, 15'000))
        return 2;
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::vector<std::thread> threads;
    const auto until = Clock::now() + Millis(durationMillis);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            while (Clock::now() < until) {
                const int fd = Connection::connectTo(addresses.node(1 + client % 2), addresses.front());
                if (fd < 0)
                    continue;
                Connection connection(fd);
                connection.setTimeout(3000);
                const std::string id = newId();
                record.write("sent " + id);
                connection.write("POST /orders/" + id + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key1\r\nContent-Length: 5\r\n\r\norder");
                const Response response = connection.readResponse();
                record.write("answered " + id + ' ' + std::to_string(response.status));
                {
                    std::lock_guard lock(mutex);
                    answers[id] = response.isComplete ? response.status : 0;
                }
                sleepFor(150);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    sleepFor(1000);
    std::map<std::string, int> runs;
    for (const auto& replica : service)
        for (const auto& [id, count] : replica->runs())
            runs[id] += count;
    std::map<int, int> byStatus;
    int refused = 0;
    for (const auto& [id, status] : answers) {
        ++byStatus[status];
        if (runs.contains(id) && (status == 503 || status == 429 || status == 408 || status == 421)) {
            ++refused;
            record.write("BROKEN REFUSED " + id + " ran, answered " + std::to_string(status));
        }
    }
    std::string summary = "summary: " + std::to_string(answers.size()) + " orders;";
    for (const auto& [status, count] : byStatus)
        summary += ' ' + std::to_string(status) + ": " + std::to_string(count) + ';';
    summary += " refused though run: " + std::to_string(refused);
    record.write(summary);
    puts(summary.c_str());
    programs.end();
    finish(byStatus[200] < 100 ? 2 : refused ? 1
                                             : 0);
}
