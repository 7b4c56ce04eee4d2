// Runs entries of the `direct` command with stand-ins of the platform's store and endpoints as real processes.
#pragma once

#include "tests/process.h"

#include <boost/json/value.hpp>
#include <map>
#include <memory>

namespace orioletrail::tests {

struct DirectClusterOptions {
    // Lines for the settings file of each entry.
    std::string settings;
    // Limit in the configuration; 0 for the default.
    size_t maxBodyBytes = 0;
    // Timeout of all routes.
    Millis routeTimeout { 3000 };
    // Endpoints of the service "print". Those after the first two are in z2, z2, z3, z3.
    int plainEndpoints = 2;
    // How long an endpoint runs a request with "crash" in its target before it ends.
    Millis crashDelay { 0 };
};

// Starts a store, five endpoints and one entry in zone z1. The service "model" has the endpoints "m1" and "m2" in
// z1 and "m3" in z2; the service "print" has "p1" and "p2" in z1. The host app.example has the routes /stream/
// (to "model", resumable streams), /once/ (to "print", non-idempotent) and /lookup/ (to "print", idempotent). The
// key "key-1" belongs to the account "bakery". Entries are numbered from 0 to 12; startEntry() starts further ones. All
// entries share a retry budget of a fifth of the requests and `retrySlack` retries in 10 s.
class DirectCluster {
public:
    static constexpr int retrySlack = 90;

    // Entries write their log to the given file descriptor, or by default to a file, which logLines() reads.
    explicit DirectCluster(std::optional<int> entryOutputDescriptor = std::nullopt);
    explicit DirectCluster(DirectClusterOptions, std::optional<int> entryOutputDescriptor = std::nullopt);
    ~DirectCluster();

    // Start a process, or replace it if it was started before (a running one is killed).
    void startEntry(int entry = 0);
    // The same for an entry that reaches the store through a relay, see fakes/relay.h.
    void startEntryBehindRelay(int entry);
    Process& storeRelay(int entry) { return *m_storeRelays.at(entry); }
    Process& entry(int number = 0) { return *m_entries.at(number); }
    void startEndpoint(const std::string& name);
    Process& endpoint(const std::string& name) { return *m_endpoints.at(name); }
    // Returns when the store answers, or after ten seconds.
    void startStore();
    Process& store() { return *m_store; }

    // Waits until the entry is ready. False after ten seconds.
    bool waitUntilReady(int entry = 0);
    // Checks the readiness probe once.
    bool isReady(int entry = 0);

    // Address (IP:PORT) at which an entry accepts callers.
    std::string callerAddress(int entry) const;
    std::string metricsAddress(int entry) const;

    // Sends a request with the given id to an entry. Adds "key-1" and a deadline of 3 s unless `headers` holds
    // an Authorization or X-Deadline-Ms.
    HttpResult call(std::string method, std::string target, std::string id, HeaderList headers = {}, int entry = 0);

    // As call() to the first entry, but closes the connection after the given time.
    void callAndDisconnect(std::string method, std::string target, std::string id, Millis after);

    // Write to the store in place of operators and endpoints.
    void putObject(const std::string& kind, const std::string& name, boost::json::value content);
    void removeObject(const std::string& kind, const std::string& name);
    void registerEndpoint(const std::string& name, const std::string& state = "ready");
    // Replaces the store's content by a copy of this age.
    void restoreStore(Millis age);
    // Reading calls that the store has answered so far.
    int64_t storeReads();
    // The store's answer to a request for all objects of a kind, as JSON.
    std::string listObjects(const std::string& kind);
    void putConfiguration(uint64_t version, const std::string& key = "key-1", const std::string& lookupPrefix = "/lookup/", const std::string& account = "bakery");

    // Injects a fault into an endpoint, or into the store if `name` is "store". The header of the stand-in lists its
    // modes; "none" ends the fault. It applies to the next `count` requests, or to all if that is 0.
    void setFault(const std::string& name, const std::string& mode, int delayMs = 0, int count = 0);

    // All records that endpoints wrote, grouped by endpoint.
    std::vector<boost::json::object> records() const;

    // Records of a kind that endpoints wrote about the request with this id, grouped by endpoint. Kinds: "run", and
    // "left" for a stream whose connection was closed before its end.
    std::vector<boost::json::object> recordsOf(const std::string& id, const std::string& kind = "run") const;
    // Number of times that endpoints received a request that another attempt had brought to an endpoint before. Includes
    // requests that they rejected.
    int repeatArrivals() const;
    // Number of requests that each endpoint ran; endpoints without any are missing.
    std::map<std::string, int> runsByEndpoint() const;

    // True if an entry has logged this message.
    bool hasLogged(int entry, std::string_view message) const;

    // Log lines of the first entry about the request with this id, or all lines if `id` is empty.
    std::vector<boost::json::object> logLines(const std::string& id) const;

    // Metrics of the first entry in text format.
    std::string metrics();

    // Runs `orioletrail ctl explain placement` for the first entry. Returns the exit code and what it printed.
    std::pair<int, std::string> explain(const std::string& words);

    static const std::vector<std::string>& endpointNames();
    // Names of the endpoints of this cluster.
    const std::vector<std::string>& names() const { return m_names; }
    static std::string serviceOf(const std::string& endpoint);
    // Address (IP:PORT) of an endpoint.
    std::string endpointAddress(const std::string& name) const;
    // Further configurations name this service too, unless it is empty.
    void nameService(std::string name) { m_namedService = std::move(name); }

    // Of "p1" and "p2", the one that an entry chooses when both are equally loaded.
    static std::string preferredPlainEndpoint(int entry);

private:
    static HttpRequest makeRequest(std::string method, std::string target, std::string id, HeaderList headers);
    int endpointPort(const std::string& endpoint) const;
    static std::string zoneOf(const std::string& endpoint);
    void writeSettings(int entry) const;
    int entryBasePort(int entry) const;

    int m_basePort = 0;
    DirectClusterOptions m_options;
    std::vector<std::string> m_names;
    std::optional<int> m_entryOutputDescriptor;
    TemporaryDirectory m_directory;
    // By KIND/NAME: 1 if the object was created, so that the next write must be a PUT.
    std::map<std::string, uint64_t> m_objectExists;
    std::string m_namedService;
    std::unique_ptr<Process> m_store;
    // Number of starts of each endpoint, registered as "born" so that entries notice a restart.
    std::map<std::string, int> m_startCounts;
    std::map<std::string, std::unique_ptr<Process>> m_endpoints;
    std::map<int, std::unique_ptr<Process>> m_storeRelays;
    std::map<int, std::unique_ptr<Process>> m_entries;
};

// All ten events of a stream of the stand-in endpoint.
std::string completeStream();

// Polls the condition until it is true. Returns false after ten seconds.
bool waitUntil(const std::function<bool()>&);

} // namespace orioletrail::tests
