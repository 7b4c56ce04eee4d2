// A client that the customer does not control sends requests with the method TRACE and a body.
#include "cases.hpp"

namespace review {

namespace {

    constexpr int64_t calmMs = 4000;
    constexpr int64_t traceMs = 40'000;
    constexpr int64_t tracePauseMs = 1000;
    constexpr int64_t restartMs = 1000;
    constexpr int printClients = 4;
    constexpr int labelClients = 8;
    // Rule LOST: more requests than this that were passed on and whose connection ends without an answer.
    constexpr int mostLost = 3;
    // Rule Fault: so many ends of processes, each on so many machines.
    constexpr int mostEnds = 3;
    constexpr int machines = 2;

} // namespace

int runTraceWithBody(Deployment& deployment, bool hasTrouble)
{
    Record& record = deployment.record();
    json::object configuration { { "version", 7 }, { "routes", json::array { makeRoute("print-order", "ficu95.example", "/orders/", "non_idempotent", "print-desk", 600, 100, 1), makeRoute("order-status", "ficu95.example", "/status/", "idempotent", "print-desk", 600, 100, 2), makeRoute("draft-label", "ficu95.example", "/labels/", "non_idempotent", "label-desk", 8000, 2000, 1) } },
        { "services", json::array { json::object { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 100 } }, json::object { { "name", "label-desk" }, { "health_path", "/health" }, { "max_conns", 100 } } } },
        { "tenants", json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key-1" } } }, json::object { { "name", "kiosk" }, { "api_keys", json::array { "key-2" } } } } },
        { "limits", json::object { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    deployment.store().put("config", "main", configuration);
    for (const std::string zone : { "riga-a", "riga-b", "riga-c" }) {
        deployment.startReplica("i-print-" + zone, { "print-desk", zone, 6, { "--work-ms", "15" } });
        deployment.startReplica("i-label-" + zone, { "label-desk", zone, 6, { "--work-ms", "1000" } });
    }
    const std::map<int, std::string> entries { { 1, "riga-a" }, { 2, "riga-b" } };
    for (const auto& [entry, zone] : entries)
        deployment.startEntry(entry, zone);
    if (!deployment.waitUntilReady(1) || !deployment.waitUntilReady(2))
        return 2;
    sleepMs(3500);
    std::atomic<bool> isOver { false };
    std::atomic<bool> haveClientsEnded { false };
    std::map<int, int> ends;
    // The platform starts a process that has ended again.
    std::thread supervisor([&] {
        while (!haveClientsEnded) {
            for (const auto& [entry, zone] : entries) {
                if (deployment.entry(entry).isRunning())
                    continue;
                ++ends[entry];
                record.line("the process of entry " + std::to_string(entry) + " has ended by itself");
                sleepMs(restartMs);
                deployment.startEntry(entry, zone);
            }
            sleepMs(10);
        }
    });
    std::mutex mutex;
    std::map<int, int> answers;
    std::vector<std::string> unanswered;
    std::vector<std::thread> threads;
    for (int client = 0; client < printClients + labelClients; ++client)
        threads.emplace_back([&, client] {
            const int port = deployment.entryPort(1 + client % 2);
            const bool isPrint = client < printClients;
            std::unique_ptr<Connection> connection;
            for (int number = 1; !isOver; ++number) {
                const std::string id = "c" + std::to_string(client) + '-' + std::to_string(number);
                bool isKept = connection != nullptr;
                if (!connection)
                    connection = Connection::open(port, 1000);
                Connection::Answer answer;
                if (connection && connection->write(formatRequest("POST", isPrint ? "/orders/new" : "/labels/new", { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", isPrint ? "600" : "8000" }, { "Authorization", "Token key-1" } }, "order " + id)))
                    answer = connection->readAnswer(isPrint ? 3000 : 9000);
                if (!answer.status || answer.header("Connection") == "close")
                    connection.reset();
                {
                    const std::lock_guard lock(mutex);
                    ++answers[answer.status];
                    if (isKept && answer.connectionEnded)
                        unanswered.push_back(id);
                }
                sleepMs(isPrint ? 600 : 100);
            }
        });
    sleepMs(calmMs);
    const int64_t began = now();
    for (int number = 1; now() - began < traceMs; ++number) {
        const int entry = 1 + number % 2;
        const std::string id = "trace-" + std::to_string(number);
        const auto answer = callOnce(deployment.entryPort(entry), hasTrouble ? "TRACE" : "GET", "/status/17", { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "600" }, { "Authorization", "Token key-2" } }, hasTrouble ? "x" : "", 2000);
        record.line(id + " to entry " + std::to_string(entry) + ": " + (answer.status ? std::to_string(answer.status) : std::string("no answer")));
        sleepMs(tracePauseMs);
    }
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    // Entries end with the thread that started them again, so the clients end first.
    haveClientsEnded = true;
    supervisor.join();
    for (const auto& [status, count] : answers)
        record.line("ordinary clients got " + (status ? std::to_string(status) : std::string("no answer")) + ": " + std::to_string(count));
    const auto events = deployment.events();
    int lost = 0;
    for (const std::string& id : unanswered) {
        for (const auto& event : events) {
            if (event.request != id || event.what != "runs")
                continue;
            ++lost;
            record.line("the kept connection of " + id + " ended without an answer, though " + event.replica + " runs it");
        }
    }
    int machinesWithEnds = 0;
    for (const auto& [entry, count] : ends)
        machinesWithEnds += count >= mostEnds;
    record.line(std::to_string(lost) + " requests were passed on to a sound replica and lost, " + std::to_string(mostLost) + " are allowed (LOST)");
    record.line("processes ended by themselves three times or more on " + std::to_string(machinesWithEnds) + " machines, on fewer than " + std::to_string(machines) + " it is allowed (Fault)");
    return lost > mostLost || machinesWithEnds >= machines;
}

} // namespace review
