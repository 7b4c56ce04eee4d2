// The direct entry: accepts requests of callers and forwards each to an endpoint, which it finds in
// the platform's store. Persists nothing.
#pragma once

#include "gateway/http.h"

namespace orioletrail {

struct DirectSettings {
    // Path of the platform's settings file; empty to use the path that the platform passes.
    std::string settingsFile;
    // Port that serves metrics, on the instance's address; 0 to serve none.
    uint16_t metricsPort = 9464;
    Millis storeTimeout { 1000 };
    // Timeout for connecting to an endpoint.
    Millis connectTimeout { 400 };
    // How long engines keep parts of prompts after the last request that has them.
    Millis partRetention { 0 };
    // Unix time in milliseconds. It may jump, and only tells starts of endpoints that lie far in the future.
    std::function<uint64_t()> unixMillis {};
};

class DirectEntry {
public:
    explicit DirectEntry(DirectSettings);
    ~DirectEntry();

    // Serves on the calling thread until SIGTERM or SIGINT, then drains: requests in progress may
    // finish within the platform's grace period. Returns false with lastError() set if the settings
    // are invalid or an address cannot be bound.
    bool run();

    const std::string& lastError() const { return m_lastError; }

    struct State;

private:
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set to a message that names the flag.
bool validate(const DirectSettings&, std::string& reason);

} // namespace orioletrail
