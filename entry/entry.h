// The entry process: accepts callers, authenticates, limits, routes and retries. Keeps nothing.
#pragma once

#include "control/agent.h"
#include "retry/budget.h"
#include "retry/poison.h"
#include "routing/router.h"
#include "telemetry/metrics.h"

namespace orioletrail {

struct EntrySettings {
    std::string name;
    std::string zone;
    std::string listen = "127.0.0.1:8080";
    std::string admin = "127.0.0.1:8081";
    std::string gossip = "127.0.0.1:8082";
    std::string platform = "127.0.0.1:7000";
    std::vector<std::string> peers;
    // Endpoints of each service to connect to; 0 means all.
    size_t subset = 0;
    Millis defaultDeadline { 30'000 };
    Millis maxDeadline { 300'000 };
    // How long a request may wait for an endpoint with a credit.
    Millis queueTimeout { 250 };
    size_t queueLimit = 256;
    uint32_t maxAttempts = 6;
    Millis platformTimeout { 1000 };
    // Between "not ready" and the end of accepting, so that the balancer notices.
    Millis drainGrace { 500 };
    Millis drainTimeout { 30'000 };
    HttpLimits http;
    FreshnessSettings freshness;
};

// Runs on the caller's thread until it has shut down.
class Entry {
public:
    explicit Entry(EntrySettings);
    ~Entry();

    // False with lastError() set if an address cannot be used. Otherwise returns after a
    // SIGTERM or SIGINT and the end of all requests in progress.
    bool run();

    const std::string& lastError() const { return m_lastError; }

    struct State;

private:
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set, which names the flag and the value.
bool validate(const EntrySettings&, std::string& reason);

} // namespace orioletrail
