// The entry process: accepts HTTP requests from callers, authenticates them, applies limits and
// forwards them to endpoints through their sidecars, with retries. It stores no state on disk.
#pragma once

#include "control/agent.h"
#include "retry/budget.h"
#include "retry/poison.h"
#include "routing/router.h"
#include "telemetry/metrics.h"

namespace orioletrail {

// Addresses have the form "IP:PORT".
struct EntrySettings {
    std::string name;
    std::string zone;
    // Address for callers.
    std::string listen = "127.0.0.1:8080";
    // Address for operators and metrics.
    std::string admin = "127.0.0.1:8081";
    // Address for gossip with other entries.
    std::string gossip = "127.0.0.1:8082";
    // Address of the platform's object API.
    std::string platform = "127.0.0.1:7000";
    // Gossip addresses of other entries, used until the configuration lists them.
    std::vector<std::string> peers;
    // Number of endpoints of each service to connect to; 0 connects to all.
    size_t subsetSize = 0;
    // Deadline of a request without an X-Deadline-Ms header.
    Millis defaultDeadline { 30'000 };
    // Longest deadline that a caller may set.
    Millis maxDeadline { 300'000 };
    // How long a request may wait for an endpoint with a free credit.
    Millis queueTimeout { 250 };
    // Number of requests that may wait for a credit at the same time.
    size_t queueLimit = 256;
    // Attempts per request, including the first.
    uint32_t maxAttempts = 6;
    // Timeout of one call to the platform.
    Millis platformTimeout { 1000 };
    // Delay on shutdown between reporting "not ready" and closing the listening socket, so that
    // the load balancer in front stops sending connections first.
    Millis drainGrace { 500 };
    // How long a shutdown waits for requests in progress.
    Millis drainTimeout { 30'000 };
    HttpLimits http;
    // Memory that the process may use; 0 if unknown.
    size_t memoryMegabytes = 0;
    FreshnessSettings freshness;
};

// Runs one entry process.
class Entry {
public:
    explicit Entry(EntrySettings);
    ~Entry();

    // Serves on the calling thread until SIGTERM or SIGINT, then drains requests in progress for
    // at most drainTimeout and returns true. Returns false with lastError() set if the settings
    // are invalid or an address cannot be used.
    bool run();

    const std::string& lastError() const { return m_lastError; }

    struct State;

private:
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the addresses. Returns false and sets `reason`, which names the flag and the value, if
// one is malformed.
bool validate(const EntrySettings&, std::string& reason);

} // namespace orioletrail
