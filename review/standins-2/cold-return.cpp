// A replica comes back cold, under the id that it had, while the platform's store is down.
#include "cases.hpp"

namespace review {

namespace {

    constexpr int coldPerSecond = 28;
    constexpr int mostInOneSecond = coldPerSecond * 3 / 2 + 5;
    // The replica crashes at a rate well above what it tolerates.
    constexpr int crashAbove = 2 * coldPerSecond;
    constexpr int64_t coldMs = 3000;
    constexpr int64_t storeDownMs = 4500;
    constexpr int clients = 24;
    constexpr int64_t clientPauseMs = 80;

} // namespace

int runColdReturn(Deployment& deployment, bool hasTrouble)
{
    Record& record = deployment.record();
    json::object configuration { { "version", 7 }, { "routes", json::array { makeRoute("print-order", "ficu95.example", "/orders/", "non_idempotent", "print-desk", 1500, 300, 1) } },
        { "services", json::array { json::object { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 278 }, { "cold_s", 3.0 }, { "cold_per_s", coldPerSecond } } } }, { "tenants", json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key-1" } } } } },
        { "limits", json::object { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 10000 }, { "idle_timeout_ms", 15000 } } } };
    deployment.store().put("config", "main", configuration);
    const std::string victim = "i-print-riga-b";
    for (const std::string zone : { "riga-a", "riga-b", "riga-c" })
        deployment.startReplica("i-print-" + zone, { "print-desk", zone, 12, { "--work-ms", "15", "--crash-above", std::to_string(crashAbove) } });
    deployment.startEntry(1, "riga-a");
    deployment.startEntry(2, "riga-b");
    if (!deployment.waitUntilReady(1) || !deployment.waitUntilReady(2))
        return 2;
    std::atomic<bool> isOver { false };
    std::map<int, int> answers;
    std::mutex mutex;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            const int port = deployment.entryPort(1 + client % 2);
            auto connection = Connection::open(port, 1000);
            for (int number = 1; !isOver; ++number) {
                const std::string id = "c" + std::to_string(client) + '-' + std::to_string(number);
                if (!connection)
                    connection = Connection::open(port, 1000);
                Connection::Answer answer;
                if (connection && connection->write(formatRequest("POST", "/orders/new", { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "1500" }, { "Authorization", "Token key-1" } }, "order " + id)))
                    answer = connection->readAnswer(3000);
                if (!answer.status || answer.header("Connection") == "close")
                    connection.reset();
                {
                    const std::lock_guard lock(mutex);
                    ++answers[answer.status];
                }
                sleepMs(clientPauseMs);
            }
        });
    sleepMs(6000);
    int64_t coldFrom = now();
    if (hasTrouble) {
        record.line("the platform's store is down");
        deployment.store().setSilent(true);
        const int64_t downFrom = now();
        sleepMs(300);
        deployment.killReplica(victim);
        sleepMs(1500);
        coldFrom = now();
        deployment.restartReplica(victim, coldMs);
        sleepMs(storeDownMs - (now() - downFrom));
        deployment.store().setSilent(false);
        record.line("the platform's store is back");
    }
    sleepMs(coldMs + 1000);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    for (const auto& [status, count] : answers)
        record.line("clients got " + (status ? std::to_string(status) : std::string("no answer")) + ": " + std::to_string(count));
    const auto events = deployment.events();
    std::map<std::string, bool> isAnswered;
    size_t lost = 0;
    for (const auto& event : events)
        if (event.what == "answered")
            isAnswered[event.request] = true;
    for (const auto& event : events)
        lost += event.replica == victim && event.what == "runs" && event.at >= coldFrom && !isAnswered.count(event.request);
    for (const auto& event : events)
        if (event.what == "crashes")
            record.line("the cold replica " + event.replica + " crashed at " + std::to_string(event.at) + " ms: more came than it tolerates");
    if (hasTrouble)
        record.line("orders that it had begun to run and didn't answer: " + std::to_string(lost));
    std::vector<int64_t> arrivals;
    size_t most = 0;
    for (const auto& event : events)
        if (hasTrouble && event.replica == victim && event.what == "runs" && event.at >= coldFrom && event.at < coldFrom + coldMs)
            arrivals.push_back(event.at);
    int64_t mostAt = 0;
    for (size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[first] <= arrivals[last] - 1000)
            ++first;
        if (last - first + 1 > most) {
            most = last - first + 1;
            mostAt = arrivals[first];
        }
    }
    record.line("cold from " + std::to_string(coldFrom) + " ms on; most requests within one second: " + std::to_string(most) + ", from " + std::to_string(mostAt) + " ms on; " + std::to_string(mostInOneSecond) + " are allowed");
    return most > mostInOneSecond;
}

} // namespace review
