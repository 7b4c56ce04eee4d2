// Two entries before an order service with a replica in each of two zones, one of which is evacuated for a minute. The
// other replica is full at times and rejects orders then. It sends a second copy of a few of its answers late: where the
// next response on that connection is due. Checks TWICE and REFUSED.
#include "world.hpp"

#include <boost/json/src.hpp>
#include <set>

using namespace standin;

namespace {

constexpr int slots = 6;
constexpr int queueLength = 2;
constexpr int workMillis = 15;
// Share of the answers of one of the two replicas that are sent twice, for some seconds at a time.
constexpr double copiedShare = 0.03;
constexpr Millis troubleDuration { 5000 };
constexpr Millis troublePeriod { 8000 };
constexpr int durationMillis = 58'000;
constexpr int clients = 16;

class OrderReplica {
public:
    OrderReplica(std::string id, bool copies, Record& record)
        : m_id(std::move(id))
        , m_copies(copies)
        , m_record(record)
    {
    }

    bool start(const std::string& ip, int port)
    {
        return m_listener.start(ip, port, [this](Connection& connection) { serve(connection); });
    }

    std::map<std::string, int> runs()
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void serve(Connection& connection)
    {
        std::string copy;
        Request request;
        while (connection.readRequest(request)) {
            const std::string answer = handle(request);
            // The extra answer arrives where the answer to this request is due.
            if (!copy.empty()) {
                m_record.write("extra " + m_id + " a second copy of the previous answer on this connection, before the answer to " + request.header("X-Request-Id"));
                if (!connection.write(copy))
                    return;
                copy.clear();
            }
            if (!connection.write(answer))
                return;
            if (m_copies && hasTrouble() && !request.header("X-Request-Id").empty() && isWithinWindow(troubleDuration, troublePeriod) && chance(copiedShare))
                copy = answer;
        }
    }

    std::string handle(const Request& request)
    {
        const std::string id = request.header("X-Request-Id");
        Headers headers { { "X-Replica-Id", m_id } };
        if (request.target == "/health")
            return answerOf(200, headers, "");
        if (id.empty())
            return answerOf(404, headers, "");
        headers.emplace_back("X-Request-Id", id);
        std::unique_lock lock(m_mutex);
        if (request.header("X-Expect-Replica") != m_id) {
            headers.emplace_back("X-Not-Run", "1");
            return answerOf(421, headers, "");
        }
        if (m_running >= slots && m_waiting >= queueLength) {
            headers.emplace_back("X-Not-Run", "1");
            headers.emplace_back("X-Replica-Load", load());
            m_record.write("rejected " + m_id + ' ' + id + " full 503 X-Not-Run");
            return answerOf(503, headers, "");
        }
        ++m_waiting;
        m_free.wait(lock, [this] { return m_running < slots; });
        --m_waiting;
        ++m_running;
        ++m_runs[id];
        m_record.write("run " + m_id + ' ' + id);
        lock.unlock();
        sleepFor(workMillis);
        lock.lock();
        --m_running;
        m_free.notify_one();
        headers.emplace_back("X-Reply-Stamp", "stamp." + m_id + '.' + id);
        headers.emplace_back("X-Replica-Load", load());
        return answerOf(200, headers, "printed " + id);
    }

    std::string load() const { return std::to_string(m_running) + ',' + std::to_string(m_waiting) + ',' + std::to_string(slots); }

