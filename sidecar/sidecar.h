// The sidecar process: the only way into its endpoint.
#pragma once

#include "admission/ramp.h"
#include "control/agent.h"
#include "ledger/shard.h"
#include "sidecar/attempts.h"
#include "telemetry/metrics.h"

namespace orioletrail {

struct SidecarSettings {
    std::string name;
    std::string service;
    std::string zone;
    std::string listen = "127.0.0.1:7100";
    std::string endpoint = "127.0.0.1:8000";
    std::string platform = "127.0.0.1:7000";
    std::string admin = "127.0.0.1:7101";
    RampSettings ramp;
    LedgerSettings ledger;
    Millis probeInterval { 200 };
    Millis probeTimeout { 500 };
    Millis platformTimeout { 1000 };
    Millis drainTimeout { 30'000 };
    FreshnessSettings freshness;
};

// Runs on the caller's thread until it has shut down.
class Sidecar {
public:
    explicit Sidecar(SidecarSettings);
    ~Sidecar();

    // False with lastError() set if an address cannot be used. Otherwise returns after a
    // SIGTERM or SIGINT and the end of all attempts in progress.
    bool run();

    const std::string& lastError() const { return m_lastError; }

private:
    struct State;
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set, which names the flag and the value.
bool validate(const SidecarSettings&, std::string& reason);

} // namespace orioletrail
