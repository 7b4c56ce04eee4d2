// The operators' client.
#pragma once

#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming)
class App;
}

namespace orioletrail {

struct CtlSettings {
    // The entry's --admin address.
    std::string entry = "127.0.0.1:8081";
    std::string output = "table";
    // The words of the command, joined by blanks.
    std::vector<std::string> words;
};

void addCtl(CLI::App&, CtlSettings&);

// Sends the command to the entry and prints the result. Returns the exit code, a CommandStatus.
int runCtl(const CtlSettings&);

} // namespace orioletrail