    std::string m_id;
    bool m_copies;
    Record& m_record;
    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_free;
    int m_running = 0;
    int m_waiting = 0;
    std::map<std::string, int> m_runs;
};

json::object configuration()
{
    json::object route { { "name", "print-order" }, { "host", "app.example" }, { "path_prefix", "/orders/" }, { "kind", "non_idempotent" }, { "service", "print-desk" }, { "timeout_ms", 1500 }, { "goal_ms", 300 }, { "priority", 1 }, { "max_attempts", 1 } };
    json::object service { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 220 } };
    json::object tenant { { "name", "bakery" }, { "api_keys", json::array { "key1" } } };
    json::object limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 5000 }, { "idle_timeout_ms", 15000 } };
    json::object main { { "version", 1 } };
    main["routes"] = json::array { std::move(route) };
    main["services"] = json::array { std::move(service) };
    main["tenants"] = json::array { std::move(tenant) };
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
    std::vector<std::unique_ptr<OrderReplica>> replicas;
    for (int number = 0; number < 2; ++number) {
        const std::string id = "i-" + newId();
        replicas.push_back(std::make_unique<OrderReplica>(id, number == 0, record));
        const std::string ip = addresses.node(100 + number);
        if (!replicas.back()->start(ip, addresses.app()))
            return 2;
        store.put("servers", id, json::object { { "service", "print-desk" }, { "addr", ip + ':' + std::to_string(addresses.app()) }, { "zone", number ? "z2" : "z1" }, { "version", "1" }, { "slots", slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", 1'700'000'000'000 } });
    }
    store.put("config", "main", configuration());
    programs.startEntry(1, "z1");
    programs.startEntry(2, "z2");
    if (!programs.waitUntilReady(1, 15'000) || !programs.waitUntilReady(2, 15'000))
        return 2;
    sleepFor(1000);
    record.write("evacuated z2");
    store.put("evacuations", "z2", json::object());
    sleepFor(1000);
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::vector<std::thread> threads;
    const auto until = Clock::now() + Millis(durationMillis);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            const std::string ip = addresses.node(1 + client % 2);
            std::unique_ptr<Connection> connection;
            while (Clock::now() < until) {
                if (!connection) {
                    const int fd = Connection::connectTo(ip, addresses.front());
                    if (fd < 0)
                        continue;
                    connection = std::make_unique<Connection>(fd);
                    connection->setTimeout(3000);
                }
                const std::string id = newId();
                record.write("sent " + id);
                connection->write("POST /orders/" + id + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key1\r\nContent-Length: 5\r\n\r\norder");
                const Response response = connection->readResponse();
                {
                    std::lock_guard lock(mutex);
                    answers[id] = response.isComplete ? response.status : 0;
                }
                record.write("answered " + id + ' ' + std::to_string(response.status) + (response.header("X-Reply-Stamp").empty() ? "" : " stamped"));
                if (!response.isComplete || !strcasecmp(response.header("Connection").c_str(), "close"))
                    connection.reset();
                // A client sends its next order some time after a refusal or an answer.
                sleepFor(response.status == 200 ? 20 : 60 + client);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    store.remove("evacuations", "z2");
    record.write("evacuation of z2 ended");
    sleepFor(2000);
    std::map<std::string, int> runs;
    for (const auto& replica : replicas)
        for (const auto& [id, count] : replica->runs())
            runs[id] += count;
    std::map<int, int> byStatus;
    int refused = 0;
    int twice = 0;
    for (const auto& [id, status] : answers) {
        ++byStatus[status];
        const int count = runs.contains(id) ? runs.at(id) : 0;
        if (count > 1) {
            ++twice;
            record.write("BROKEN TWICE " + id + " ran " + std::to_string(count) + " times, answered " + std::to_string(status));
        }
        if (count && (status == 503 || status == 429 || status == 408 || status == 421)) {
            ++refused;
            record.write("BROKEN REFUSED " + id + " ran " + std::to_string(count) + " times, answered " + std::to_string(status));
        }
    }
    std::string summary = "summary: " + std::to_string(answers.size()) + " orders;";
    for (const auto& [status, count] : byStatus)
        summary += ' ' + std::to_string(status) + ": " + std::to_string(count) + ';';
    summary += " refused though run: " + std::to_string(refused) + "; run twice: " + std::to_string(twice);
    record.write(summary);
    puts(summary.c_str());
    programs.end();
    finish(byStatus[200] < 100 ? 2 : refused || twice ? 1
                                                      : 0);
}
