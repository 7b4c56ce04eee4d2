#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    using Clock = std::chrono::steady_clock;
    const Clock::time_point started = Clock::now();

    constexpr int portsPerDeployment = 100;
    constexpr int startTimeoutMs = 10'000;
    constexpr int pollMs = 20;

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    // Returns a listening socket, or -1.
    int listenOn(uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(port);
        constexpr int backlog = 128;
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && listen(descriptor, backlog) == 0)
            return descriptor;
        close(descriptor);
        return -1;
    }

    // The first of a number of consecutive ports on which nothing listens.
    int findFreePorts(int count)
    {
        std::mt19937 random(std::random_device {}());
        constexpr int firstPort = 12'000;
        constexpr int lastPort = 30'000;
        constexpr int attempts = 100;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const int base = std::uniform_int_distribution<int>(firstPort, lastPort)(random);
            bool isFree = true;
            for (int port = base; port < base + count && isFree; ++port) {
                const int descriptor = listenOn(static_cast<uint16_t>(port));
                isFree = descriptor >= 0;
                if (isFree)
                    close(descriptor);
            }
            if (isFree)
                return base;
        }
        throw SetupError { "no free ports" };
    }

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    bool waitUntil(int timeoutMs, const std::function<bool()>& condition)
    {
        for (int waited = 0; waited < timeoutMs; waited += pollMs) {
            if (condition())
                return true;
            sleepMs(pollMs);
        }
        return false;
    }

    // Returns the status of the answer to a request on a new connection, 0 if there is none.
    int call(uint16_t port, const std::string& request)
    {
        const auto connection = Connection::open(port);
        constexpr int timeoutMs = 2000;
        if (!connection || !connection->send(request))
            return 0;
        return statusOf(connection->readHead(timeoutMs));
    }

    void serveConnection(int descriptor, const Handler& handler)
    {
        Connection connection(descriptor);
        constexpr int idleMs = 60'000;
        while (true) {
            const std::optional<Head> head = connection.readHead(idleMs);
            if (!head)
                return;
            Received received { *head, {} };
            const std::string length = head->field("Content-Length");
            if (!length.empty() && !connection.readBody(std::stoul(length), received.body, idleMs))
                return;
            if (!handler(connection, received))
                return;
        }
    }

} // namespace

double secondsSinceStart()
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

void sleepMs(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

Record::Record(const std::string& path)
    : m_file(path)
{
}

void Record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", secondsSinceStart());
    m_file << time << line << std::endl;
}

Child::Child(const std::vector<std::string>& arguments, const std::string& outputPath, std::vector<std::string> variables)
{
    std::vector<char*> words;
    for (const std::string& argument : arguments)
        words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    m_pid = fork();
    if (m_pid < 0)
        throw SetupError { "cannot start a process" };
    if (m_pid)
        return;
    const int output = open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // No child outlives this program.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (std::string& variable : variables)
        putenv(variable.data());
    execv(words[0], words.data());
    _exit(127);
}

Child::~Child()
{
    kill();
}

void Child::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Child::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

std::string Head::field(std::string_view name) const
{
    for (const auto& [key, value] : fields)
        if (equalsIgnoringCase(key, name))
            return value;
    return {};
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return std::make_unique<Connection>(descriptor);
    close(descriptor);
    return nullptr;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

bool Connection::readMore(int timeoutMs)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    if (poll(&waiting, 1, timeoutMs) <= 0)
        return false;
    char block[16'384];
    const ssize_t bytes = recv(m_descriptor, block, sizeof block, 0);
    m_hasEndedInOrder = bytes == 0;
    if (bytes > 0)
        m_buffer.append(block, static_cast<size_t>(bytes));
    return bytes > 0;
}

std::optional<Head> Connection::readHead(int timeoutMs)
{
    size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        if (!readMore(timeoutMs))
            return std::nullopt;
    std::string_view text = std::string_view(m_buffer).substr(0, end + 2);
    Head head;
    while (!text.empty()) {
        const size_t lineEnd = text.find("\r\n");
        const std::string_view line = text.substr(0, lineEnd);
        text.remove_prefix(lineEnd + 2);
        if (head.firstLine.empty()) {
            head.firstLine = line;
            continue;
        }
        const size_t colon = std::min(line.find(':'), line.size());
        const size_t value = std::min(line.find_first_not_of(' ', std::min(colon + 1, line.size())), line.size());
        head.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    m_buffer.erase(0, end + 4);
    return head;
}

bool Connection::readBody(size_t bytes, std::string& body, int timeoutMs)
{
    while (m_buffer.size() < bytes)
        if (!readMore(timeoutMs))
            return false;
    body = m_buffer.substr(0, bytes);
    m_buffer.erase(0, bytes);
    return true;
}

std::string Connection::readRest(int quietMs)
{
    while (readMore(quietMs)) { }
    return std::exchange(m_buffer, {});
}

void serve(uint16_t port, Handler handler)
{
    const int listener = listenOn(port);
    if (listener < 0)
        throw SetupError { "cannot listen on a port" };
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0)
                std::thread([descriptor, handler] { serveConnection(descriptor, handler); }).detach();
        }
    }).detach();
}

