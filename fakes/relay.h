// TCP relay between two processes that simulates network faults:
// - SIGUSR1: connections that are open now stop forwarding for good but stay open; new ones work.
// - SIGUSR2: closes all connections, and every new one until the next SIGUSR2.
#pragma once

#include <string>

namespace orioletrail::fakes {

// Addresses of the form IP:PORT.
struct RelaySettings {
    std::string listen;
    std::string target;
};

// Runs until the process is killed.
int runRelay(const RelaySettings&);

} // namespace orioletrail::fakes
