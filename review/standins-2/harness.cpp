#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int heartbeatMs = 1200;
    // Time of the steady clock that counts as 0. Replicas get it from the program that starts them.
    int64_t startTime()
    {
        static const int64_t start = [] {
            const char* given = std::getenv("REVIEW_START_MS");
            return given ? std::atoll(given) : std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch()).count();
        }();
        return start;
    }

    bool equalsName(std::string_view a, std::string_view b)
    {
        return a.size() == b.size() && !strncasecmp(a.data(), b.data(), a.size());
    }

    std::string findHeader(const Headers& headers, std::string_view name)
    {
        for (const auto& [field, value] : headers)
            if (equalsName(field, name))
                return value;
        return {};
    }

    sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    bool canBind(int port)
    {
        bool isFree = true;
        for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
            const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            const sockaddr_in address = loopback(port);
            isFree = isFree && !bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
            close(socket);
        }
        return isFree;
    }

} // namespace

int64_t now()
{
    return std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch()).count() - startTime();
}

void sleepMs(int64_t millis)
{
    std::this_thread::sleep_for(Millis(millis));
}

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file)
        std::fclose(m_file);
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    for (FILE* file : { m_file, stdout }) {
        if (!file)
            continue;
        std::fprintf(file, "%8.3f s  %s\n", static_cast<double>(now()) / 1000, text.c_str());
        std::fflush(file);
    }
}

std::string Request::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string Request::query(const std::string& name) const
{
    size_t at = target.find('?');
    while (at != std::string::npos) {
        const size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.rfind(name + '=', 0) == 0)
            return pair.substr(name.size() + 1);
        at = end;
    }
    return {};
}

std::string Connection::Answer::header(std::string_view name) const
{
    return findHeader(headers, name);
}

Connection::~Connection()
{
    if (m_socket >= 0)
        close(m_socket);
}

std::unique_ptr<Connection> Connection::open(int port, int timeoutMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(socket);
    const timeval timeout { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address))
        return nullptr;
    return connection;
}

void Connection::reset()
{
    const linger option { 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close(m_socket);
    m_socket = -1;
}

bool Connection::fill()
{
    char bytes[16384];
    const ssize_t count = recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    m_input.append(bytes, static_cast<size_t>(count));
    return true;
}

bool Connection::readLine(std::string& line)
{
    size_t end = 0;
    while ((end = m_input.find('\n')) == std::string::npos)
        if (!fill())
            return false;
    line = m_input.substr(0, end && m_input[end - 1] == '\r' ? end - 1 : end);
    m_input.erase(0, end + 1);
    return true;
}

bool Connection::readHeaders(Headers& headers)
{
    std::string line;
    while (readLine(line)) {
        if (line.empty())
            return true;
        const size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        const size_t value = line.find_first_not_of(' ', colon + 1);
        headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
    }
    return false;
}

bool Connection::readBytes(size_t count, std::string& out)
{
    while (m_input.size() < count)
        if (!fill()) {
            out += m_input;
            m_input.clear();
            return false;
        }
    out += m_input.substr(0, count);
    m_input.erase(0, count);
    return true;
}

bool Connection::readChunks(std::string& out)
{
    std::string line;
    while (readLine(line)) {
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (!size) {
            Headers trailer;
            return readHeaders(trailer);
        }
        if (!readBytes(size, out) || !readLine(line))
            return false;
    }
    return false;
}

bool Connection::readRequest(Request& request)
{
    std::string line;
    if (!readLine(line))
        return false;
    std::istringstream words(line);
    words >> request.method >> request.target;
    if (!readHeaders(request.headers))
        return false;
    if (equalsName(request.header("Transfer-Encoding"), "chunked"))
        return readChunks(request.body);
    const std::string length = request.header("Content-Length");
    return length.empty() || readBytes(std::strtoul(length.c_str(), nullptr, 10), request.body);
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
}

Connection::Answer Connection::readAnswer(int timeoutMs)
{
    const timeval timeout { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    Answer answer;
    std::string line;
    if (!readLine(line)) {
        answer.connectionEnded = errno != EAGAIN && errno != EWOULDBLOCK;
        return answer;
    }
    std::istringstream words(line);
    std::string version;
    words >> version >> answer.status;
    if (!readHeaders(answer.headers))
        return answer;
    const std::string length = answer.header("Content-Length");
    if (equalsName(answer.header("Transfer-Encoding"), "chunked"))
        answer.isWhole = readChunks(answer.body);
    else if (!length.empty())
        answer.isWhole = readBytes(std::strtoul(length.c_str(), nullptr, 10), answer.body);
    else {
        answer.isWhole = true;
        while (fill()) { }
        answer.body = std::exchange(m_input, {});
    }
    return answer;
}

std::string formatRequest(const std::string& method, const std::string& target, const Headers& headers, const std::string& body)
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string formatAnswer(int status, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Connection::Answer callOnce(int port, const std::string& method, const std::string& target, const Headers& headers, const std::string& body, int timeoutMs)
{
    const auto connection = Connection::open(port, timeoutMs);
    if (!connection || !connection->write(formatRequest(method, target, headers, body)))
        return {};
    return connection->readAnswer(timeoutMs);
}

Server::Server(int port, Handler handler)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_handler(std::move(handler))
{
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) || listen(m_socket, 512)) {
        std::perror("listen");
        std::_Exit(2);
    }
    m_thread = std::thread([this] {
        while (true) {
            const int accepted = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int noDelay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            std::thread([this, accepted] {
                Connection connection(accepted);
                m_handler(connection);
            }).detach();
        }
    });
}

Server::~Server()
{
    shutdown(m_socket, SHUT_RDWR);
    close(m_socket);
    m_thread.join();
}

int findFreePorts(int count)
{
    std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int base = std::uniform_int_distribution<int>(20'000, 31'000)(random);
        bool isFree = true;
        for (int port = base; isFree && port < base + count; ++port)
            isFree = canBind(port);
        if (isFree)
            return base;
    }
    std::fprintf(stderr, "no free ports\n");
    std::_Exit(2);
}

