#include "tests/direct-cluster.h"

#include "gateway/url.h"
#include "routing/placer.h"

#include <boost/json.hpp>
#include <fstream>
#include <thread>

namespace orioletrail::tests {

namespace json = boost::json;

namespace {

    // Ports of an entry relative to entryBasePort(), and of the first endpoint relative to m_basePort.
    constexpr int callerPortOffset = 1;
    constexpr int readinessPortOffset = 2;
    constexpr int metricsPortOffset = 3;
    constexpr int peerPortOffset = 4;
    constexpr int storeRelayPortOffset = 8;
    constexpr int firstEndpointPortOffset = 10;
    // Of the endpoints beyond the usual ones, behind the ports of all entries.
    constexpr int furtherEndpointPortOffset = 140;
    // Ports of the entries after the first.
    constexpr int secondEntryPortOffset = 20;
    constexpr int portsPerEntry = 10;

    std::vector<json::object> readLines(const std::string& path)
    {
        std::vector<json::object> lines;
        std::ifstream file(path);
        std::string line;
        while (std::getline(file, line)) {
            boost::system::error_code error;
            json::value value = json::parse(line, error);
            if (!error && value.is_object())
                lines.push_back(std::move(value.get_object()));
        }
        return lines;
    }

    json::object makeRoute(std::string_view prefix, std::string_view kind, std::string_view service, int attempts, Millis timeout)
    {
        return { { "name", prefix }, { "host", "app.example" }, { "path_prefix", prefix }, { "kind", kind }, { "service", service },
            { "timeout_ms", timeout.count() }, { "goal_ms", 500 }, { "gap_goal_ms", 500 }, { "priority", 1 }, { "max_attempts", attempts }, { "resumable", kind == "stream" } };
    }

} // namespace

const std::vector<std::string>& DirectCluster::endpointNames()
{
    static const std::vector<std::string> names { "m1", "m2", "m3", "p1", "p2" };
    return names;
}

std::string DirectCluster::zoneOf(const std::string& endpoint)
{
    if (endpoint == "m3" || endpoint == "p3" || endpoint == "p4")
        return "z2";
    return endpoint == "p5" || endpoint == "p6" ? "z3" : "z1";
}

std::string DirectCluster::serviceOf(const std::string& endpoint)
{
    return endpoint.starts_with('m') ? "model" : "print";
}

std::string DirectCluster::endpointAddress(const std::string& name) const
{
    return localAddress(endpointPort(name));
}

std::string DirectCluster::preferredPlainEndpoint(int entry)
{
    const std::string instance = "entry-" + std::to_string(entry + 1);
    return endpointPreference(instance, "p1") < endpointPreference(instance, "p2") ? "p1" : "p2";
}

std::string completeStream()
{
    std::string stream;
    for (int event = 1; event <= 10; ++event)
        stream += "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n";
    return stream;
}

bool waitUntil(const std::function<bool()>& condition)
{
    constexpr Millis limit { 10'000 };
    constexpr Millis pause { 20 };
    const TimePoint until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pause);
    }
    return false;
}

DirectCluster::DirectCluster(std::optional<int> entryOutputDescriptor)
    : DirectCluster(DirectClusterOptions {}, entryOutputDescriptor)
{
}

DirectCluster::DirectCluster(DirectClusterOptions options, std::optional<int> entryOutputDescriptor)
    : m_basePort(reservePorts())
    , m_options(std::move(options))
    , m_names(endpointNames())
    , m_entryOutputDescriptor(entryOutputDescriptor)
{
    for (int number = 3; number <= m_options.plainEndpoints; ++number)
        m_names.push_back("p" + std::to_string(number));
    startStore();
    for (const std::string& name : m_names)
        startEndpoint(name);
    putConfiguration(1);
    for (const std::string& name : m_names)
        registerEndpoint(name);
    startEntry();
}

DirectCluster::~DirectCluster() = default;

void DirectCluster::startStore()
{
    m_store = std::make_unique<Process>(std::vector<std::string> { binaryPath("orioletrail-fakes"), "platform", "--name", "store", "--listen", localAddress(m_basePort) });
    HttpRequest request { "GET", "/record", {}, {} };
    waitUntil([&] { return callOnce(localAddress(m_basePort), request).ok(); });
}

void DirectCluster::startEndpoint(const std::string& name)
{
    ++m_startCounts[name];
    m_endpoints[name].reset();
    m_endpoints[name] = std::make_unique<Process>(std::vector<std::string> { binaryPath("orioletrail-fakes"), "replica", "--name", name, "--listen", localAddress(endpointPort(name)), "--record", m_directory.path(name), "--born", std::to_string(m_startCounts[name]), "--crash-delay-ms", std::to_string(m_options.crashDelay.count()) });
}

