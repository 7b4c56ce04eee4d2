// A machine freezes while a replica sends an answer whose end is the end of its connection. The replica crashes and is back before
// the machine wakes.
#include "cases.hpp"

#include <csignal>

namespace review {

namespace {

    std::string findEvent(Deployment& deployment, const std::string& what, const std::string& request)
    {
        for (const auto& event : deployment.events())
            if (event.what == what && event.request == request)
                return event.replica;
        return {};
    }

    // Sends one request whose answer has no length. Returns 1 if the client got a part of the answer as a whole one.
    int play(Deployment& deployment, bool hasTrouble, const std::string& method, const std::string& target, const std::string& id)
    {
        Record& record = deployment.record();
        Connection::Answer answer;
        record.line("client sends " + method + ' ' + target + " as " + id + " to entry 1");
        std::thread client([&] {
            const std::string body = method == "POST" ? "order " + id : std::string();
            answer = callOnce(deployment.entryPort(1), method, target, { { "Host", "ficu95.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "8000" }, { "Authorization", "Token key-1" } }, body, 12'000);
        });
        std::string replica;
        for (int attempt = 0; attempt < 400 && replica.empty(); ++attempt) {
            sleepMs(5);
            replica = findEvent(deployment, "half", id);
        }
        if (hasTrouble && !replica.empty()) {
            record.line("entry 1 freezes");
            deployment.entry(1).signal(SIGSTOP);
            sleepMs(150);
            deployment.killReplica(replica);
            sleepMs(2200);
            deployment.restartReplica(replica);
            sleepMs(600);
            deployment.entry(1).signal(SIGCONT);
            record.line("entry 1 wakes");
        }
        client.join();
        if (replica.empty()) {
            record.line("no replica ran the request");
            return 2;
        }
        std::string events;
        for (int event = 1; event <= 8; ++event)
            events += "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n";
        const bool isStream = target.find("draft") != std::string::npos;
        const std::string whole = isStream ? events : "answer to " + id + " first half;" + std::string(200, 'a') + "; second half " + std::string(200, 'b') + "; end of " + id;
        record.line("client gets " + std::to_string(answer.status) + ", stamp '" + answer.header("X-Reply-Stamp") + "', " + std::to_string(answer.body.size()) + " bytes, " + (answer.isWhole ? "complete as marked" : "not complete")
            + "; the replica's whole body has " + std::to_string(whole.size()) + " bytes, of which it sent " + (findEvent(deployment, "answered", id).empty() ? "half" : "all"));
        return answer.status / 100 == 2 && answer.isWhole && answer.body != whole;
    }

} // namespace

int runTruncatedAnswer(Deployment& deployment, bool hasTrouble)
{
    json::object configuration { { "version", 7 }, { "routes", json::array { makeRoute("print-order", "ficu95.example", "/orders/", "non_idempotent", "print-desk", 8000, 500, 1), makeRoute("order-status", "ficu95.example", "/status/", "idempotent", "print-desk", 8000, 500, 2), makeRoute("draft-label", "ficu95.example", "/drafts/", "stream", "print-desk", 8000, 500, 1) } },
        { "services", json::array { json::object { { "name", "print-desk" }, { "health_path", "/health" }, { "max_conns", 100 } } } }, { "tenants", json::array { json::object { { "name", "bakery" }, { "api_keys", json::array { "key-1" } } } } },
        { "limits", json::object { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 10000 }, { "idle_timeout_ms", 15000 } } } };
    deployment.store().put("config", "main", configuration);
    for (const std::string zone : { "riga-a", "riga-b", "riga-c" })
        for (const std::string number : { "-1", "-2" })
            deployment.startReplica("i-print-" + zone + number, { "print-desk", zone, 6, { "--work-ms", "15", "--pause-ms", "400", "--slow-start-ms", "300" } });
    const std::map<int, std::string> entries { { 1, "riga-a" }, { 2, "riga-a" }, { 3, "riga-b" }, { 4, "riga-c" } };
    for (const auto& [entry, zone] : entries)
        deployment.startEntry(entry, zone);
    for (const auto& [entry, zone] : entries)
        if (!deployment.waitUntilReady(entry))
            return 2;
    int result = 0;
    const std::vector<std::pair<std::string, std::string>> requests { { "GET", "/status/report" }, { "POST", "/orders/report" }, { "POST", "/drafts/draft" } };
    for (size_t index = 0; index < requests.size(); ++index) {
        const int outcome = play(deployment, hasTrouble, requests[index].first, requests[index].second, "req-" + std::to_string(index + 1));
        if (outcome == 2)
            return 2;
        result = std::max(result, outcome);
        // Three heartbeats, so that the deployment is calm again.
        sleepMs(hasTrouble ? 4000 : 500);
    }
    deployment.recordEvents();
    return result;
}

} // namespace review