Store::Store(int port)
    : m_server(std::make_unique<Server>(port, [this](Connection& connection) { serve(connection); }))
{
}

void Store::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    m_changed.notify_all();
}

void Store::beforeWrite(const std::string& kind, const std::string& name)
{
    m_history.push_back({ now(), kind, name, m_kinds[kind][name], m_revision });
}

void Store::restore(int64_t ageMs)
{
    const std::lock_guard lock(m_mutex);
    const int64_t since = now() - ageMs;
    while (!m_history.empty() && m_history.back().at >= since) {
        Write& last = m_history.back();
        m_kinds[last.kind][last.name] = std::move(last.before);
        m_revision = last.revisionBefore;
        m_history.pop_back();
    }
    ++m_era;
    m_changed.notify_all();
}

void Store::put(const std::string& kind, const std::string& name, json::value spec)
{
    const std::lock_guard lock(m_mutex);
    Object& object = m_kinds[kind][name];
    const bool exists = object.revision && !object.deleted;
    if (exists && object.spec == spec)
        return;
    beforeWrite(kind, name);
    object.revision = ++m_revision;
    object.created = exists ? object.created : object.revision;
    object.deleted = false;
    object.spec = std::move(spec);
    m_changed.notify_all();
}

void Store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    Object& object = m_kinds[kind][name];
    if (!object.revision || object.deleted)
        return;
    beforeWrite(kind, name);
    object.revision = ++m_revision;
    object.deleted = true;
    m_changed.notify_all();
}

json::object Store::toJson(const std::string& name, const Object& object) const
{
    json::object result;
    result["metadata"] = json::object { { "name", name }, { "revision", object.revision }, { "created", object.created }, { "finalizers", json::array() }, { "deleting", false } };
    result["spec"] = object.spec;
    result["status"] = nullptr;
    return result;
}

json::array Store::eventsAfter(const std::string& kind, uint64_t revision) const
{
    std::map<uint64_t, json::value> ordered;
    const auto objects = m_kinds.find(kind);
    if (objects != m_kinds.end())
        for (const auto& [name, object] : objects->second)
            if (object.revision > revision)
                ordered.emplace(object.revision, json::object { { "object", toJson(name, object) }, { "deleted", object.deleted } });
    json::array events;
    for (auto& [at, event] : ordered)
        events.push_back(std::move(event));
    return events;
}

