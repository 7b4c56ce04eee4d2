// Command line of the stand-ins. They are for demonstrations and tests only and never installed.
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

void addCommon(CLI::App& app, FakeSettings& settings)
{
    app.add_option("--name", settings.name);
    app.add_option("--listen", settings.listen);
    app.add_option("--record", settings.record);
}

void addMillis(CLI::App& app, const std::string& flag, Millis& value)
{
    app.add_option_function<int>(flag, [&value](int millis) { value = Millis(millis); });
}

// Reads "PREFIX:FROM:TO".
ClosedWindow parseWindow(const std::string& text)
{
    const size_t first = text.find(':');
    const size_t second = text.find(':', first + 1);
    return { text.substr(0, first), std::stoll(text.substr(first + 1)), std::stoll(text.substr(second + 1)) };
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "stand-ins for orioletrail" };
    app.require_subcommand(1);
    PlatformFakeSettings platformSettings;
    CLI::App* platform = app.add_subcommand("platform");
    addCommon(*platform, platformSettings.common);
    addMillis(*platform, "--latency-ms", platformSettings.latency);
    EngineFakeSettings engineSettings;
    CLI::App* engine = app.add_subcommand("engine");
    addCommon(*engine, engineSettings.common);
    addMillis(*engine, "--first-token-ms", engineSettings.firstToken);
    addMillis(*engine, "--per-token-ms", engineSettings.perToken);
    engine->add_option("--cold-capacity", engineSettings.coldCapacity);
    engine->add_option("--warm-capacity", engineSettings.warmCapacity);
    engine->add_option("--warm-after", engineSettings.warmAfter);
    engine->add_option("--crash-word", engineSettings.crashWord);
    ReplicaFakeSettings replicaSettings;
    CLI::App* replica = app.add_subcommand("replica");
    addCommon(*replica, replicaSettings.common);
    replica->add_option("--events", replicaSettings.events);
    addMillis(*replica, "--event-interval-ms", replicaSettings.eventInterval);
    ServiceFakeSettings serviceSettings;
    CLI::App* service = app.add_subcommand("service");
    addCommon(*service, serviceSettings.common);
    addMillis(*service, "--order-ms", serviceSettings.orderTime);
    CallerSettings callerSettings;
    CLI::App* caller = app.add_subcommand("caller");
    caller->add_option("--entry", callerSettings.entries)->required();
    caller->add_option("--token", callerSettings.token)->take_last();
    caller->add_option("--told", callerSettings.told)->take_last();
    caller->add_option("--callers", callerSettings.callers)->take_last();
    caller->add_option("--seed", callerSettings.seed)->take_last();
    caller->add_option("--orders", callerSettings.orders);
    caller->add_option("--lookups", callerSettings.lookups);
    addMillis(*caller, "--duration-ms", callerSettings.duration);
    JudgeSettings judgeSettings;
    std::vector<std::string> windows;
    CLI::App* judge = app.add_subcommand("judge");
    judge->add_option("--told", judgeSettings.told);
    judge->add_option("--record", judgeSettings.records);
    judge->add_option("--closed", windows, "PREFIX:FROM:TO in milliseconds since 1970");
    RankFakeSettings rankSettings;
    CLI::App* rank = app.add_subcommand("rank");
    addCommon(*rank, rankSettings.common);
    addMillis(*rank, "--step-ms", rankSettings.stepTime);
    addMillis(*rank, "--load-ms", rankSettings.loadTime);
    RelaySettings relaySettings;
    CLI::App* relay = app.add_subcommand("relay");
    relay->add_option("--listen", relaySettings.listen)->required();
    relay->add_option("--target", relaySettings.target)->required();
    CLI11_PARSE(app, argc, argv);
    for (const std::string& window : windows)
        judgeSettings.closed.push_back(parseWindow(window));
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