void DirectCluster::startEntry(int entry)
{
    writeSettings(entry);
    const std::string suffix = entry ? std::to_string(entry) : std::string();
    ChildOptions options;
    options.environment = { "ORIOLETRAIL_NODE_FILE=" + m_directory.path("settings" + suffix) };
    if (m_entryOutputDescriptor)
        options.outputDescriptor = m_entryOutputDescriptor;
    else
        options.outputFile = m_directory.path("log" + suffix);
    m_entries[entry].reset();
    m_entries[entry] = std::make_unique<Process>(std::vector<std::string> { binaryPath("orioletrail"), "direct", "--metrics-port", std::to_string(entryBasePort(entry) + metricsPortOffset) }, options);
}

void DirectCluster::startEntryBehindRelay(int entry)
{
    m_storeRelays[entry] = std::make_unique<Process>(std::vector<std::string> { binaryPath("orioletrail-fakes"), "relay", "--listen", localAddress(entryBasePort(entry) + storeRelayPortOffset), "--target", localAddress(m_basePort) });
    startEntry(entry);
}

void DirectCluster::writeSettings(int entry) const
{
    const int base = entryBasePort(entry);
    std::ofstream file(m_directory.path("settings" + (entry ? std::to_string(entry) : std::string())));
    file << "node=entry-" << entry + 1 << "\nzone=z1\nip=127.0.0.1\nplatform.addr=" << localAddress(m_storeRelays.contains(entry) ? base + storeRelayPortOffset : m_basePort) << "\nlisten.front=" << localAddress(base + callerPortOffset)
         << "\nlisten.ready=" << localAddress(base + readinessPortOffset) << "\ninternal_ports=" << base + peerPortOffset << ',' << base + peerPortOffset + 2
         << "\nbounds.grace_s=8\nbounds.budget_slack=" << retrySlack << '\n'
         << m_options.settings;
}

int DirectCluster::entryBasePort(int entry) const
{
    return entry ? m_basePort + secondEntryPortOffset + (entry - 1) * portsPerEntry : m_basePort;
}

int DirectCluster::endpointPort(const std::string& endpoint) const
{
    const auto index = static_cast<int>(std::find(m_names.begin(), m_names.end(), endpoint) - m_names.begin());
    const auto usual = static_cast<int>(endpointNames().size());
    return m_basePort + (index < usual ? firstEndpointPortOffset + index : furtherEndpointPortOffset + index - usual);
}

bool DirectCluster::isReady(int entry)
{
    HttpRequest request { "GET", "/orioletrail/ready", {}, {} };
    const HttpResult result = callOnce(localAddress(entryBasePort(entry) + readinessPortOffset), request);
    return result.ok() && result.status == 200;
}

bool DirectCluster::waitUntilReady(int entry)
{
    return waitUntil([&] { return isReady(entry); });
}

HttpRequest DirectCluster::makeRequest(std::string method, std::string target, std::string id, HeaderList headers)
{
    HttpRequest request { std::move(method), std::move(target), std::move(headers), {} };
    request.headers.emplace_back("Host", "app.example");
    request.headers.emplace_back("X-Request-Id", std::move(id));
    if (request.header("Authorization").empty())
        request.headers.emplace_back("Authorization", "Token key-1");
    if (request.header("X-Deadline-Ms").empty())
        request.headers.emplace_back("X-Deadline-Ms", "3000");
    return request;
}

HttpResult DirectCluster::call(std::string method, std::string target, std::string id, HeaderList headers, int entry)
{
    return callOnce(callerAddress(entry), makeRequest(std::move(method), std::move(target), std::move(id), std::move(headers)));
}

void DirectCluster::callAndDisconnect(std::string method, std::string target, std::string id, Millis after)
{
    callOnce(localAddress(m_basePort + callerPortOffset), makeRequest(std::move(method), std::move(target), std::move(id), {}), after);
}

void DirectCluster::putObject(const std::string& kind, const std::string& name, json::value content)
{
    uint64_t& exists = m_objectExists[kind + '/' + name];
    json::object metadata { { "name", name } };
    json::object body;
    body["metadata"] = std::move(metadata);
    body["spec"] = std::move(content);
    const std::string base = "/orioletrail/objects/" + kind;
    HttpResult result = callOnce(localAddress(m_basePort), { exists ? "PUT" : "POST", exists ? base + '/' + percentEncode(name) : base, {}, json::serialize(body) });
    if (result.status == 404)
        result = callOnce(localAddress(m_basePort), { "POST", base, {}, json::serialize(body) });
    exists = result.status == 200 ? 1 : 0;
}

void DirectCluster::removeObject(const std::string& kind, const std::string& name)
{
    m_objectExists.erase(kind + '/' + name);
    callOnce(localAddress(m_basePort), { "DELETE", "/orioletrail/objects/" + kind + '/' + percentEncode(name), {}, {} });
}

void DirectCluster::restoreStore(Millis age)
{
    callOnce(localAddress(m_basePort), { "POST", "/restore?age_ms=" + std::to_string(age.count()), {}, {} });
}

int64_t DirectCluster::storeReads()
{
    const json::value record = json::parse(callOnce(localAddress(m_basePort), { "GET", "/record", {}, {} }).body);
    return record.at("reads").to_number<int64_t>();
}

