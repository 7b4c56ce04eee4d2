// Command line of orioletrail.
#include "cmd/ctl.h"
#include "direct/direct.h"
#include "direct/sidecar.h"
#include "entry/entry.h"
#include "operator/command.h"
#include "rank/rank.h"
#include "sidecar/sidecar.h"
#include "telemetry/log.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

namespace orioletrail {

namespace detail {

    constexpr std::string_view version = "0.1.0";
    constexpr int badSettings = 2;
    constexpr int cannotStart = 1;

    const std::map<std::string, LogLevel> logLevels { { "debug", LogLevel::Debug }, { "info", LogLevel::Info },
        { "warning", LogLevel::Warning }, { "error", LogLevel::Error } };

    // Adds a flag in milliseconds that must lie within the range. The variable name follows from the flag's.
    void addMillis(CLI::App& app, const std::string& flag, Millis& value, int least, int most, const std::string& help)
    {
        app.add_option_function<int>(
               flag, [&value](int millis) { value = Millis(millis); }, help + ", in milliseconds")
            ->check(CLI::Range(least, most))
            ->default_str(std::to_string(value.count()));
    }

    // Gives each option the variable ORIOLETRAIL_FLAG_NAME.
    void addVariables(CLI::App& app)
    {
        for (CLI::Option* option : app.get_options()) {
            std::string name = option->get_lnames().empty() ? "" : option->get_lnames().front();
            if (name.empty() || name == "help")
                continue;
            std::string variable = "ORIOLETRAIL_";
            for (const char c : name)
                variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
            option->envname(variable);
        }
    }

    void addCommon(CLI::App& app, LogLevel& level)
    {
        app.add_option("--log-level", level, "least level of log lines")->transform(CLI::CheckedTransformer(logLevels, CLI::ignore_case))->group("Logging");
    }

