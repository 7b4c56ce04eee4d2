// A replica leaves without a report to the store, which then comes back from a copy in which the replica is ready.
#include "cases.hpp"

namespace review {

namespace {

    constexpr int64_t drainMs = 2000;
    constexpr int clients = 8;
    constexpr int64_t clientPauseMs = 60;

} // namespace

int runDrill(Deployment& deployment, bool hasTrouble)
{
    Record& record = deployment.record();
    json::object configuration { { "version", 7 }, { "routes", json::array { makeRoute("print-order", "ficu95.example", "/orders/", "non_idempotent", "print-desk", 600, 100, 1) } },
        { "services", json::array { json::object { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 100 } } } }, { "tenants", json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key-1" } } } } },
        { "limits", json::object { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    deployment.store().put("config", "main", configuration);
    const std::string leaving = "i-print-riga-b";
    for (const std::string zone : { "riga-a", "riga-b", "riga-c" })
        deployment.startReplica("i-print-" + zone, { "print-desk", zone, 6, { "--work-ms", "15" } });
    deployment.startEntry(1, "riga-a");
    deployment.startEntry(2, "riga-b");
    if (!deployment.waitUntilReady(1) || !deployment.waitUntilReady(2))
        return 2;
    std::atomic<bool> isOver { false };
    std::mutex mutex;
    struct Sent {
        int64_t at = 0;
        int entry = 0;
    };
    std::map<std::string, Sent> sent;
    // When each entry first passed on an answer that says that the replica leaves.
    std::map<int, int64_t> passedOn;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            const int entry = 1 + client % 2;
            for (int number = 1; !isOver; ++number) {
                const std::string id = "c" + std::to_string(client) + '-' + std::to_string(number);
                {
                    const std::lock_guard lock(mutex);
                    sent[id] = { now(), entry };
                }
                const auto answer = callOnce(deployment.entryPort(entry), "POST", "/orders/new", { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "600" }, { "Authorization", "Token key-1" } }, "order " + id, 2000);
                if (answer.header("Server-Leaving") == "1") {
                    const std::lock_guard lock(mutex);
                    if (passedOn.emplace(entry, now()).second)
                        record.line("entry " + std::to_string(entry) + " passes on an answer with Server-Leaving");
                }
                sleepMs(clientPauseMs);
            }
        });
    sleepMs(6000);
    deployment.leaveWithoutReport(leaving);
    sleepMs(300);
    deployment.store().remove("servers", leaving);
    record.line("the store removes the entry of " + leaving);
    sleepMs(700);
    if (hasTrouble)
        deployment.drill(500, 3000);
    sleepMs(6000);
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    int late = 0;
    for (const auto& event : deployment.events()) {
        if (event.replica != leaving || event.what != "runs" || !sent.count(event.request))
            continue;
        const Sent& request = sent[event.request];
        if (!passedOn.count(request.entry) || request.at <= passedOn[request.entry] + drainMs)
            continue;
        ++late;
        record.line(event.request + ", sent to entry " + std::to_string(request.entry) + ' ' + std::to_string(request.at - passedOn[request.entry]) + " ms after it had passed on that answer, runs at " + leaving);
    }
    record.line(std::to_string(late) + " requests reached the leaving replica later than drain_ms, none is allowed");
    return passedOn.empty() ? 2 : late > 0;
}

} // namespace review
