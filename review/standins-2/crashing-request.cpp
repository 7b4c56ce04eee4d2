// A request crashes each replica that begins to run it. Its client repeats it three times at once, at both machines, and comes again with it some seconds later.
#include "cases.hpp"

namespace review {

namespace {

    constexpr int rounds = 4;
    constexpr int copies = 4;
    constexpr int otherClients = 24;
    constexpr int64_t otherPauseMs = 30;
    constexpr int64_t roundMs = 6000;
    constexpr int64_t replicaBackMs = 2500;
    constexpr int64_t stableWindowMs = 3000;
    // More retries than this break the rule.
    constexpr int mostRetries = 3;

    Connection::Answer order(Deployment& deployment, int entry, const std::string& id, const std::string& body)
    {
        return callOnce(deployment.entryPort(entry), "POST", "/orders/new", { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "600" }, { "Authorization", "Token key-1" } }, body, 3000);
    }

} // namespace

int runCrashingRequest(Deployment& deployment, bool hasTrouble)
{
    Record& record = deployment.record();
    json::object configuration { { "version", 7 }, { "routes", json::array { makeRoute("print-order", "ficu95.example", "/orders/", "non_idempotent", "print-desk", 600, 100, 1) } },
        { "services", json::array { json::object { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 100 } } } }, { "tenants", json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key-1" } } } } },
        { "limits", json::object { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 10000 }, { "idle_timeout_ms", 15000 } } } };
    deployment.store().put("config", "main", configuration);
    std::vector<std::string> replicas;
    for (const std::string name : { "riga-a-1", "riga-a-2", "riga-b-1", "riga-b-2", "riga-c-1", "riga-c-2" }) {
        replicas.push_back("i-print-" + name);
        deployment.startReplica(replicas.back(), { "print-desk", name.substr(0, 6), 6, { "--work-ms", "15", "--poison-ms", "60" } });
    }
    deployment.startEntry(1, "riga-a");
    deployment.startEntry(2, "riga-b");
    if (!deployment.waitUntilReady(1) || !deployment.waitUntilReady(2))
        return 2;
    // In touch: no start in the last stable window.
    sleepMs(stableWindowMs + 500);
    std::atomic<bool> isOver { false };
    std::atomic<bool> haveClientsEnded { false };
    // The platform starts a crashed replica again.
    std::thread supervisor([&] {
        std::map<std::string, int64_t> downSince;
        while (!haveClientsEnded) {
            for (const std::string& replica : replicas) {
                if (deployment.isReplicaRunning(replica))
                    downSince.erase(replica);
                else if (now() - downSince.try_emplace(replica, now()).first->second >= replicaBackMs)
                    deployment.restartReplica(replica);
            }
            sleepMs(20);
        }
    });
    std::atomic<int> answered { 0 };
    std::atomic<int> sent { 0 };
    std::vector<std::thread> others;
    for (int client = 0; client < otherClients; ++client)
        others.emplace_back([&] {
            while (!isOver) {
                const int number = ++sent;
                answered += order(deployment, 1 + number % 2, "other-" + std::to_string(number), "order " + std::to_string(number)).status == 200;
                sleepMs(otherPauseMs);
            }
        });
    for (int round = 1; round <= rounds; ++round) {
        const int64_t began = now();
        record.line("round " + std::to_string(round) + ": the client sends the same order " + std::to_string(copies) + " times at once");
        std::vector<std::thread> clients;
        for (int copy = 1; copy <= copies; ++copy)
            clients.emplace_back([&, copy] {
                const std::string id = "same-" + std::to_string(round) + '-' + std::to_string(copy);
                const auto answer = order(deployment, 1 + copy % 2, id, hasTrouble ? "poison order of 40 rolls" : "order of 40 rolls");
                record.line("  " + id + " to entry " + std::to_string(1 + copy % 2) + ": " + std::to_string(answer.status));
            });
        for (std::thread& client : clients)
            client.join();
        sleepMs(roundMs - (now() - began));
    }
    isOver = true;
    // Replicas end with the thread that started them again, so the clients end first.
    for (std::thread& other : others)
        other.join();
    haveClientsEnded = true;
    supervisor.join();
    record.line("ordinary orders: " + std::to_string(sent) + " sent, " + std::to_string(answered) + " answered with success");
    std::vector<int64_t> crashes;
    int retries = 0;
    for (const auto& event : deployment.events()) {
        if (event.what == "crashes")
            crashes.push_back(event.at);
        const bool isLate = crashes.size() >= 3 && event.at > crashes[2] + stableWindowMs;
        if (isLate && event.what == "runs" && event.request.rfind("same-", 0) == 0) {
            ++retries;
            record.line("retry later than stable_window_ms after the third crash: " + event.request + " at " + event.replica);
        }
    }
    record.line(std::to_string(crashes.size()) + " crashes; " + std::to_string(retries) + " such retries, " + std::to_string(mostRetries) + " are allowed");
    return hasTrouble && crashes.size() < 3 ? 2 : retries > mostRetries;
}

} // namespace review