    void addEntry(CLI::App& app, EntrySettings& settings)
    {
        app.add_option("--name", settings.name, "name of this instance")->required();
        app.add_option("--zone", settings.zone, "availability zone of this instance")->required();
        app.add_option("--listen", settings.listen, "IP:PORT for callers")->capture_default_str()->group("Addresses");
        app.add_option("--admin", settings.admin, "IP:PORT for operators and metrics")->capture_default_str()->group("Addresses");
        app.add_option("--gossip", settings.gossip, "IP:PORT for other entries")->capture_default_str()->group("Addresses");
        app.add_option("--platform", settings.platform, "IP:PORT of the object API")->capture_default_str()->group("Addresses");
        app.add_option("--peer", settings.peers, "IP:PORT of another entry's --gossip; may be repeated")->group("Addresses");
        app.add_option("--subset", settings.subsetSize, "endpoints of each service to connect to, 0 for all")->check(CLI::Range(0, 100'000))->capture_default_str()->group("Routing");
        app.add_option("--max-attempts", settings.maxAttempts, "attempts at one request")->check(CLI::Range(1, 16))->capture_default_str()->group("Routing");
        app.add_option("--queue-limit", settings.queueLimit, "requests that may wait for a free endpoint")->check(CLI::Range(0, 100'000))->capture_default_str()->group("Limits");
        app.add_option("--max-body", settings.http.bodyBytes, "bytes of a request body")->check(CLI::Range(1, 3'000'000))->capture_default_str()->group("Limits");
        app.add_option("--max-header", settings.http.headerBytes, "bytes of a request header")->check(CLI::Range(256, 1'000'000))->capture_default_str()->group("Limits");
        app.add_option("--max-connections", settings.http.connections, "connections from callers")->check(CLI::Range(1, 1'000'000))->capture_default_str()->group("Limits");
        addMillis(app, "--receive-timeout", settings.http.receiveTimeout, 10, 600'000, "time for a request to arrive");
        addMillis(app, "--queue-timeout", settings.queueTimeout, 0, 60'000, "longest wait for a free endpoint");
        addMillis(app, "--default-deadline", settings.defaultDeadline, 1, 3'600'000, "deadline of a request that has none");
        addMillis(app, "--max-deadline", settings.maxDeadline, 1, 3'600'000, "longest deadline that a request may ask for");
        addMillis(app, "--platform-timeout", settings.platformTimeout, 10, 60'000, "timeout of a call to the platform");
        addMillis(app, "--fresh-for", settings.freshness.freshFor, 100, 60'000, "how long a confirmed configuration is fresh");
        addMillis(app, "--drain-grace", settings.drainGrace, 0, 600'000, "time between not ready and no new connections");
        addMillis(app, "--drain-timeout", settings.drainTimeout, 0, 3'600'000, "longest wait for requests in progress");
    }

    void addDirect(CLI::App& app, DirectSettings& settings)
    {
        app.add_option("--settings-file", settings.settingsFile, "settings file of the platform; by default the one that it passes")->group("Addresses");
        app.add_option("--metrics-port", settings.metricsPort, "port for metrics, 0 for none")->capture_default_str()->group("Addresses");
        addMillis(app, "--store-timeout", settings.storeTimeout, 10, 60'000, "timeout of a call to the platform's store");
        addMillis(app, "--connect-timeout", settings.connectTimeout, 10, 60'000, "timeout of a connection to an endpoint");
    }

    void addEngineSidecar(CLI::App& app, EngineSidecarSettings& settings)
    {
        app.add_option("--settings-file", settings.settingsFile, "settings file of the platform; by default the one that it passes")->group("Addresses");
        addMillis(app, "--store-timeout", settings.storeTimeout, 10, 60'000, "timeout of a call to the platform's store");
        addMillis(app, "--engine-timeout", settings.engineTimeout, 10, 60'000, "timeout of a call to the engine");
    }

    void addSidecar(CLI::App& app, SidecarSettings& settings)
    {
        app.add_option("--name", settings.name, "name of the endpoint")->required();
        app.add_option("--service", settings.service, "service or model of the endpoint")->required();
        app.add_option("--zone", settings.zone, "availability zone of the endpoint")->required();
        app.add_option("--listen", settings.listen, "IP:PORT for entries")->capture_default_str()->group("Addresses");
        app.add_option("--admin", settings.admin, "IP:PORT for metrics")->capture_default_str()->group("Addresses");
        app.add_option("--endpoint", settings.endpoint, "IP:PORT of the endpoint")->capture_default_str()->group("Addresses");
        app.add_option("--platform", settings.platform, "IP:PORT of the object API")->capture_default_str()->group("Addresses");
        app.add_option("--cold-limit", settings.ramp.coldLimit, "requests at once that a cold endpoint bears")->check(CLI::Range(1, 100'000))->capture_default_str()->group("Limits");
        app.add_option("--warm-limit", settings.ramp.warmLimit, "requests at once that a warm endpoint bears")->check(CLI::Range(1, 100'000))->capture_default_str()->group("Limits");
        app.add_option("--warm-after", settings.ramp.warmAfter, "completed requests that warm the endpoint up")->check(CLI::Range(1, 1'000'000))->capture_default_str()->group("Limits");
        addMillis(app, "--probe-interval", settings.probeInterval, 10, 60'000, "time between probes of the endpoint");
        addMillis(app, "--probe-timeout", settings.probeTimeout, 10, 60'000, "timeout of a probe");
        addMillis(app, "--platform-timeout", settings.platformTimeout, 10, 60'000, "timeout of a call to the platform");
        addMillis(app, "--ledger-write-interval", settings.ledger.writeInterval, 0, 10'000, "least time between two writes of a ledger shard");
        addMillis(app, "--fresh-for", settings.freshness.freshFor, 100, 60'000, "how long a confirmed configuration is fresh");
        addMillis(app, "--drain-timeout", settings.drainTimeout, 0, 3'600'000, "longest wait for attempts in progress");
    }

    void addRank(CLI::App& app, RankSettings& settings)
    {
        app.add_option("--group", settings.group, "name of the group")->required();
        app.add_option("--rank", settings.rank, "number of this rank, from 0")->required();
        app.add_option("--ranks", settings.ranks, "IP:PORT of each rank's --listen, in order")->required()->group("Addresses");
        app.add_option("--listen", settings.listen, "IP:PORT for the group's leader")->capture_default_str()->group("Addresses");
        app.add_option("--admin", settings.admin, "IP:PORT for metrics")->capture_default_str()->group("Addresses");
        app.add_option("--engine", settings.engine, "IP:PORT of the rank's engine")->capture_default_str()->group("Addresses");
        app.add_option("--platform", settings.platform, "IP:PORT of the object API")->capture_default_str()->group("Addresses");
        app.add_option("--candidates", settings.candidates, "ranks that may lead, from rank 0 on")->check(CLI::Range(1, 1024))->capture_default_str()->group("Group");
        app.add_option("--steps-per-agreement", settings.stepsPerAgreement, "engine steps that one agreement covers")->check(CLI::Range(1, 100'000))->capture_default_str()->group("Group");
        app.add_option("--slots-per-rank", settings.slotsPerRank, "experts that a rank holds of one layer")->check(CLI::Range(1, 4096))->capture_default_str()->group("Group");
        app.add_option("--moves-per-interval", settings.planner.movesPerInterval, "copies that the weight store can load in one plan interval")->check(CLI::Range(0, 1'000'000))->capture_default_str()->group("Group");
        addMillis(app, "--plan-interval", settings.planInterval, 100, 3'600'000, "time between plans");
        addMillis(app, "--step-timeout", settings.stepTimeout, 100, 600'000, "time after which a step without an answer is given up");
        addMillis(app, "--prepare-timeout", settings.prepareTimeout, 100, 3'600'000, "time after which loading a map is given up");
        addMillis(app, "--platform-timeout", settings.platformTimeout, 10, 60'000, "timeout of a call to the platform");
        addMillis(app, "--lease-timeout", settings.lease.timeout, 500, 600'000, "time after which a leader that is not heard of is replaced");
        addMillis(app, "--freeze-poll", settings.freezePoll, 100, 60'000, "time between looks whether the map is frozen");
    }

    template <class Daemon, class Settings>
    int runDaemon(const Settings& settings, LogLevel level)
    {
        std::string reason;
        if (!validate(settings, reason)) {
            std::cerr << "orioletrail: " << reason << '\n';
            return badSettings;
        }
        startLog(level);
        log(LogLevel::Info, "orioletrail", { { "version", std::string(version) } });
        Daemon daemon(settings);
        if (daemon.run())
            return 0;
        std::cerr << "orioletrail: " << daemon.lastError() << '\n';
        return cannotStart;
    }

    int checkConfig(const std::string& path)
    {
        std::ifstream file(path);
        if (!file) {
            std::cerr << "orioletrail: cannot read \"" << path << "\"\n";
            return badSettings;
        }
        const std::string text { std::istreambuf_iterator<char>(file), {} };
        std::string reason;
        const std::optional<Command> command = parseObjectFile(text, reason);
        if (!command) {
            std::cerr << "orioletrail: " << path << ": " << reason << '\n';
            return badSettings;
        }
        std::cout << command->objects.size() << " objects are well-formed\n";
        return 0;
    }

    int run(int argc, char** argv)
    {
        CLI::App app { "load balancer for expert-parallel model groups" };
        app.require_subcommand(1);
        LogLevel level = LogLevel::Info;
        EntrySettings entrySettings;
        SidecarSettings sidecarSettings;
        DirectSettings directSettings;
        EngineSidecarSettings engineSidecarSettings;
        CtlSettings ctlSettings;
        std::string path;
        CLI::App* entry = app.add_subcommand("entry", "accept callers and route their requests");
        addEntry(*entry, entrySettings);
        addCommon(*entry, level);
        addVariables(*entry);
        CLI::App* direct = app.add_subcommand("direct", "accept callers and send their requests straight to endpoints");
        addDirect(*direct, directSettings);
        addCommon(*direct, level);
        addVariables(*direct);
        CLI::App* engineSidecar = app.add_subcommand("engine-sidecar", "pass on to one engine what the leader of the expert maps asks of it");
        addEngineSidecar(*engineSidecar, engineSidecarSettings);
        addCommon(*engineSidecar, level);
        addVariables(*engineSidecar);
        CLI::App* sidecar = app.add_subcommand("sidecar", "guard one endpoint");
        addSidecar(*sidecar, sidecarSettings);
        addCommon(*sidecar, level);
        addVariables(*sidecar);
        RankSettings rankSettings;
        CLI::App* rank = app.add_subcommand("rank", "guard one rank of a group in lock-step");
        addRank(*rank, rankSettings);
        addCommon(*rank, level);
        addVariables(*rank);
        CLI::App* ctl = app.add_subcommand("ctl", "query or command the system through an entry");
        addCtl(*ctl, ctlSettings);
        addVariables(*ctl);
        CLI::App* check = app.add_subcommand("check-config", "check an object file");
        check->add_option("file", path, "object file")->required();
        CLI::App* showVersion = app.add_subcommand("version", "print the version");
        CLI11_PARSE(app, argc, argv);
        if (*showVersion) {
            std::cout << "orioletrail " << version << '\n';
            return 0;
        }
        if (*check)
            return checkConfig(path);
        if (*ctl)
            return runCtl(ctlSettings);
        if (*rank)
            return runDaemon<Rank>(rankSettings, level);
        if (*engineSidecar)
            return runDaemon<EngineSidecar>(engineSidecarSettings, level);
        if (*direct)
            return runDaemon<DirectEntry>(directSettings, level);
        return *entry ? runDaemon<Entry>(entrySettings, level) : runDaemon<Sidecar>(sidecarSettings, level);
    }

} // namespace detail

} // namespace orioletrail

int main(int argc, char** argv)
{
    return orioletrail::detail::run(argc, argv);
}
