#include "cases.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

// Needed once in the program: Boost.JSON as a header-only library.
#include <boost/json/src.hpp>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments[0] == "replica")
        return review::runReplica({ arguments.begin() + 1, arguments.end() });
    const std::map<std::string, int (*)(review::Deployment&, bool)> cases { { "truncated-answer", review::runTruncatedAnswer }, { "crashing-request", review::runCrashingRequest },
        { "trace-with-body", review::runTraceWithBody }, { "cold-return", review::runColdReturn }, { "raised-limit", review::runRaisedLimit }, { "drill", review::runDrill }, { "forgotten-crashes", review::runForgottenCrashes } };
    if (arguments.size() != 3 || !cases.count(arguments[0])) {
        std::fprintf(stderr, "usage: standins-2 CASE ROOT FOLDER\n");
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    std::string temporary = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(temporary.data()))
        return 2;
    auto deployment = std::make_unique<review::Deployment>(arguments[1], arguments[2], temporary);
    deployment->record().line(arguments[0] + (hasTrouble ? ", with the disruption" : ", without the disruption"));
    const int result = cases.at(arguments[0])(*deployment, hasTrouble);
    deployment->record().line(result == 1 ? "RULE BROKEN" : result == 0 ? "rule held"
                                                                        : "the case could not run");
    deployment->endProcesses();
    if (std::getenv("KEEP"))
        std::fprintf(stderr, "kept %s\n", temporary.c_str());
    else
        std::filesystem::remove_all(temporary);
    // Threads of the stand-ins may still wait for bytes.
    std::fflush(nullptr);
    std::_Exit(result);
}
