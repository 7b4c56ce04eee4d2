// The sidecar process, through which all requests reach its endpoint.
#pragma once

#include "admission/ramp.h"
#include "control/agent.h"
#include "ledger/shard.h"
#include "sidecar/attempts.h"
#include "telemetry/metrics.h"

namespace orioletrail {

struct SidecarSettings {
    // Name under which the configuration lists the endpoint.
    std::string name;
    std::string service;
    std::string zone;
    // Addresses of the form IP:PORT: where entries connect, the endpoint, the platform, and
    // where metrics and health checks are served.
    std::string listen = "127.0.0.1:7100";
    std::string endpoint = "127.0.0.1:8000";
    std::string platform = "127.0.0.1:7000";
    std::string admin = "127.0.0.1:7101";
    RampSettings ramp;
    LedgerSettings ledger;
    // Pause between two load probes of the endpoint.
    Millis probeInterval { 200 };
    Millis probeTimeout { 500 };
    Millis platformTimeout { 1000 };
    // Longest time after SIGTERM or SIGINT to wait for attempts in progress.
    Millis drainTimeout { 30'000 };
    FreshnessSettings freshness;
    // Memory that the process may use; 0 if unknown.
    size_t memoryMegabytes = 0;
};

// Passes requests of entries to one endpoint, within the concurrency limit that it can bear.
class Sidecar {
public:
    explicit Sidecar(SidecarSettings);
    ~Sidecar();

    // Blocks until SIGTERM or SIGINT, then until all attempts in progress have ended or
    // drainTimeout has passed. Returns false at once, with lastError() set, if a setting is
    // invalid or an address cannot be used.
    bool run();

    const std::string& lastError() const { return m_lastError; }

private:
    struct State;
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set to a message that names the invalid flag
// and its value.
bool validate(const SidecarSettings&, std::string& reason);

} // namespace orioletrail