Deployment::Deployment(std::string folder, Record& record)
    : m_folder(std::move(folder))
    , m_record(record)
    , m_basePort(findFreePorts(portsPerDeployment))
{
    const std::string fakes = std::getenv("REVIEW_FAKES") ? std::getenv("REVIEW_FAKES") : "";
    m_store = std::make_unique<Child>(std::vector<std::string> { fakes, "platform", "--name", "store", "--listen", address(port(0)) }, m_folder + "/store.log");
    if (!waitUntil(startTimeoutMs, [&] { return call(port(0), "GET /record HTTP/1.1\r\nHost: store\r\n\r\n") == 200; }))
        throw SetupError { "the store does not answer" };
}

void Deployment::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    bool& isCreated = m_isCreated[kind + '/' + name];
    const std::string path = "/orioletrail/objects/" + kind + (isCreated ? '/' + name : "");
    const std::string body = R"({"metadata":{"name":")" + name + R"("},"spec":)" + spec + '}';
    const std::string request = (isCreated ? "PUT " : "POST ") + path + " HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const int status = call(port(0), request);
    m_record.write("store " + kind + '/' + name + ' ' + spec + " -> " + std::to_string(status));
    constexpr int hundreds = 100;
    if (status / hundreds != 2)
        throw SetupError { "the store refuses an object" };
    isCreated = true;
}

void Deployment::putConfiguration(int timeoutMs)
{
    const auto route = [&](const std::string& prefix, const std::string& kind, const std::string& service, int attempts) {
        return R"({"name":")" + prefix + R"(","host":"app.example","path_prefix":")" + prefix + R"(","kind":")" + kind + R"(","service":")" + service
            + R"(","timeout_ms":)" + std::to_string(timeoutMs) + R"(,"goal_ms":500,"gap_goal_ms":120,"priority":1,"max_attempts":)" + std::to_string(attempts)
            + R"(,"resumable":)" + (kind == "stream" ? "true" : "false") + '}';
    };
    put("config", "main", R"({"version":1,"routes":[)" + route("/stream/", "stream", "model", 2) + ',' + route("/order/", "non_idempotent", "print", 1) + ',' + route("/status/", "idempotent", "print", 2) + R"(],"services":[{"name":"model"},{"name":"print"}],"tenants":[{"name":"bakery","api_keys":["key-1"]}]})");
}

void Deployment::putReplica(const std::string& name, const std::string& service, uint16_t replicaPort, int64_t born)
{
    put("servers", name, R"({"service":")" + service + R"(","addr":")" + address(replicaPort) + R"(","zone":"zone-a","version":"1","slots":12,"state":"ready","cold_left_ms":0,"seq":1,"born":)" + std::to_string(born) + '}');
}

Child& Deployment::startEntry()
{
    const std::string settings = m_folder + "/settings.conf";
    std::ofstream(settings) << "node=front-zone-a-1\nrole=entry\nclass=front\nserves=front\nip=127.0.0.1\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
                            << "listen.front=" << address(entryPort()) << "\nlisten.ready=" << address(port(11)) << "\ninternal_ports=" << port(20) << ',' << port(35)
                            << "\nbootstrap=true\nlimits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
                            << "bounds.drain_ms=2000\nbounds.config_ms=2000\nbounds.grace_s=8\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=90\nbounds.require_fence=true\n"
                            << "platform.addr=" << address(port(0)) << "\nplatform.form=objects\n";
    m_entry = std::make_unique<Child>(std::vector<std::string> { "target/orioletrail", "direct" }, m_folder + "/entry.log",
        std::vector<std::string> { "ORIOLETRAIL_NODE_FILE=" + settings, "ORIOLETRAIL_METRICS_PORT=" + std::to_string(port(12)) });
    if (!waitUntil(startTimeoutMs, [&] { return call(port(11), "GET /orioletrail/ready HTTP/1.1\r\nHost: entry\r\n\r\n") == 200; }))
        throw SetupError { "the entry does not become ready" };
    m_record.write("entry is ready");
    return *m_entry;
}

std::string makeRequest(const std::string& method, const std::string& path, const std::string& id, const std::string& framing, const std::string& body, int deadlineMs)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token key-1\r\n" + framing + "\r\n" + body;
}

std::string makePlainRequest(const std::string& method, const std::string& path, const std::string& id, const std::string& body, int deadlineMs)
{
    return makeRequest(method, path, id, body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n", body, deadlineMs);
}

int statusOf(const std::optional<Head>& head)
{
    const size_t blank = head ? head->firstLine.find(' ') : std::string::npos;
    return blank == std::string::npos ? 0 : std::atoi(head->firstLine.c_str() + blank);
}

int runMain(int argc, char** argv, const Case& runCase)
{
    if (argc < 3)
        return couldNotRun;
    Record record(argv[2]);
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string_view(trouble) != "0";
    record.write(hasTrouble ? "with the disruption" : "without the disruption");
    int result = couldNotRun;
    try {
        result = runCase(argv[1], record, hasTrouble);
    } catch (const SetupError& error) {
        record.write("could not run: " + error.reason);
    } catch (const std::exception& error) {
        record.write(std::string("could not run: ") + error.what());
    }
    record.write(result == ruleHeld ? "the rule held" : result == ruleBroken ? "the rule was broken"
                                                                             : "no result");
    // Threads of the stand-ins still run.
    std::quick_exit(result);
}

std::string quote(std::string_view text)
{
    constexpr size_t maxLength = 400;
    std::string quoted = "\"";
    for (const char c : text.substr(0, maxLength)) {
        if (c == '\r' || c == '\n')
            quoted += c == '\r' ? "\\r" : "\\n";
        else
            quoted += c;
    }
    return quoted + (text.size() > maxLength ? "...\"" : "\"");
}

} // namespace review
