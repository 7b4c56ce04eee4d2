// The subcommand `orioletrail ctl`, which sends operators' commands to an entry.
#pragma once

#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming)
class App;
}

namespace orioletrail {

struct CtlSettings {
    // The entry's --admin address, "IP:PORT"; for "explain placement" the metrics address of a direct entry.
    std::string entry = "127.0.0.1:8081";
    // Output format: "table" or "json".
    std::string output = "table";
    // The command, split into words by the shell.
    std::vector<std::string> commandWords;
};

// Adds the options of the subcommand, which set the fields of the settings.
void addCtlOptions(CLI::App&, CtlSettings&);

// Sends the command to the entry and prints the result. Returns a CommandStatus as the exit code.
int runCtl(const CtlSettings&);

} // namespace orioletrail
