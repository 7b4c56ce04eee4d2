// Command line of the stand-ins. They serve demonstrations and tests only and are not installed.
#include "fakes/caller.h"
#include "fakes/engine.h"
#include "fakes/judge.h"
#include "fakes/platform.h"
#include "fakes/rank.h"
#include "fakes/relay.h"
#include "fakes/replica.h"
#include "fakes/service.h"

#include <CLI/CLI.hpp>

namespace {

using namespace orioletrail::fakes;
using orioletrail::Millis;

void addCommonFlags(CLI::App& app, FakeSettings& settings)
{
    app.add_option("--name", settings.name);
    app.add_option("--listen", settings.listen);
    app.add_option("--record", settings.recordPath);
}

void addMillisFlag(CLI::App& app, const std::string& flag, Millis& value)
{
    app.add_option_function<int>(flag, [&value](int millis) { value = Millis(millis); });
}

// Parses "PREFIX:FROM:TO", the value of --closed.
ClosedWindow parseClosedWindow(const std::string& text)
{
    const size_t firstColon = text.find(':');
    const size_t secondColon = text.find(':', firstColon + 1);
    return { text.substr(0, firstColon), std::stoll(text.substr(firstColon + 1)), std::stoll(text.substr(secondColon + 1)) };
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "stand-ins for orioletrail" };
    app.require_subcommand(1);
    PlatformFakeSettings platformSettings;
    CLI::App* platform = app.add_subcommand("platform");
    addCommonFlags(*platform, platformSettings.common);
    addMillisFlag(*platform, "--latency-ms", platformSettings.latency);
    EngineFakeSettings engineSettings;
    CLI::App* engine = app.add_subcommand("engine");
    addCommonFlags(*engine, engineSettings.common);
    addMillisFlag(*engine, "--first-token-ms", engineSettings.firstTokenDelay);
    addMillisFlag(*engine, "--per-token-ms", engineSettings.tokenInterval);
    engine->add_option("--cold-capacity", engineSettings.coldCapacity);
    engine->add_option("--warm-capacity", engineSettings.warmCapacity);
    engine->add_option("--warm-after", engineSettings.warmUpRequests);
    engine->add_option("--crash-word", engineSettings.crashWord);
    ReplicaFakeSettings replicaSettings;
    CLI::App* replica = app.add_subcommand("replica");
    addCommonFlags(*replica, replicaSettings.common);
    replica->add_option("--events", replicaSettings.eventCount);
    addMillisFlag(*replica, "--event-interval-ms", replicaSettings.eventInterval);
    replica->add_option("--born", replicaSettings.born);
    addMillisFlag(*replica, "--crash-delay-ms", replicaSettings.crashDelay);
    ServiceFakeSettings serviceSettings;
    CLI::App* service = app.add_subcommand("service");
    addCommonFlags(*service, serviceSettings.common);
    addMillisFlag(*service, "--order-ms", serviceSettings.responseTime);
    CallerSettings callerSettings;
    CLI::App* caller = app.add_subcommand("caller");
    caller->add_option("--entry", callerSettings.entries)->required();
    caller->add_option("--token", callerSettings.token)->take_last();
    caller->add_option("--told", callerSettings.resultsPath)->take_last();
    caller->add_option("--callers", callerSettings.callers)->take_last();
    caller->add_option("--seed", callerSettings.seed)->take_last();
    caller->add_option("--orders", callerSettings.orderShare);
    caller->add_option("--lookups", callerSettings.lookupShare);
    addMillisFlag(*caller, "--duration-ms", callerSettings.duration);
    JudgeSettings judgeSettings;
    std::vector<std::string> closedWindows;
    CLI::App* judge = app.add_subcommand("judge");
    judge->add_option("--told", judgeSettings.resultPaths);
    judge->add_option("--record", judgeSettings.recordPaths);
    judge->add_option("--closed", closedWindows, "PREFIX:FROM:TO in milliseconds since 1970");
    RankFakeSettings rankSettings;
    CLI::App* rank = app.add_subcommand("rank");
    addCommonFlags(*rank, rankSettings.common);
    addMillisFlag(*rank, "--step-ms", rankSettings.stepDuration);
    addMillisFlag(*rank, "--load-ms", rankSettings.mapLoadDuration);
    RelaySettings relaySettings;
    CLI::App* relay = app.add_subcommand("relay");
    relay->add_option("--listen", relaySettings.listen)->required();
    relay->add_option("--target", relaySettings.target)->required();
    CLI11_PARSE(app, argc, argv);
    for (const std::string& window : closedWindows)
        judgeSettings.closedWindows.push_back(parseClosedWindow(window));
    if (*platform)
        return runPlatform(platformSettings);
    if (*engine)
        return runEngine(engineSettings);
    if (*rank)
        return runRank(rankSettings);
    if (*relay)
        return runRelay(relaySettings);
    if (*replica)
        return runReplica(replicaSettings);
    if (*service)
        return runService(serviceSettings);
    return *caller ? runCallers(callerSettings) : runJudge(judgeSettings);
}
