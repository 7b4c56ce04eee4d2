// Starts the system and its stand-ins as real processes, for tests of failures.
#pragma once

#include "fakes/judge.h"
#include "tests/process.h"

#include <memory>

namespace orioletrail::tests {

struct ClusterShape {
    int zones = 3;
    // For each zone.
    int engines = 2;
    int services = 1;
    // Put a relay before each sidecar and each endpoint, and before the platform for each entry.
    bool relays = false;
    std::vector<std::string> engineFlags;
    // Instead of the limits of 4 and 16.
    std::vector<std::string> sidecarFlags;
    std::vector<std::string> serviceFlags;
    // Ranks of one group, each with an engine of its own.
    int ranks = 0;
};

struct CommandOutput {
    int status = 0;
    std::string text;
};

// Zones are named z1, z2, ...; entries e1, ...; endpoints z1-m1 (model) and z1-s1 (service).
class Cluster {
public:
    explicit Cluster(ClusterShape = {});
    ~Cluster();

    // Starts or replaces one process.
    void startEntry(int zone, std::vector<std::string> flags = {});
    void startSidecar(const std::string& endpoint);
    void startEndpoint(const std::string& endpoint);

    Process& entry(int zone) { return *m_processes.at("entry-" + std::to_string(zone)); }
    Process& sidecar(const std::string& endpoint) { return *m_processes.at("sidecar-" + endpoint); }
    Process& endpoint(const std::string& name) { return *m_processes.at("endpoint-" + name); }
    void startRank(int rank);
    void startRankEngine(int rank);
    Process& rank(int number) { return *m_processes.at("rank-" + std::to_string(number)); }
    // Only in a cluster with relays.
    Process& rankRelay(int number) { return *m_processes.at("relay-rank-" + std::to_string(number)); }
    Process& rankEngine(int number) { return *m_processes.at("engine-" + std::to_string(number)); }
    // The rank that leads the group, or nothing if none says that it does within ten seconds.
    std::optional<int> groupLeader();
    // Steps recorded so far by one rank's engine.
    size_t stepsOf(int rank) const;
    Process& sidecarRelay(const std::string& endpoint) { return *m_processes.at("relay-" + endpoint); }
    Process& endpointRelay(const std::string& name) { return *m_processes.at("relay-endpoint-" + name); }
    Process& platformRelay(int zone) { return *m_processes.at("relay-platform-" + std::to_string(zone)); }

    // True once every entry is ready, or false after ten seconds.
    bool waitReady();

    // Calls an address; the request carries the test account's token and a fresh request id.
    HttpResult call(const std::string& address, std::string method, std::string target, std::string body = {}, HeaderList headers = {});
    std::string entryAddress(int zone) const;
    std::string adminAddress(int zone) const;
    std::string platformAddress() const;
    std::string endpointAddress(const std::string& name) const;
    std::string sidecarAddress(const std::string& name) const;

    // Runs `orioletrail ctl` against an entry.
    CommandOutput ctl(const std::string& line, int zone = 1);

    // Waits until every entry and sidecar reports the same configuration revision, and returns
    // the milliseconds since the given time; negative if that took more than ten seconds.
    double waitForRevision(TimePoint since);

    // Sets a fault of a stand-in: an endpoint's name or "platform".
    void fault(const std::string& name, const std::string& mode, int delayMs = 0, int count = 0);

    // Starts callers that send to all entries, or to the given ones.
    std::unique_ptr<Process> startCallers(Millis duration, std::vector<std::string> flags = {}, std::vector<int> zones = {});

    // A file of this cluster's own, removed with it.
    std::string path(const std::string& name) const { return m_directory.path(name); }

    // No endpoint whose name has the prefix may have been given work between the times.
    void expectClosed(std::string prefix, int64_t from, int64_t to) { m_closed.push_back({ std::move(prefix), from, to }); }

    // Joins records and what callers were told. Prints it if it is not clean.
    fakes::Verdict judge();

    // Answers that the platform has lost after the write took effect.
    size_t lostAnswers() const;

    // Runs of endpoints whose names have the prefix, by the stand-ins' records.
    size_t runsOf(const std::string& prefix) const;

    std::vector<std::string> endpoints() const;

private:
    std::string recordOf(const std::string& name) const { return m_directory.path(name + ".record"); }
    int portOf(const std::string& endpoint) const;
    int rankPort(int rank) const;
    void start(const std::string& name, std::vector<std::string> arguments);
    void applyObjects();

    ClusterShape m_shape;
    int m_base = 0;
    TemporaryDirectory m_directory;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::vector<fakes::ClosedWindow> m_closed;
    uint64_t m_requests = 0;
};

// The number of a kind of result among what callers of a kind were told.
uint64_t toldCount(const fakes::Verdict&, const std::string& what, const std::string& result);

// All results of callers but "answered".
uint64_t refusedCount(const fakes::Verdict&);

} // namespace orioletrail::tests
