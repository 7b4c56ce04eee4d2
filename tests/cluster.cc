#include "tests/cluster.h"

#include "base/digest.h"

#include <boost/json.hpp>
#include <csignal>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace orioletrail::tests {

namespace {

    const std::string accountToken = "test-token";
    // Token of a second account.
    const std::string smallAccountToken = "small-token";
    constexpr Millis pollInterval { 20 };
    constexpr Millis waitTimeout { 10'000 };

    bool isModelEndpoint(const std::string& endpoint)
    {
        return endpoint.find("-m") != std::string::npos;
    }

} // namespace

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
    , m_basePort(reservePorts())
{
    start("platform", { binaryPath("orioletrail-fakes"), "platform", "--name", "platform", "--listen", localAddress(m_basePort), "--record", recordPath("platform") });
    for (int zone = 1; zone <= m_options.zones; ++zone) {
        if (m_options.relays)
            start("relay-platform-" + std::to_string(zone), { binaryPath("orioletrail-fakes"), "relay", "--listen", localAddress(m_basePort + zone), "--target", localAddress(m_basePort) });
        startEntry(zone);
    }
    for (const std::string& name : endpointNames()) {
        startEndpoint(name);
        startSidecar(name);
        if (m_options.relays)
            start("relay-endpoint-" + name, { binaryPath("orioletrail-fakes"), "relay", "--listen", localAddress(endpointPort(name) + 4), "--target", localAddress(endpointPort(name)) });
        if (m_options.relays)
            start("relay-" + name, { binaryPath("orioletrail-fakes"), "relay", "--listen", localAddress(endpointPort(name) + 3), "--target", localAddress(endpointPort(name) + 1) });
    }
    for (int rank = 0; rank < m_options.ranks; ++rank) {
        startRankEngine(rank);
        startRank(rank);
        if (m_options.relays)
            start("relay-rank-" + std::to_string(rank), { binaryPath("orioletrail-fakes"), "relay", "--listen", localAddress(rankBasePort(rank) + 3), "--target", localAddress(rankBasePort(rank) + 1) });
    }
    applyConfiguration();
}

void Cluster::startRankEngine(int rank)
{
    const std::string name = "engine-" + std::to_string(rank);
    start(name, { binaryPath("orioletrail-fakes"), "rank", "--name", name, "--listen", localAddress(rankBasePort(rank)), "--record", recordPath(name), "--step-ms", "20", "--load-ms", "200" });
}

void Cluster::startRank(int rank)
{
    std::vector<std::string> arguments { binaryPath("orioletrail"), "rank", "--group", "g", "--rank", std::to_string(rank), "--listen", localAddress(rankBasePort(rank) + 1),
        "--admin", localAddress(rankBasePort(rank) + 2), "--engine", localAddress(rankBasePort(rank)), "--platform", localAddress(m_basePort), "--log-level", "error",
        "--plan-interval", "500", "--freeze-poll", "500", "--step-timeout", "1000", "--slots-per-rank", "20" };
    for (int peer = 0; peer < m_options.ranks; ++peer)
        arguments.insert(arguments.end(), { "--ranks", localAddress(rankBasePort(peer) + (m_options.relays ? 3 : 1)) });
    start("rank-" + std::to_string(rank), std::move(arguments));
}

int Cluster::rankBasePort(int rank) const
{
    return m_basePort + 120 + rank * 4;
}

std::optional<int> Cluster::waitForGroupLeader()
{
    const TimePoint until = Clock::now() + waitTimeout;
    while (Clock::now() < until) {
        for (int rank = 0; rank < m_options.ranks; ++rank)
            if (call(localAddress(rankBasePort(rank) + 2), "GET", "/metrics").body.find("orioletrail_group_leading 1") != std::string::npos)
                return rank;
        std::this_thread::sleep_for(pollInterval);
    }
    return std::nullopt;
}

size_t Cluster::stepCount(int rank) const
{
    std::ifstream file(recordPath("engine-" + std::to_string(rank)));
    std::string line;
    size_t steps = 0;
    while (std::getline(file, line))
        steps += line.find("\"step\"") != std::string::npos ? 1 : 0;
    return steps;
}

Cluster::~Cluster()
{
    // The processes write to m_directory, so they end before it is removed.
    m_processes.clear();
}

std::vector<std::string> Cluster::endpointNames() const
{
    std::vector<std::string> names;
    for (int zone = 1; zone <= m_options.zones; ++zone) {
        for (int i = 1; i <= m_options.enginesPerZone; ++i)
            names.push_back("z" + std::to_string(zone) + "-m" + std::to_string(i));
        for (int i = 1; i <= m_options.servicesPerZone; ++i)
            names.push_back("z" + std::to_string(zone) + "-s" + std::to_string(i));
    }
    return names;
}

int Cluster::endpointPort(const std::string& endpoint) const
{
    const std::vector<std::string> names = endpointNames();
    const auto index = std::find(names.begin(), names.end(), endpoint) - names.begin();
    return m_basePort + 40 + static_cast<int>(index) * 5;
}

std::string Cluster::entryAddress(int zone) const
{
    return localAddress(m_basePort + 10 + zone * 3);
}

std::string Cluster::adminAddress(int zone) const
{
    return localAddress(m_basePort + 11 + zone * 3);
}

std::string Cluster::platformAddress() const
{
    return localAddress(m_basePort);
}

std::string Cluster::endpointAddress(const std::string& name) const
{
    return localAddress(endpointPort(name));
}

std::string Cluster::gauges() const
{
    std::string gauges;
    const auto append = [&](const std::string& name, const std::string& address) {
        std::istringstream lines(callOnce(address, { "GET", "/metrics", {}, {} }).body);
        for (std::string line; std::getline(lines, line);)
            if (!line.starts_with('#') && line.find("_total") == std::string::npos && line.find("_seconds") == std::string::npos)
                ((gauges += name) += ' ') += line + '\n';
    };
    for (int zone = 1; zone <= m_options.zones; ++zone)
        append("e" + std::to_string(zone), adminAddress(zone));
    for (const std::string& name : endpointNames())
        if (!isModelEndpoint(name))
            append(name, localAddress(endpointPort(name) + 2));
    return gauges;
}

std::string Cluster::sidecarAddress(const std::string& name) const
{
    return localAddress(endpointPort(name) + 1);
}

std::string Cluster::sidecarAdminAddress(const std::string& name) const
{
    return localAddress(endpointPort(name) + 2);
}

void Cluster::start(const std::string& name, std::vector<std::string> arguments)
{
    m_processes.erase(name);
    m_processes[name] = std::make_unique<Process>(std::move(arguments));
}

void Cluster::startEntry(int zone, std::vector<std::string> flags)
{
    std::vector<std::string> arguments { binaryPath("orioletrail"), "entry", "--name", "e" + std::to_string(zone), "--zone", "z" + std::to_string(zone),
        "--listen", entryAddress(zone), "--admin", adminAddress(zone), "--gossip", localAddress(m_basePort + 12 + zone * 3),
        "--platform", localAddress(m_options.relays ? m_basePort + zone : m_basePort), "--log-level", "error", "--drain-grace", "100" };
    for (int peer = 1; peer <= m_options.zones; ++peer)
        if (peer != zone)
            arguments.insert(arguments.end(), { "--peer", localAddress(m_basePort + 12 + peer * 3) });
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    start("entry-" + std::to_string(zone), std::move(arguments));
}

void Cluster::startSidecar(const std::string& endpoint)
{
    const int port = endpointPort(endpoint);
    std::vector<std::string> arguments { binaryPath("orioletrail"), "sidecar", "--name", endpoint, "--service", isModelEndpoint(endpoint) ? "labels" : "print",
        "--zone", endpoint.substr(0, endpoint.find('-')), "--listen", localAddress(port + 1), "--admin", localAddress(port + 2), "--endpoint", localAddress(m_options.relays ? port + 4 : port),
        "--platform", localAddress(m_basePort), "--log-level", "error" };
    const std::vector<std::string> limits { "--cold-limit", "4", "--warm-limit", "16" };
    const std::vector<std::string>& flags = m_options.sidecarFlags.empty() ? limits : m_options.sidecarFlags;
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    start("sidecar-" + endpoint, std::move(arguments));
}

void Cluster::startEndpoint(const std::string& endpoint)
{
    std::vector<std::string> arguments { binaryPath("orioletrail-fakes"), isModelEndpoint(endpoint) ? "engine" : "service", "--name", endpoint,
        "--listen", localAddress(endpointPort(endpoint)), "--record", recordPath(endpoint) };
    if (isModelEndpoint(endpoint))
        arguments.insert(arguments.end(), m_options.engineFlags.begin(), m_options.engineFlags.end());
    else
        arguments.insert(arguments.end(), m_options.serviceFlags.begin(), m_options.serviceFlags.end());
    start("endpoint-" + endpoint, std::move(arguments));
}

void Cluster::applyConfiguration()
{
    boost::json::object objects;
    objects["config/account/test"] = { { "tokenDigest", sha256Hex(accountToken) }, { "maxInFlight", 600 } };
    objects["config/account/small"] = { { "tokenDigest", sha256Hex(smallAccountToken) }, { "maxInFlight", 600 } };
    objects["config/service/labels"] = { { "kind", "model" } };
    objects["config/service/print"] = { { "kind", "plain" } };
    objects["config/rule/lookup"] = { { "service", "print" }, { "method", "GET" }, { "idempotent", true } };
    if (m_options.ranks)
        objects["config/group/g"] = { { "frozen", false } };
    for (int zone = 1; zone <= m_options.zones; ++zone) {
        const std::string name = std::to_string(zone);
        objects["config/zone/z" + name] = { { "out", false } };
        objects["config/instance/e" + name] = { { "zone", "z" + name }, { "gossip", localAddress(m_basePort + 12 + zone * 3) } };
    }
    for (const std::string& name : endpointNames())
        objects["config/endpoint/" + name] = { { "service", isModelEndpoint(name) ? "labels" : "print" }, { "zone", name.substr(0, name.find('-')) },
            { "sidecar", localAddress(endpointPort(name) + (m_options.relays ? 3 : 1)) } };
    const std::string objectFile = path("objects.json");
    std::ofstream(objectFile) << boost::json::serialize(boost::json::object { { "objects", objects } });
    const TimePoint until = Clock::now() + waitTimeout;
    while (runCtl("apply " + objectFile).status != 0 && Clock::now() < until)
        std::this_thread::sleep_for(pollInterval);
}

bool Cluster::waitUntilReady()
{
    const TimePoint until = Clock::now() + waitTimeout;
    for (int zone = 1; zone <= m_options.zones; ++zone)
        while (call(adminAddress(zone), "GET", "/readyz").status != 200) {
            if (Clock::now() > until)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
    // Readiness does not include the connections to sidecars and their first probes.
    std::this_thread::sleep_for(Millis(500));
    return true;
}

HttpResult Cluster::call(const std::string& address, std::string method, std::string target, std::string body, HeaderList headers)
{
    HttpRequest request { std::move(method), std::move(target), std::move(headers), std::move(body) };
    if (request.header("X-Request-Id").empty())
        request.headers.emplace_back("X-Request-Id", "t" + std::to_string(++m_requestCount));
    if (request.header("Authorization").empty())
        request.headers.emplace_back("Authorization", "Bearer " + accountToken);
    return callOnce(address, std::move(request));
}

CommandOutput Cluster::runCtl(const std::string& line, int zone)
{
    const std::string output = path("ctl");
    Process process({ "/bin/sh", "-c", "exec " + binaryPath("orioletrail") + " ctl --entry " + adminAddress(zone) + " " + line + " >" + output + " 2>&1" });
    const std::optional<int> status = process.wait(waitTimeout);
    std::ifstream file(output);
    std::stringstream text;
    text << file.rdbuf();
    return { status.value_or(-1), text.str() };
}

double Cluster::millisUntilSameRevision(TimePoint since)
{
    std::vector<std::string> adminAddresses;
    for (int zone = 1; zone <= m_options.zones; ++zone)
        adminAddresses.push_back(adminAddress(zone));
    for (const std::string& name : endpointNames())
        adminAddresses.push_back(localAddress(endpointPort(name) + 2));
    while (Clock::now() - since < waitTimeout) {
        std::set<std::string> revisions;
        for (const std::string& address : adminAddresses) {
            const std::string metrics = call(address, "GET", "/metrics").body;
            const size_t at = metrics.find("\norioletrail_config_revision ");
            revisions.insert(at == std::string::npos ? "" : metrics.substr(at + 1, metrics.find('\n', at + 1) - at));
        }
        if (revisions.size() == 1)
            return std::chrono::duration<double, std::milli>(Clock::now() - since).count();
    }
    return -1;
}

void Cluster::setFault(const std::string& name, const std::string& mode, int delayMs, int count)
{
    const boost::json::object body { { "mode", mode }, { "delayMs", delayMs }, { "count", count } };
    call(name == "platform" ? localAddress(m_basePort) : localAddress(endpointPort(name)), "POST", "/fault", boost::json::serialize(body));
}

std::unique_ptr<Process> Cluster::startLoadGenerator(Millis duration, std::vector<std::string> flags, std::vector<int> zones)
{
    std::vector<std::string> arguments { binaryPath("orioletrail-fakes"), "caller", "--token", accountToken, "--told", path("told"), "--duration-ms",
        std::to_string(duration.count()), "--callers", "12", "--seed", "1" };
    for (int zone = 1; zone <= m_options.zones; ++zone)
        if (zones.empty() || std::find(zones.begin(), zones.end(), zone) != zones.end())
            arguments.insert(arguments.end(), { "--entry", entryAddress(zone) });
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return std::make_unique<Process>(std::move(arguments));
}

fakes::Verdict Cluster::judge()
{
    fakes::JudgeSettings settings;
    settings.resultPaths = { path("told") };
    settings.closedWindows = m_closedWindows;
    for (const std::string& name : endpointNames())
        settings.recordPaths.push_back(recordPath(name));
    for (int rank = 0; rank < m_options.ranks; ++rank)
        settings.recordPaths.push_back(recordPath("engine-" + std::to_string(rank)));
    fakes::Verdict verdict = fakes::judge(settings);
    if (!verdict.isClean() || unansweredCount(verdict))
        fakes::runJudge(settings);
    return verdict;
}

size_t Cluster::droppedAnswerCount() const
{
    std::ifstream file(recordPath("platform"));
    std::string line;
    size_t dropped = 0;
    while (std::getline(file, line))
        dropped += line.find("\"dropped\"") != std::string::npos ? 1 : 0;
    return dropped;
}

size_t Cluster::runCount(const std::string& prefix) const
{
    size_t runs = 0;
    for (const std::string& name : endpointNames()) {
        if (!name.starts_with(prefix))
            continue;
        std::ifstream file(recordPath(name));
        std::string line;
        while (std::getline(file, line))
            runs += line.find("\"run\"") != std::string::npos || line.find("\"order\"") != std::string::npos || line.find("\"lookup\"") != std::string::npos ? 1 : 0;
    }
    return runs;
}

uint64_t resultCount(const fakes::Verdict& verdict, const std::string& kind, const std::string& result)
{
    const auto results = verdict.resultCounts.find(kind);
    if (results == verdict.resultCounts.end())
        return 0;
    const auto count = results->second.find(result);
    return count == results->second.end() ? 0 : count->second;
}

uint64_t unansweredCount(const fakes::Verdict& verdict)
{
    uint64_t unanswered = 0;
    for (const auto& [kind, results] : verdict.resultCounts)
        for (const auto& [result, count] : results)
            unanswered += result == "answered" ? 0 : count;
    return unanswered;
}

} // namespace orioletrail::tests