std::string DirectCluster::listObjects(const std::string& kind)
{
    return callOnce(localAddress(m_basePort), { "GET", "/orioletrail/objects/" + kind, {}, {} }).body;
}

void DirectCluster::registerEndpoint(const std::string& name, const std::string& state)
{
    json::object content { { "service", serviceOf(name) }, { "addr", endpointAddress(name) }, { "zone", zoneOf(name) }, { "version", "v1" }, { "slots", 12 }, { "state", state },
        { "cold_left_ms", 0 }, { "seq", 1 }, { "born", m_startCounts[name] } };
    putObject("servers", name, std::move(content));
}

void DirectCluster::putConfiguration(uint64_t version, const std::string& key, const std::string& lookupPrefix, const std::string& account)
{
    json::object configuration { { "version", version } };
    configuration["routes"] = json::array { makeRoute("/stream/", "stream", "model", 2, m_options.routeTimeout), makeRoute("/once/", "non_idempotent", "print", 1, m_options.routeTimeout), makeRoute(lookupPrefix, "idempotent", "print", 2, m_options.routeTimeout) };
    json::array services { json::object { { "name", "model" } }, json::object { { "name", "print" } } };
    if (!m_namedService.empty())
        services.push_back(json::object { { "name", m_namedService } });
    configuration["services"] = std::move(services);
    configuration["tenants"] = json::array { json::object { { "name", account }, { "api_keys", json::array { key } } } };
    if (m_options.maxBodyBytes)
        configuration["limits"] = json::object { { "max_body_bytes", m_options.maxBodyBytes } };
    putObject("config", "main", std::move(configuration));
}

void DirectCluster::setFault(const std::string& name, const std::string& mode, int delayMs, int count)
{
    const json::object body { { "mode", mode }, { "delayMs", delayMs }, { "count", count } };
    callOnce(name == "store" ? localAddress(m_basePort) : localAddress(endpointPort(name)), { "POST", "/fault", {}, json::serialize(body) });
}

std::string DirectCluster::callerAddress(int entry) const
{
    return localAddress(entryBasePort(entry) + callerPortOffset);
}

std::string DirectCluster::metricsAddress(int entry) const
{
    return localAddress(entryBasePort(entry) + metricsPortOffset);
}

std::vector<json::object> DirectCluster::records() const
{
    std::vector<json::object> all;
    for (const std::string& name : m_names)
        for (json::object& line : readLines(m_directory.path(name)))
            all.push_back(std::move(line));
    return all;
}

std::vector<json::object> DirectCluster::recordsOf(const std::string& id, const std::string& kind) const
{
    std::vector<json::object> runs;
    for (json::object& line : records())
        if (line.at("what").as_string() == kind && line.at("request").as_string() == id)
            runs.push_back(std::move(line));
    return runs;
}

int DirectCluster::repeatArrivals() const
{
    std::map<std::string, int> arrivals;
    for (const json::object& line : records())
        if (line.at("what").as_string() != "left")
            ++arrivals[std::string(line.at("request").as_string())];
    int repeats = 0;
    for (const auto& [id, count] : arrivals)
        repeats += count - 1;
    return repeats;
}

std::map<std::string, int> DirectCluster::runsByEndpoint() const
{
    std::map<std::string, int> runs;
    for (const std::string& name : m_names)
        for (const json::object& line : readLines(m_directory.path(name)))
            if (line.at("what").as_string() == "run")
                ++runs[name];
    return runs;
}

bool DirectCluster::hasLogged(int entry, std::string_view message) const
{
    const std::vector<json::object> lines = readLines(m_directory.path("log" + (entry ? std::to_string(entry) : std::string())));
    return std::any_of(lines.begin(), lines.end(), [&](const json::object& line) {
        const json::value* text = line.if_contains("message");
        return text && text->is_string() && text->get_string() == message;
    });
}

std::vector<json::object> DirectCluster::logLines(const std::string& id) const
{
    std::vector<json::object> lines;
    for (json::object& line : readLines(m_directory.path("log"))) {
        const json::value* context = line.if_contains("context_map");
        const json::value* request = context && context->is_object() ? context->get_object().if_contains("request") : nullptr;
        if (id.empty() || (request && request->is_string() && request->get_string() == id))
            lines.push_back(std::move(line));
    }
    return lines;
}

std::string DirectCluster::metrics()
{
    return callOnce(localAddress(m_basePort + metricsPortOffset), { "GET", "/metrics", {}, {} }).body;
}

std::pair<int, std::string> DirectCluster::explain(const std::string& words)
{
    const std::string output = m_directory.path("explain");
    Process process({ "/bin/sh", "-c", "exec " + binaryPath("orioletrail") + " ctl --entry " + localAddress(m_basePort + metricsPortOffset) + " explain placement " + words + " >" + output + " 2>&1" });
    const int code = process.wait(Millis(10'000)).value_or(-1);
    std::ifstream file(output);
    return { code, std::string { std::istreambuf_iterator<char>(file), {} } };
}

} // namespace orioletrail::tests
