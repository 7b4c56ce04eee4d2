// Starts direct entries with stand-ins of the platform's store and endpoints, as real processes.
#pragma once

#include "tests/process.h"

#include <boost/json/value.hpp>
#include <map>
#include <memory>

namespace orioletrail::tests {

// One store, endpoints "m1", "m2" in zone z1 and "m3" in z2 of the service "model", "p1", "p2" of
// the service "print", and one entry in z1. Routes: /stream/ (resumable), /once/ (non-idempotent)
// and /lookup/ (idempotent) of the host app.example. The key "key-1" belongs to the account "bakery".
// More entries are started by their numbers; 0 is the first.
class DirectCluster {
public:
    // The entry's standard output goes to `entryOutput`; by default to the log file.
    explicit DirectCluster(std::optional<int> entryOutput = std::nullopt);
    ~DirectCluster();

    void startEntry(int entry = 0);
    Process& entry(int number = 0) { return *m_entries.at(number); }
    void startEndpoint(const std::string& name);
    Process& endpoint(const std::string& name) { return *m_endpoints.at(name); }
    void startStore();
    Process& store() { return *m_store; }

    // True once the entry is ready, or false after ten seconds.
    bool waitReady(int entry = 0);
    bool isReady(int entry = 0);

    // Calls the entry; the request carries the key and a deadline of 3 s unless told otherwise.
    HttpResult call(std::string method, std::string target, std::string id, HeaderList headers = {}, int entry = 0);

    // As call(), for a caller that closes its connection after a time.
    void leave(std::string method, std::string target, std::string id, Millis after);

    // Writes an object as operators and endpoints do.
    void put(const std::string& kind, const std::string& name, boost::json::value content);
    void remove(const std::string& kind, const std::string& name);
    void registerEndpoint(const std::string& name, const std::string& state = "ready");
    void putConfiguration(uint64_t version, const std::string& key = "key-1", const std::string& lookupPrefix = "/lookup/");

    void fault(const std::string& name, const std::string& mode, int delayMs = 0, int count = 0);

    // Records of all endpoints about a request, in no order: its runs, or another thing that was done.
    std::vector<boost::json::object> runsOf(const std::string& id, const std::string& what = "run") const;
    // Names of the endpoints that ran requests, with their number.
    std::map<std::string, int> runsByEndpoint() const;

    // Lines of the entry's log about a request; all lines if `id` is empty.
    std::vector<boost::json::object> logOf(const std::string& id) const;

    std::string metrics();

private:
    static HttpRequest makeRequest(std::string method, std::string target, std::string id, HeaderList headers);
    int portOf(const std::string& endpoint) const;
    std::string zoneOf(const std::string& endpoint) const { return endpoint == "m3" ? "z2" : "z1"; }
    void writeSettings(int entry) const;
    int entryBase(int entry) const { return m_base + entry * 50; }

    int m_base = 0;
    std::optional<int> m_entryOutput;
    TemporaryDirectory m_directory;
    std::map<std::string, uint64_t> m_revisions;
    std::unique_ptr<Process> m_store;
    // How often each endpoint was started.
    std::map<std::string, int> m_starts;
    std::map<std::string, std::unique_ptr<Process>> m_endpoints;
    std::map<int, std::unique_ptr<Process>> m_entries;
};

// Polls until the condition holds; false after ten seconds.
bool eventually(const std::function<bool()>&);

} // namespace orioletrail::tests
