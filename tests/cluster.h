// Runs entries, sidecars and ranks with stand-ins of everything around them as real processes, for tests of
// failures and for benchmarks.
#pragma once

#include "fakes/judge.h"
#include "tests/process.h"

#include <memory>

namespace orioletrail::tests {

// Numbers of processes and their extra command line flags.
struct ClusterOptions {
    int zones = 3;
    // Endpoints in each zone: model engines and plain services.
    int enginesPerZone = 2;
    int servicesPerZone = 1;
    // Connects all processes through relays that can simulate network faults: one for each sidecar, endpoint
    // and rank, and one for the connection of each entry to the platform.
    bool relays = false;
    std::vector<std::string> engineFlags;
    // Replace the default limits, 4 when cold and 16 when warm.
    std::vector<std::string> sidecarFlags;
    std::vector<std::string> serviceFlags;
    // Number of ranks in the group "g", each with its own engine; 0 for no group.
    int ranks = 0;
};

// Result of a command: its exit code, -1 after a timeout, and its standard output and error.
struct CommandOutput {
    int status = 0;
    std::string text;
};

// Zones are named z1, z2, ...; each has one entry: e1, e2, ... Endpoints are named after their zone, e.g. z1-m1
// (model engine) and z1-s1 (service), and each has a sidecar. Zones and endpoints are numbered from 1, ranks from 0.
class Cluster {
public:
    explicit Cluster(ClusterOptions = {});
    ~Cluster();

    // Start a process, or replace it if it was started before (a running one is killed).
    void startEntry(int zone, std::vector<std::string> flags = {});
    void startSidecar(const std::string& endpoint);
    void startEndpoint(const std::string& endpoint);

    Process& entry(int zone) { return *m_processes.at("entry-" + std::to_string(zone)); }
    Process& sidecar(const std::string& endpoint) { return *m_processes.at("sidecar-" + endpoint); }
    Process& endpoint(const std::string& name) { return *m_processes.at("endpoint-" + name); }
    void startRank(int rank);
    void startRankEngine(int rank);
    Process& rank(int number) { return *m_processes.at("rank-" + std::to_string(number)); }
    // This and the other relays exist only if ClusterOptions::relays is set.
    Process& rankRelay(int number) { return *m_processes.at("relay-rank-" + std::to_string(number)); }
    Process& rankEngine(int number) { return *m_processes.at("engine-" + std::to_string(number)); }
    // Waits until the metrics of a rank report that it leads the group. Returns nothing after ten seconds.
    std::optional<int> waitForGroupLeader();
    // Number of steps that the engine of a rank has recorded.
    size_t stepCount(int rank) const;
    Process& sidecarRelay(const std::string& endpoint) { return *m_processes.at("relay-" + endpoint); }
    Process& endpointRelay(const std::string& name) { return *m_processes.at("relay-endpoint-" + name); }
    Process& platformRelay(int zone) { return *m_processes.at("relay-platform-" + std::to_string(zone)); }

    // Waits until every entry is ready and had time to discover the sidecars. False after ten seconds.
    bool waitUntilReady();

    // Sends a request to an address (IP:PORT). Adds the test account's token and a unique request id unless
    // `headers` holds them.
    HttpResult call(const std::string& address, std::string method, std::string target, std::string body = {}, HeaderList headers = {});
    std::string entryAddress(int zone) const;
    std::string adminAddress(int zone) const;
    std::string platformAddress() const;
    std::string endpointAddress(const std::string& name) const;
    std::string sidecarAddress(const std::string& name) const;
    std::string sidecarAdminAddress(const std::string& name) const;
    // The gauges of all entries and of the sidecars of the service "print", one a line.
    std::string gauges() const;

    // Runs `orioletrail ctl` with the given command against the entry of a zone.
    CommandOutput runCtl(const std::string& line, int zone = 1);

    // Waits until all entries and sidecars report the same configuration revision. Returns the milliseconds from
    // `since` until then, or a negative number if that takes more than ten seconds.
    double millisUntilSameRevision(TimePoint since);

    // Injects a fault into a stand-in, given by the name of an endpoint or "platform". The header of the stand-in
    // lists its modes; "none" ends the fault. It applies to the next `count` requests, or to all if that is 0.
    void setFault(const std::string& name, const std::string& mode, int delayMs = 0, int count = 0);

    // Starts a load generator that sends to the entries of the given zones, or to all entries if `zones` is empty.
    std::unique_ptr<Process> startLoadGenerator(Millis duration, std::vector<std::string> flags = {}, std::vector<int> zones = {});

    // Path of a file in a directory that is removed with the cluster.
    std::string path(const std::string& name) const { return m_directory.path(name); }

    // Makes judge() count every request that an endpoint with this name prefix received between the given times
    // (milliseconds since 1970) as a violation.
    void expectNoRequests(std::string prefix, int64_t from, int64_t to) { m_closedWindows.push_back({ std::move(prefix), from, to }); }

    // Compares the records of the stand-ins with the results that callers saw. Prints the totals if there is a
    // violation or a request without a successful answer.
    fakes::Verdict judge();

    // Number of writes that the platform ran without sending the answer.
    size_t droppedAnswerCount() const;

    // Number of requests that endpoints with this name prefix have recorded.
    size_t runCount(const std::string& prefix) const;

    std::vector<std::string> endpointNames() const;

private:
    std::string recordPath(const std::string& name) const { return m_directory.path(name + ".record"); }
    // Port of an endpoint. The next four are used by its sidecar, the sidecar's admin server, the relay to the
    // sidecar and the relay to the endpoint.
    int endpointPort(const std::string& endpoint) const;
    // Port of a rank's engine. The next three are used by the rank, its admin server and the relay to the rank.
    int rankBasePort(int rank) const;
    // Starts a process under a name that is unique in the cluster, and kills its predecessor.
    void start(const std::string& name, std::vector<std::string> arguments);
    // Applies accounts, services, zones and endpoints through the first entry.
    void applyConfiguration();

    ClusterOptions m_options;
    int m_basePort = 0;
    TemporaryDirectory m_directory;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::vector<fakes::ClosedWindow> m_closedWindows;
    uint64_t m_requestCount = 0;
};

// Number of requests of a kind ("order", "lookup", "completion") that ended with the given result; see
// fakes::Verdict::resultCounts.
uint64_t resultCount(const fakes::Verdict&, const std::string& kind, const std::string& result);

// Number of requests that ended with any result other than "answered".
uint64_t unansweredCount(const fakes::Verdict&);

} // namespace orioletrail::tests
