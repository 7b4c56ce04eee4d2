// The operator raises a limit while clients keep their connections open.
#include "cases.hpp"

namespace review {

int runRaisedLimit(Deployment& deployment, bool hasTrouble)
{
    Record& record = deployment.record();
    const auto configuration = [](int version, int headerBytes) {
        return json::object { { "version", version }, { "routes", json::array { makeRoute("order-status", "ficu95.example", "/status/", "idempotent", "print-desk", 1500, 300, 2) } },
            { "services", json::array { json::object { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 100 } } } }, { "tenants", json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key-1" } } } } },
            { "limits", json::object { { "max_header_bytes", headerBytes }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 10000 }, { "idle_timeout_ms", 15000 } } } };
    };
    deployment.store().put("config", "main", configuration(7, 8192));
    for (const std::string zone : { "riga-a", "riga-b", "riga-c" })
        deployment.startReplica("i-print-" + zone, { "print-desk", zone, 6, { "--work-ms", "15" } });
    deployment.startEntry(1, "riga-a");
    if (!deployment.waitUntilReady(1))
        return 2;
    const auto send = [&](Connection& connection, const std::string& id, size_t extra) {
        Headers headers { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "1500" }, { "Authorization", "Token key-1" } };
        for (int part = 0; extra; ++part) {
            const size_t length = std::min<size_t>(extra, 4000);
            headers.emplace_back("X-Recipe-" + std::to_string(part), std::string(length, 'r'));
            extra -= length;
        }
        connection.write(formatRequest("GET", "/status/17", headers, {}));
        const auto answer = connection.readAnswer(3000);
        record.line(id + ": " + std::to_string(answer.status));
        return answer.status;
    };
    std::vector<std::unique_ptr<Connection>> connections;
    for (int client = 1; client <= 12; ++client) {
        connections.push_back(Connection::open(deployment.entryPort(1), 1000));
        send(*connections.back(), "small-" + std::to_string(client), 0);
    }
    if (hasTrouble) {
        deployment.store().put("config", "main", configuration(9, 65536));
        record.line("the operator raises max_header_bytes from 8192 to 65536");
    }
    sleepMs(4000);
    int denied = 0;
    for (int client = 1; client <= 12; ++client) {
        const int status = send(*connections[client - 1], "large-" + std::to_string(client), hasTrouble ? 40'000 : 6000);
        denied += status / 100 == 4 && status != 408 && status != 421 && status != 429;
    }
    auto fresh = Connection::open(deployment.entryPort(1), 1000);
    record.line("the same on a new connection:");
    send(*fresh, "large-new", hasTrouble ? 40'000 : 6000);
    record.line(std::to_string(denied) + " proper requests of 25 were ended with a 4xx of the entry; 5 + one in 500 are allowed");
    return denied > 5;
}

} // namespace review
