// A TCP relay between two processes, to bring about faults of the network. SIGUSR1 makes the
// connections open now go silent for good while new ones work; SIGUSR2 cuts everything, and
// the next SIGUSR2 lets new connections through again.
#pragma once

#include <string>

namespace orioletrail::fakes {

struct RelaySettings {
    std::string listen;
    std::string target;
};

int runRelay(const RelaySettings&);

} // namespace orioletrail::fakes
