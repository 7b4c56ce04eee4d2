// The direct entry: accepts callers and sends their requests straight to endpoints that are
// found in the platform's store. Keeps nothing.
#pragma once

#include "gateway/http.h"

namespace orioletrail {

struct DirectSettings {
    // The platform's settings file; empty to take the path that the platform passes.
    std::string settingsFile;
    // Port for metrics, on the address of the instance; 0 for none.
    uint16_t metricsPort = 9464;
    Millis storeTimeout { 1000 };
    Millis connectTimeout { 400 };
};

// Runs on the caller's thread until it has shut down.
class DirectEntry {
public:
    explicit DirectEntry(DirectSettings);
    ~DirectEntry();

    // False with lastError() set if the settings are unusable or an address is taken. Otherwise
    // returns after a SIGTERM and the end of all requests in progress.
    bool run();

    const std::string& lastError() const { return m_lastError; }

    struct State;

private:
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Checks the settings. Returns false with `reason` set, which names the flag and the value.
bool validate(const DirectSettings&, std::string& reason);

} // namespace orioletrail
