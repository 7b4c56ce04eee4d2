// Requests crash each replica that begins to run them, and are refused. Then the processes of all entries are killed, and the requests come
// again.
#include "cases.hpp"

namespace review {

namespace {

    constexpr int crashingRequests = 3;
    constexpr int otherClients = 8;
    constexpr int64_t otherPauseMs = 20;
    constexpr int64_t stableWindowMs = 3000;
    constexpr int64_t replicaBackMs = 2500;
    // More retries than this break the rule.
    constexpr int mostRetries = 3;

    Connection::Answer ask(Deployment& deployment, int entry, const std::string& target, const std::string& id)
    {
        return callOnce(deployment.entryPort(entry), "GET", target, { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "1500" }, { "Authorization", "Token key-1" } }, {}, 3000);
    }

} // namespace

int runForgottenCrashes(Deployment& deployment, bool hasTrouble)
{
    Record& record = deployment.record();
    json::object configuration { { "version", 7 }, { "routes", json::array { makeRoute("print-order", "ficu95.example", "/orders/", "non_idempotent", "print-desk", 600, 100, 1), makeRoute("order-status", "ficu95.example", "/status/", "idempotent", "print-desk", 1500, 300, 2) } },
        { "services", json::array { json::object { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 100 } } } }, { "tenants", json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key-1" } } } } },
        { "limits", json::object { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    deployment.store().put("config", "main", configuration);
    std::vector<std::string> replicas;
    for (const std::string name : { "riga-a-1", "riga-a-2", "riga-a-3", "riga-b-1", "riga-b-2", "riga-b-3", "riga-c-1", "riga-c-2", "riga-c-3" }) {
        replicas.push_back("i-print-" + name);
        deployment.startReplica(replicas.back(), { "print-desk", name.substr(0, 6), 6, { "--work-ms", "15", "--poison-ms", "5" } });
    }
    deployment.startEntry(1, "riga-a");
    deployment.startEntry(2, "riga-b");
    if (!deployment.waitUntilReady(1) || !deployment.waitUntilReady(2))
        return 2;
    sleepMs(stableWindowMs + 500);
    std::atomic<bool> isOver { false };
    std::atomic<bool> haveClientsEnded { false };
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
    std::atomic<int> sent { 0 };
    std::atomic<int> answered { 0 };
    std::vector<std::thread> others;
    for (int client = 0; client < otherClients; ++client)
        others.emplace_back([&] {
            while (!isOver) {
                const int number = ++sent;
                const std::string id = "other-" + std::to_string(number);
                const auto answer = callOnce(deployment.entryPort(1 + number % 2), "POST", "/orders/new", { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "600" }, { "Authorization", "Token key-1" } }, "order " + id, 2000);
                answered += answer.status == 200;
                sleepMs(otherPauseMs);
            }
        });
    int attempts = 0;
    // As clients do: a request that fails is repeated once, on a new connection, which reaches another machine.
    const auto comeAgain = [&](int number) {
        for (int entry : { 1, 2 }) {
            const std::string id = "crash" + std::to_string(number) + '-' + std::to_string(++attempts);
            const auto answer = ask(deployment, entry, "/status/poison-" + std::to_string(number), id);
            record.line(id + " to entry " + std::to_string(entry) + ": " + (answer.status ? std::to_string(answer.status) : std::string("no answer")));
            if (answer.status / 100 == 2 || answer.status == 400 || answer.status == 401 || answer.status == 404)
                return;
        }
    };
    for (int round = 0; round < 2; ++round)
        for (int number = 1; number <= crashingRequests; ++number) {
            comeAgain(number);
            sleepMs(4000);
        }
    if (hasTrouble) {
        record.line("the processes of both entries are killed");
        for (int entry : { 1, 2 })
            deployment.entry(entry).kill();
        sleepMs(500);
        deployment.startEntry(1, "riga-a");
        deployment.startEntry(2, "riga-b");
        if (!deployment.waitUntilReady(1) || !deployment.waitUntilReady(2))
            return 2;
        record.line("both entries are ready again");
        sleepMs(stableWindowMs + 500);
    }
    for (int round = 0; round < 2; ++round)
        for (int number = 1; number <= crashingRequests; ++number) {
            comeAgain(number);
            sleepMs(4000);
        }
    isOver = true;
    // Replicas end with the thread that started them again, so the clients end first.
    for (std::thread& other : others)
        other.join();
    haveClientsEnded = true;
    supervisor.join();
    std::map<std::string, bool> isAnswered;
    int cut = 0;
    const auto events = deployment.events();
    for (const auto& event : events)
        if (event.what == "answered")
            isAnswered[event.request] = true;
    for (const auto& event : events)
        cut += event.what == "runs" && event.request.rfind("other-", 0) == 0 && !isAnswered.count(event.request);
    record.line("ordinary orders: " + std::to_string(sent) + " sent, " + std::to_string(answered) + " answered with success, " + std::to_string(cut) + " lost with the replica that ran them");
    int result = 0;
    for (int number = 1; number <= crashingRequests; ++number) {
        const std::string prefix = "crash" + std::to_string(number) + '-';
        std::vector<int64_t> crashes;
        int retries = 0;
        for (const auto& event : events) {
            if (event.request.rfind(prefix, 0) != 0)
                continue;
            if (event.what == "crashes")
                crashes.push_back(event.at);
            if (event.what == "runs" && crashes.size() >= 3 && event.at > crashes[2] + stableWindowMs) {
                ++retries;
                record.line("retry later than stable_window_ms after the third crash: " + event.request + " at " + event.replica);
            }
        }
        record.line("request " + std::to_string(number) + ": " + std::to_string(crashes.size()) + " crashes, " + std::to_string(retries) + " such retries, " + std::to_string(mostRetries) + " are allowed");
        result = std::max(result, crashes.size() < 3 ? 2 : retries > mostRetries ? 1
                                                                                 : 0);
    }
    return result;
}

} // namespace review