void Store::serve(Connection& connection)
{
    constexpr int latencyMs = 4;
    Request request;
    while (connection.readRequest(request)) {
        bool wasSilent = m_isSilent;
        if (!wasSilent) {
            sleepMs(latencyMs);
            const std::string text = answer(request);
            wasSilent = m_isSilent;
            if (!wasSilent && !connection.write(text))
                return;
        }
        // Nothing follows on a connection on which an answer was lost.
        if (wasSilent) {
            while (m_isSilent)
                sleepMs(latencyMs);
            return;
        }
        request = {};
    }
}

std::string Store::answer(const Request& request)
{
    constexpr size_t pageSize = 500;
    const std::string prefix = "/orioletrail/objects/";
    const auto reply = [this](int status, const json::value& body) { return formatAnswer(status, { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(m_era) } }, json::serialize(body)); };
    if (request.path().rfind(prefix, 0) != 0)
        return reply(404, json::object());
    std::string kind = request.path().substr(prefix.size());
    std::string name;
    if (const size_t slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.erase(slash);
    }
    std::unique_lock lock(m_mutex);
    if (request.method == "GET" && !name.empty()) {
        const auto found = m_kinds[kind].find(name);
        const bool exists = found != m_kinds[kind].end() && found->second.revision && !found->second.deleted;
        return exists ? reply(200, toJson(name, found->second)) : reply(404, json::object());
    }
    if (request.method == "GET" && !request.query("watch").empty()) {
        const uint64_t after = std::strtoull(request.query("watch").c_str(), nullptr, 10);
        const auto until = Clock::now() + Millis(std::min(30'000L, std::atol(request.query("wait_ms").c_str())));
        const uint64_t era = m_era;
        json::array events = eventsAfter(kind, after);
        while (events.empty() && !m_isSilent && era == m_era && after <= m_revision && Clock::now() < until) {
            m_changed.wait_until(lock, until);
            events = eventsAfter(kind, after);
        }
        if (era != m_era || after > m_revision)
            return reply(410, json::object());
        return reply(200, json::object { { "events", std::move(events) }, { "at", m_revision } });
    }
    if (request.method == "GET") {
        json::array items;
        auto at = m_kinds[kind].upper_bound(request.query("after"));
        for (; at != m_kinds[kind].end() && items.size() < pageSize; ++at)
            if (at->second.revision && !at->second.deleted)
                items.push_back(toJson(at->first, at->second));
        return reply(200, json::object { { "items", std::move(items) }, { "has_more", at != m_kinds[kind].end() }, { "at", m_revision } });
    }
    boost::system::error_code error;
    const json::value body = request.body.empty() ? json::value(json::object()) : json::parse(request.body, error);
    if (error || !body.is_object())
        return reply(400, json::object());
    const json::value* metadata = body.get_object().if_contains("metadata");
    const json::object* fields = metadata ? metadata->if_object() : nullptr;
    uint64_t expected = std::strtoull(request.query("revision").c_str(), nullptr, 10);
    if (fields && fields->contains("revision"))
        expected = fields->at("revision").to_number<uint64_t>();
    if (request.method == "POST" && fields && fields->contains("name"))
        name = std::string(fields->at("name").as_string());
    Object& object = m_kinds[kind][name];
    const bool exists = object.revision && !object.deleted;
    if (request.method == "POST" ? exists : exists && expected && expected != object.revision)
        return reply(409, toJson(name, object));
    if (request.method != "POST" && !exists)
        return reply(404, json::object());
    const json::value* spec = body.get_object().if_contains("spec");
    if (request.method == "DELETE" || !exists || (spec && *spec != object.spec))
        beforeWrite(kind, name);
    if (request.method == "DELETE") {
        object.revision = ++m_revision;
        object.deleted = true;
    } else if (!exists || (spec && *spec != object.spec)) {
        object.revision = ++m_revision;
        object.created = exists ? object.created : object.revision;
        object.deleted = false;
        object.spec = spec ? *spec : json::value();
    }
    m_changed.notify_all();
    return reply(request.method == "POST" ? 201 : 200, toJson(name, object));
}

Process::Process(std::vector<std::string> arguments, std::vector<std::string> environment, const std::string& outputFile)
{
    // Prepared before the fork, since other threads may hold locks then.
    std::vector<char*> argv;
    for (std::string& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    for (char** variable = environ; *variable; ++variable)
        environment.emplace_back(*variable);
    std::vector<char*> envp;
    for (std::string& variable : environment)
        envp.push_back(variable.data());
    envp.push_back(nullptr);
    const int output = open(outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = fork();
    if (m_pid)
        close(output);
    else {
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execve(argv[0], argv.data(), envp.data());
        _exit(127);
    }
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid)
        ::kill(m_pid, number);
}

bool Process::isRunning()
{
    if (m_pid && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid;
}

void Process::kill()
{
    if (!isRunning())
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

Deployment::Deployment(std::string root, std::string directory, std::string temporary)
    : m_root(std::move(root))
    , m_temporary(std::move(temporary))
    , m_record(std::make_unique<Record>(directory + "/record.txt"))
    , m_storePort(findFreePorts(1))
    , m_store(std::make_unique<Store>(m_storePort))
{
    setenv("REVIEW_START_MS", std::to_string(startTime()).c_str(), 1);
    m_beats = std::thread([this] { beatLoop(); });
}

Deployment::~Deployment()
{
    endProcesses();
}

void Deployment::endProcesses()
{
    m_isStopping = true;
    if (m_beats.joinable())
        m_beats.join();
    m_entries.clear();
    m_replicas.clear();
}

void Deployment::launch(const std::string& id, Replica& replica)
{
    replica.born = static_cast<uint64_t>(std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count());
    std::vector<std::string> arguments { "/proc/self/exe", "replica", "--id", id, "--port", std::to_string(replica.port), "--born", std::to_string(replica.born), "--slots", std::to_string(replica.options.slots),
        "--events", m_temporary + "/events" };
    if (replica.coldUntil > now())
        arguments.insert(arguments.end(), { "--cold-ms", std::to_string(replica.coldUntil - now()) });
    arguments.insert(arguments.end(), replica.options.arguments.begin(), replica.options.arguments.end());
    replica.process = std::make_unique<Process>(std::move(arguments), std::vector<std::string>(), m_temporary + "/replicas.log");
    replica.seq = 0;
    for (int attempt = 0; attempt < 200 && !Connection::open(replica.port, 100); ++attempt)
        sleepMs(5);
}

void Deployment::startReplica(const std::string& id, const ReplicaOptions& options)
{
    const std::lock_guard lock(m_mutex);
    Replica& replica = m_replicas[id];
    replica.options = options;
    replica.port = findFreePorts(1);
    launch(id, replica);
    beat(id, replica);
}

void Deployment::restartReplica(const std::string& id, int64_t coldMs)
{
    const std::lock_guard lock(m_mutex);
    Replica& replica = m_replicas.at(id);
    replica.coldUntil = coldMs ? now() + coldMs : 0;
    launch(id, replica);
    m_record->line("replica " + id + " starts again under its id" + (coldMs ? ", cold for " + std::to_string(coldMs) + " ms" : std::string()));
    beat(id, replica);
}

void Deployment::killReplica(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_replicas.at(id).process->kill();
    m_record->line("replica " + id + " is killed");
}

bool Deployment::isReplicaRunning(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    return m_replicas.at(id).process->isRunning();
}

void Deployment::leaveWithoutReport(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    Replica& replica = m_replicas.at(id);
    replica.isLeaving = true;
    replica.process->signal(SIGUSR1);
    m_record->line("replica " + id + " leaves without a report to the store, and goes on serving");
}

void Deployment::drill(int64_t awayMs, int64_t copyAgeMs)
{
    m_record->line("the store is away");
    m_store->setSilent(true);
    sleepMs(awayMs);
    const std::lock_guard lock(m_mutex);
    m_store->restore(copyAgeMs);
    // A silent entry is removed three heartbeats after its return.
    for (auto& [id, replica] : m_replicas) {
        replica.lastAlive = now();
        replica.isRegistered = true;
    }
    m_store->setSilent(false);
    m_record->line("the store is back from a copy that is " + std::to_string(copyAgeMs) + " ms old");
}

void Deployment::beat(const std::string& id, Replica& replica)
{
    // A write that the store doesn't answer comes with a later beat.
    if (m_store->isSilent())
        return;
    const int64_t coldLeft = std::max<int64_t>(0, replica.coldUntil - now());
    replica.lastAlive = now();
    replica.isRegistered = true;
    m_store->put("servers", id,
        json::object { { "service", replica.options.service }, { "addr", "127.0.0.1:" + std::to_string(replica.port) }, { "zone", replica.options.zone }, { "version", "v1" }, { "slots", replica.options.slots },
            { "state", "ready" }, { "cold_left_ms", coldLeft }, { "seq", ++replica.seq }, { "born", replica.born } });
}

void Deployment::beatLoop()
{
    constexpr int silentBeats = 3;
    for (int64_t next = now() + heartbeatMs; !m_isStopping; sleepMs(20)) {
        if (now() < next)
            continue;
        next += heartbeatMs;
        const std::lock_guard lock(m_mutex);
        for (auto& [id, replica] : m_replicas) {
            if (replica.process->isRunning() && !replica.isLeaving)
                beat(id, replica);
            else if (replica.isRegistered && now() - replica.lastAlive >= silentBeats * heartbeatMs && !m_store->isSilent()) {
                m_store->remove("servers", id);
                replica.isRegistered = false;
            }
        }
    }
}

void Deployment::startEntry(int number, const std::string& zone)
{
    const std::lock_guard lock(m_mutex);
    Entry& entry = m_entries[number];
    if (!entry.base)
        entry.base = findFreePorts(10);
    const std::string name = "front-" + zone + '-' + std::to_string(number);
    const auto port = [&](int offset) { return std::to_string(entry.base + offset); };
    const std::string settings = m_temporary + "/settings-" + std::to_string(number);
    std::ofstream(settings)
        << "node=" << name << "\nrole=entry\nclass=front\nserves=front\nip=127.0.0.1\nzone=" << zone << "\nregion=riga\nzones.riga-a=riga\nzones.riga-b=riga\nzones.riga-c=riga\n"
        << "listen.front=127.0.0.1:" << port(1) << "\nlisten.ready=127.0.0.1:" << port(2) << "\ninternal_ports=" << port(4) << ',' << port(8)
        << "\nbootstrap=true\nlimits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nbeat_ms=" << heartbeatMs
        << "\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts\ntolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
        << "bounds.stable_window_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_ms=2000\nbounds.rollback_slack_ms=250\n"
        << "bounds.max_skew_ms=5000\nbounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=90\nbounds.cold_over=1.5\nbounds.cold_slack=5\n"
        << "bounds.evac_ms=5000\nbounds.recover_s=12\nbounds.pass_ms=120\nbounds.again_s=0\nbounds.stall_ms=1500\nbounds.require_fence=true\n"
        << "platform.addr=127.0.0.1:" << m_storePort << "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    entry.process.reset();
    // The command of the deploy file. All machines share the loopback address here, so each entry has a metrics port of its own.
    entry.process = std::make_unique<Process>(std::vector<std::string> { m_root + "/target/orioletrail", "direct", "--metrics-port", port(3) }, std::vector<std::string> { "ORIOLETRAIL_NODE_FILE=" + settings },
        m_temporary + "/entry-" + std::to_string(number) + ".log");
}

bool Deployment::waitUntilReady(int number)
{
    for (int attempt = 0; attempt < 500; ++attempt) {
        if (callOnce(m_entries.at(number).base + 2, "GET", "/orioletrail/ready", { { "Host", "ready" } }, {}, 1000).status == 200)
            return true;
        sleepMs(20);
    }
    return false;
}

std::vector<Deployment::Event> Deployment::events() const
{
    std::vector<Event> events;
    std::ifstream file(m_temporary + "/events");
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        Event event;
        if (words >> event.at >> event.replica >> event.what >> event.request)
            events.push_back(event);
    }
    std::stable_sort(events.begin(), events.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
    return events;
}

void Deployment::recordEvents(size_t most)
{
    const std::vector<Event> all = events();
    m_record->line("what the replicas saw (" + std::to_string(all.size()) + " lines):");
    for (size_t index = 0; index < std::min(most, all.size()); ++index) {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(all[index].at) / 1000);
        m_record->line(std::string("  at ") + time + all[index].replica + ' ' + all[index].what + ' ' + all[index].request);
    }
}

json::object makeRoute(const std::string& name, const std::string& host, const std::string& prefix, const std::string& kind, const std::string& service, int timeoutMs, int goalMs, int attempts)
{
    return { { "name", name }, { "host", host }, { "path_prefix", prefix }, { "kind", kind }, { "service", service }, { "timeout_ms", timeoutMs }, { "goal_ms", goalMs }, { "priority", 2 }, { "max_attempts", attempts } };
}

} // namespace review
