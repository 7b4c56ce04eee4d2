// The orioletrail program: subcommands, their options and environment variables.
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
    constexpr int exitBadSettings = 2;
    constexpr int exitStartFailed = 1;

    const std::map<std::string, LogLevel> logLevels { { "debug", LogLevel::Debug }, { "info", LogLevel::Info },
        { "warning", LogLevel::Warning }, { "error", LogLevel::Error } };

    // Adds an option that takes whole milliseconds from `min` to `max`.
    void addMillisOption(CLI::App& app, const std::string& flag, Millis& value, int min, int max, const std::string& help)
    {
        app.add_option_function<int>(
               flag, [&value](int millis) { value = Millis(millis); }, help + ", in milliseconds")
            ->check(CLI::Range(min, max))
            ->default_str(std::to_string(value.count()));
    }

    // Lets each option also be set by an environment variable: --drain-grace by
    // ORIOLETRAIL_DRAIN_GRACE, for example.
    void addEnvironmentVariables(CLI::App& app)
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

    void addLogOptions(CLI::App& app, LogLevel& logLevel)
    {
        app.add_option("--log-level", logLevel, "lowest level of log lines to write")->transform(CLI::CheckedTransformer(logLevels, CLI::ignore_case))->group("Logging");
    }

    void addEntryOptions(CLI::App& app, EntrySettings& settings)
    {
        app.add_option("--name", settings.name, "name of this instance")->required();
        app.add_option("--zone", settings.zone, "availability zone of this instance")->required();
        app.add_option("--listen", settings.listen, "IP:PORT for callers")->capture_default_str()->group("Addresses");
        app.add_option("--admin", settings.admin, "IP:PORT for operators and metrics")->capture_default_str()->group("Addresses");
        app.add_option("--gossip", settings.gossip, "IP:PORT for other entries")->capture_default_str()->group("Addresses");
        app.add_option("--platform", settings.platform, "IP:PORT of the object API")->capture_default_str()->group("Addresses");
        app.add_option("--peer", settings.peers, "IP:PORT of another entry's --gossip; may be repeated")->group("Addresses");
        app.add_option("--subset", settings.subsetSize, "endpoints of each service to connect to, 0 for all")->check(CLI::Range(0, 100'000))->capture_default_str()->group("Routing");
        app.add_option("--max-attempts", settings.maxAttempts, "attempts per request, including the first")->check(CLI::Range(1, 16))->capture_default_str()->group("Routing");
        app.add_option("--queue-limit", settings.queueLimit, "requests that may wait for a free endpoint at the same time")->check(CLI::Range(0, 100'000))->capture_default_str()->group("Limits");
        app.add_option("--max-body", settings.http.maxBodyBytes, "largest request body, in bytes")->check(CLI::Range(1, 3'000'000))->capture_default_str()->group("Limits");
        app.add_option("--max-header", settings.http.maxHeaderBytes, "largest request header, in bytes")->check(CLI::Range(256, 1'000'000))->capture_default_str()->group("Limits");
        app.add_option("--max-connections", settings.http.maxConnections, "largest number of connections from callers")->check(CLI::Range(1, 1'000'000))->capture_default_str()->group("Limits");
        app.add_option("--memory", settings.memoryMegabytes, "memory that the process may use, in MB, 0 if unknown")->check(CLI::Range(0, 1'000'000))->capture_default_str()->group("Limits");
        addMillisOption(app, "--receive-timeout", settings.http.receiveTimeout, 10, 600'000, "timeout for receiving a request");
        addMillisOption(app, "--queue-timeout", settings.queueTimeout, 0, 60'000, "longest wait for a free endpoint");
        addMillisOption(app, "--default-deadline", settings.defaultDeadline, 1, 3'600'000, "deadline of a request that sets none");
        addMillisOption(app, "--max-deadline", settings.maxDeadline, 1, 3'600'000, "longest deadline that a request may set");
        addMillisOption(app, "--platform-timeout", settings.platformTimeout, 10, 60'000, "timeout of a call to the platform");
        addMillisOption(app, "--fresh-for", settings.freshness.freshFor, 100, 60'000, "how long a confirmed configuration is fresh");
        addMillisOption(app, "--drain-grace", settings.drainGrace, 0, 600'000, "time on shutdown between reporting not ready and accepting no new connections");
        addMillisOption(app, "--drain-timeout", settings.drainTimeout, 0, 3'600'000, "longest wait on shutdown for requests in progress");
    }

    uint64_t unixMillis()
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    void addDirectOptions(CLI::App& app, DirectSettings& settings)
    {
        settings.unixMillis = unixMillis;
        app.add_option("--settings-file", settings.settingsFile, "the platform's settings file; by default the path that the platform passes")->group("Addresses");
        app.add_option("--metrics-port", settings.metricsPort, "port for metrics, 0 for none")->capture_default_str()->group("Addresses");
        addMillisOption(app, "--store-timeout", settings.storeTimeout, 10, 60'000, "timeout of a call to the platform's store");
        addMillisOption(app, "--connect-timeout", settings.connectTimeout, 10, 60'000, "timeout for opening a connection to an endpoint");
        addMillisOption(app, "--part-retention", settings.partRetention, 0, 86'400'000, "how long engines keep parts of prompts after the last request that has them");
    }

    void addEngineSidecarOptions(CLI::App& app, EngineSidecarSettings& settings)
    {
        app.add_option("--settings-file", settings.settingsFile, "the platform's settings file; by default the path that the platform passes")->group("Addresses");
        addMillisOption(app, "--store-timeout", settings.storeTimeout, 10, 60'000, "timeout of a call to the platform's store");
        addMillisOption(app, "--engine-timeout", settings.engineTimeout, 10, 60'000, "timeout of a call to the engine");
    }

    void addSidecarOptions(CLI::App& app, SidecarSettings& settings)
    {
        app.add_option("--name", settings.name, "name of the endpoint")->required();
        app.add_option("--service", settings.service, "service or model of the endpoint")->required();
        app.add_option("--zone", settings.zone, "availability zone of the endpoint")->required();
        app.add_option("--listen", settings.listen, "IP:PORT for entries")->capture_default_str()->group("Addresses");
        app.add_option("--admin", settings.admin, "IP:PORT for metrics")->capture_default_str()->group("Addresses");
        app.add_option("--endpoint", settings.endpoint, "IP:PORT of the endpoint")->capture_default_str()->group("Addresses");
        app.add_option("--platform", settings.platform, "IP:PORT of the object API")->capture_default_str()->group("Addresses");
        app.add_option("--cold-limit", settings.ramp.coldLimit, "most requests at once to a cold endpoint")->check(CLI::Range(1, 100'000))->capture_default_str()->group("Limits");
        app.add_option("--warm-limit", settings.ramp.warmLimit, "most requests at once to a warm endpoint")->check(CLI::Range(1, 100'000))->capture_default_str()->group("Limits");
        app.add_option("--warm-after", settings.ramp.warmAfter, "completed requests until a cold endpoint is warm")->check(CLI::Range(1, 1'000'000))->capture_default_str()->group("Limits");
        app.add_option("--memory", settings.memoryMegabytes, "memory that the process may use, in MB, 0 if unknown")->check(CLI::Range(0, 1'000'000))->capture_default_str()->group("Limits");
        addMillisOption(app, "--probe-interval", settings.probeInterval, 10, 60'000, "time between probes of the endpoint");
        addMillisOption(app, "--probe-timeout", settings.probeTimeout, 10, 60'000, "timeout of a probe");
        addMillisOption(app, "--platform-timeout", settings.platformTimeout, 10, 60'000, "timeout of a call to the platform");
        addMillisOption(app, "--ledger-write-interval", settings.ledger.writeInterval, 0, 10'000, "shortest time between two writes of a ledger shard");
        addMillisOption(app, "--fresh-for", settings.freshness.freshFor, 100, 60'000, "how long a confirmed configuration is fresh");
        addMillisOption(app, "--drain-timeout", settings.drainTimeout, 0, 3'600'000, "longest wait on shutdown for attempts in progress");
    }

    void addRankOptions(CLI::App& app, RankSettings& settings)
    {
        app.add_option("--group", settings.group, "name of the group")->required();
        app.add_option("--rank", settings.rank, "number of this rank, from 0")->required();
        app.add_option("--ranks", settings.ranks, "IP:PORT of every rank's --listen, in rank order")->required()->group("Addresses");
        app.add_option("--listen", settings.listen, "IP:PORT for the group's leader")->capture_default_str()->group("Addresses");
        app.add_option("--admin", settings.admin, "IP:PORT for metrics")->capture_default_str()->group("Addresses");
        app.add_option("--engine", settings.engine, "IP:PORT of the rank's engine")->capture_default_str()->group("Addresses");
        app.add_option("--platform", settings.platform, "IP:PORT of the object API")->capture_default_str()->group("Addresses");
        app.add_option("--candidates", settings.candidates, "number of ranks, from rank 0 on, that may become leader")->check(CLI::Range(1, 1024))->capture_default_str()->group("Group");
        app.add_option("--steps-per-agreement", settings.stepsPerAgreement, "engine steps covered by one agreement of the ranks")->check(CLI::Range(1, 100'000))->capture_default_str()->group("Group");
        app.add_option("--slots-per-rank", settings.slotsPerRank, "experts of one layer that a rank can hold")->check(CLI::Range(1, 4096))->capture_default_str()->group("Group");
        app.add_option("--moves-per-interval", settings.planner.maxMovesPerInterval, "expert copies that the weight store can load per plan interval")->check(CLI::Range(0, 1'000'000))->capture_default_str()->group("Group");
        app.add_option("--memory", settings.memoryMegabytes, "memory that the process may use, in MB, 0 if unknown")->check(CLI::Range(0, 1'000'000))->capture_default_str()->group("Limits");
        addMillisOption(app, "--plan-interval", settings.planInterval, 100, 3'600'000, "time between two runs of the placement planner");
        addMillisOption(app, "--step-timeout", settings.stepTimeout, 100, 600'000, "time after which a step is abandoned if a rank has not answered");
        addMillisOption(app, "--prepare-timeout", settings.prepareTimeout, 100, 3'600'000, "time after which loading a map is abandoned");
        addMillisOption(app, "--platform-timeout", settings.platformTimeout, 10, 60'000, "timeout of a call to the platform");
        addMillisOption(app, "--lease-timeout", settings.lease.timeout, 500, 600'000, "time after which a leader that sends nothing is replaced");
        addMillisOption(app, "--freeze-poll", settings.freezePollInterval, 100, 60'000, "time between checks whether the map is frozen");
    }

    // Runs a daemon until it has shut down. Returns the exit code of the process.
    template <class Daemon, class Settings>
    int runDaemon(const Settings& settings, LogLevel logLevel)
    {
        std::string reason;
        if (!validate(settings, reason)) {
            std::cerr << "orioletrail: " << reason << '\n';
            return exitBadSettings;
        }
        startLog(logLevel);
        log(LogLevel::Info, "orioletrail", { { "version", std::string(version) } });
        Daemon daemon(settings);
        if (daemon.run())
            return 0;
        std::cerr << "orioletrail: " << daemon.lastError() << '\n';
        return exitStartFailed;
    }

    // Checks an object file for `check-config`. Returns the exit code of the process.
    int checkObjectFile(const std::string& objectFilePath)
    {
        std::ifstream file(objectFilePath);
        if (!file) {
            std::cerr << "orioletrail: cannot read \"" << objectFilePath << "\"\n";
            return exitBadSettings;
        }
        const std::string text { std::istreambuf_iterator<char>(file), {} };
        std::string reason;
        const std::optional<Command> command = parseObjectFile(text, reason);
        if (!command) {
            std::cerr << "orioletrail: " << objectFilePath << ": " << reason << '\n';
            return exitBadSettings;
        }
        std::cout << command->objects.size() << " objects are well-formed\n";
        return 0;
    }

    int run(int argc, char** argv)
    {
        CLI::App app { "load balancer for expert-parallel model groups" };
        app.require_subcommand(1);
        LogLevel logLevel = LogLevel::Info;
        EntrySettings entrySettings;
        SidecarSettings sidecarSettings;
        DirectSettings directSettings;
        EngineSidecarSettings engineSidecarSettings;
        CtlSettings ctlSettings;
        std::string objectFilePath;
        CLI::App* entry = app.add_subcommand("entry", "accept callers and route their requests");
        addEntryOptions(*entry, entrySettings);
        addLogOptions(*entry, logLevel);
        addEnvironmentVariables(*entry);
        CLI::App* direct = app.add_subcommand("direct", "accept callers and send their requests directly to endpoints");
        addDirectOptions(*direct, directSettings);
        addLogOptions(*direct, logLevel);
        addEnvironmentVariables(*direct);
        CLI::App* engineSidecar = app.add_subcommand("engine-sidecar", "forward to one engine what the leader of the expert maps requests");
        addEngineSidecarOptions(*engineSidecar, engineSidecarSettings);
        addLogOptions(*engineSidecar, logLevel);
        addEnvironmentVariables(*engineSidecar);
        CLI::App* sidecar = app.add_subcommand("sidecar", "control access to one endpoint");
        addSidecarOptions(*sidecar, sidecarSettings);
        addLogOptions(*sidecar, logLevel);
        addEnvironmentVariables(*sidecar);
        RankSettings rankSettings;
        CLI::App* rank = app.add_subcommand("rank", "run beside one rank of a group that computes in lock-step");
        addRankOptions(*rank, rankSettings);
        addLogOptions(*rank, logLevel);
        addEnvironmentVariables(*rank);
        CLI::App* ctl = app.add_subcommand("ctl", "send an operator's query or command to an entry");
        addCtlOptions(*ctl, ctlSettings);
        addEnvironmentVariables(*ctl);
        CLI::App* check = app.add_subcommand("check-config", "check an object file without applying it");
        check->add_option("file", objectFilePath, "object file")->required();
        CLI::App* showVersion = app.add_subcommand("version", "print the version");
        CLI11_PARSE(app, argc, argv);
        if (*showVersion) {
            std::cout << "orioletrail " << version << '\n';
            return 0;
        }
        if (*check)
            return checkObjectFile(objectFilePath);
        if (*ctl)
            return runCtl(ctlSettings);
        if (*rank)
            return runDaemon<Rank>(rankSettings, logLevel);
        if (*engineSidecar)
            return runDaemon<EngineSidecar>(engineSidecarSettings, logLevel);
        if (*direct)
            return runDaemon<DirectEntry>(directSettings, logLevel);
        return *entry ? runDaemon<Entry>(entrySettings, logLevel) : runDaemon<Sidecar>(sidecarSettings, logLevel);
    }

} // namespace detail

} // namespace orioletrail

int main(int argc, char** argv)
{
    return orioletrail::detail::run(argc, argv);
}
