// The parts that all cases share: the record, the platform's store and the processes of the product.
#pragma once

#include "http.hpp"

#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline void sleepFor(int millis) { std::this_thread::sleep_for(Millis(millis)); }

// Writes what was sent, answered and run, one line each, with milliseconds of the steady clock. Several processes may
// write to one file.
class Record {
public:
    explicit Record(const std::string& path, bool truncate = true)
        : m_fd(open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC | (truncate ? O_TRUNC : 0), 0644))
    {
    }

    void write(const std::string& text)
    {
        const std::string line = std::to_string(millis()) + ' ' + text + '\n';
        if (::write(m_fd, line.data(), line.size()) < 0)
            perror("record");
    }

    static int64_t millis() { return std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch()).count(); }

private:
    int m_fd;
};

// The platform's metadata store.
class Store {
public:
    bool start(const std::string& ip, int port)
    {
        return m_listener.start(ip, port, [this](Connection& connection) {
            Request request;
            while (connection.readRequest(request))
                if (!connection.write(handle(request)))
                    return;
        });
    }

    // A write of the operator or of a replica.
    void put(const std::string& kind, const std::string& name, json::value spec)
    {
        std::lock_guard lock(m_mutex);
        change(kind, name, std::move(spec), false);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        change(kind, name, nullptr, true);
    }

private:
    struct Object {
        uint64_t revision = 0;
        uint64_t created = 0;
        json::value spec;
        bool deleted = false;
    };

    using Kind = std::map<std::string, Object>;

    Object& change(const std::string& kind, const std::string& name, json::value spec, bool deleted)
    {
        Object& object = m_kinds[kind][name];
        if (!object.revision || object.deleted)
            object.created = m_revision + 1;
        object.revision = ++m_revision;
        object.spec = std::move(spec);
        object.deleted = deleted;
        m_changed.notify_all();
        return object;
    }

    static json::object toJson(const std::string& name, const Object& object)
    {
        json::object metadata { { "name", name }, { "revision", object.revision }, { "created", object.created }, { "finalizers", json::array() }, { "deleting", false } };
        json::object result;
        result["metadata"] = std::move(metadata);
        result["spec"] = object.spec;
        result["status"] = json::object();
        return result;
    }

    static uint64_t number(const std::string& text) { return strtoull(text.c_str(), nullptr, 10); }

    std::string handle(const Request& request)
    {
        const std::string prefix = "/orioletrail/objects/";
        if (request.path().rfind(prefix, 0) != 0)
            return jsonAnswerOf(404, "{}");
        std::this_thread::sleep_for(Millis(4));
        std::string kind = request.path().substr(prefix.size());
        std::string name;
        if (const size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind = kind.substr(0, slash);
        }
        std::unique_lock lock(m_mutex);
        if (request.method == "GET")
            return read(request, kind, name, lock);
        return write(request, kind, name);
    }

    std::string read(const Request& request, const std::string& kind, const std::string& name, std::unique_lock<std::mutex>& lock)
    {
        if (!name.empty()) {
            const auto found = m_kinds[kind].find(name);
            if (found == m_kinds[kind].end() || found->second.deleted)
                return jsonAnswerOf(404, "{}");
            return jsonAnswerOf(200, json::serialize(toJson(name, found->second)));
        }
        json::object body;
        const std::string watch = request.query("watch");
        if (watch.empty()) {
            json::array items;
            for (const auto& [id, object] : m_kinds[kind])
                if (!object.deleted && id > request.query("after"))
                    items.push_back(toJson(id, object));
            body["items"] = std::move(items);
            body["has_more"] = false;
            body["at"] = m_revision;
            return jsonAnswerOf(200, json::serialize(body));
        }
        const auto until = Clock::now() + Millis(number(request.query("wait_ms")));
        json::array events;
        while (true) {
            std::map<uint64_t, json::object> ordered;
            for (const auto& [id, object] : m_kinds[kind])
                if (object.revision > number(watch))
                    ordered.emplace(object.revision, json::object { { "object", toJson(id, object) }, { "deleted", object.deleted } });
            for (auto& [revision, event] : ordered)
                events.push_back(std::move(event));
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        body["events"] = std::move(events);
        body["at"] = m_revision;
        return jsonAnswerOf(200, json::serialize(body));
    }

    std::string write(const Request& request, const std::string& kind, std::string name)
    {
        boost::system::error_code error;
        const json::value body = json::parse(request.body.empty() ? "{}" : request.body, error);
        const json::object* fields = error ? nullptr : body.if_object();
        if (!fields)
            return jsonAnswerOf(400, "{}");
        uint64_t expected = number(request.query("revision"));
        const json::value* metadata = fields->if_contains("metadata");
        if (metadata && metadata->is_object()) {
            if (const json::value* revision = metadata->get_object().if_contains("revision"))
                expected = revision->to_number<uint64_t>();
            if (const json::value* given = metadata->get_object().if_contains("name"); given && name.empty())
                name = std::string(given->as_string());
        }
        const auto found = m_kinds[kind].find(name);
        const bool exists = found != m_kinds[kind].end() && !found->second.deleted;
        if (request.method == "POST" && exists)
            return jsonAnswerOf(409, json::serialize(toJson(name, found->second)));
        if (request.method != "POST" && !exists)
            return jsonAnswerOf(404, "{}");
        if (exists && expected && expected != found->second.revision)
            return jsonAnswerOf(409, json::serialize(toJson(name, found->second)));
        const json::value* spec = fields->if_contains("spec");
        const Object& object = change(kind, name, spec ? *spec : json::value(nullptr), request.method == "DELETE");
        return jsonAnswerOf(200, json::serialize(toJson(name, object)));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Kind> m_kinds;
    uint64_t m_revision = 100;
    Listener m_listener;
};

// The addresses of a run: every node has a loopback address of its own, and the same ports, as on the platform.
struct Addresses {
    Addresses()
    {
        std::random_device random;
        prefix = "127." + std::to_string(40 + random() % 180) + '.' + std::to_string(1 + random() % 250) + '.';
        // A port that is free now on all addresses.
        for (int attempt = 0; attempt < 50; ++attempt) {
            base = 20'000 + static_cast<int>(random() % 400) * 20;
            bool isFree = true;
            for (int port = base; port < base + 12 && isFree; ++port) {
                const int fd = socket(AF_INET, SOCK_STREAM, 0);
                const sockaddr_in address = addressOf("0.0.0.0", port);
                isFree = !bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
                close(fd);
            }
            if (isFree)
                return;
        }
    }

    std::string node(int number) const { return prefix + std::to_string(number); }
    int front() const { return base; }
    int ready() const { return base + 1; }
    int internal() const { return base + 2; }
    int app() const { return base + 5; }
    int store() const { return base + 6; }

    std::string prefix;
    int base = 0;
};

// Processes of the product, started with the commands of the deploy file, and stand-ins. They end with this process.
class Programs {
public:
    Programs(const Addresses& addresses, std::string directory)
        : m_addresses(addresses)
        , m_directory(std::move(directory))
    {
    }
    ~Programs() { end(); }

    // Ends all processes that were started.
    void end()
    {
        for (const pid_t pid : m_pids) {
            kill(pid, SIGCONT);
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        m_pids.clear();
    }

    pid_t startEntry(int node, const std::string& zone)
    {
        const std::string ip = m_addresses.node(node);
        const std::string extra = "class=front\nserves=front\nlisten.front=" + ip + ':' + std::to_string(m_addresses.front()) + "\nlisten.ready=" + ip + ':' + std::to_string(m_addresses.ready())
            + "\nlimits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=260\n";
        return start("front-" + std::to_string(node), "direct", ip, zone, extra);
    }

    pid_t startSidecar(int node, const std::string& zone, const std::string& service, const std::string& app)
    {
        return start("side-" + std::to_string(node), "engine-sidecar", m_addresses.node(node), zone, "class=side\nserves=side\napp=" + app + "\nservice=" + service + "\nlimits.cpu_share=0.15\nlimits.memory_mb=128\n");
    }

    // Starts this stand-in again with other arguments.
    pid_t startStandin(const std::vector<std::string>& arguments)
    {
        std::vector<char*> list { const_cast<char*>("standin") };
        for (const std::string& argument : arguments)
            list.push_back(const_cast<char*>(argument.c_str()));
        list.push_back(nullptr);
        const pid_t pid = fork();
        if (!pid) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            execv("/proc/self/exe", list.data());
            _exit(127);
        }
        m_pids.push_back(pid);
        return pid;
    }

    // Waits until the entry counts as ready.
    bool waitUntilReady(int node, int millis)
    {
        for (const auto until = Clock::now() + Millis(millis); Clock::now() < until; sleepFor(50))
            if (isReady(node))
                return true;
        return false;
    }

    bool isReady(int node)
    {
        const int fd = Connection::connectTo(m_addresses.node(node), m_addresses.ready());
        if (fd < 0)
            return false;
        Connection connection(fd);
        connection.setTimeout(1000);
        return connection.write("GET /orioletrail/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") && connection.readResponse().status == 200;
    }

private:
    pid_t start(const std::string& name, const char* command, const std::string& ip, const std::string& zone, const std::string& extra)
    {
        const std::string settings = m_directory + '/' + name + ".conf";
        std::ofstream(settings) << "node=" << name << "\nip=" << ip << "\nzone=" << zone << "\nregion=r1\nzones.z1=r1\nzones.z2=r1\nzones.z3=r1\ninternal_ports=" << m_addresses.internal() << ',' << m_addresses.internal() + 2
                                << "\nbootstrap=true\ndiscovery=platform\nentry=vip\nbeat_ms=1200\ntolerate.machines=1\ntolerate.zones=1\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_ms=2000\nbounds.budget_ratio=0.2\n"
                                   "bounds.budget_window_s=10\nbounds.budget_slack=90\nbounds.stall_ms=1500\nbounds.require_fence=true\nplatform.addr="
                                << m_addresses.node(250) << ':' << m_addresses.store() << "\nplatform.form=objects\n"
                                << extra;
        const std::string log = m_directory + '/' + name + ".log";
        const pid_t pid = fork();
        if (!pid) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            setenv("ORIOLETRAIL_NODE_FILE", settings.c_str(), 1);
            execl("target/orioletrail", "target/orioletrail", command, nullptr);
            _exit(127);
        }
        m_pids.push_back(pid);
        return pid;
    }

    const Addresses& m_addresses;
    std::string m_directory;
    std::vector<pid_t> m_pids;
};

// Draws true with a probability. Thread-safe.
inline bool chance(double probability)
{
    static thread_local std::mt19937_64 random { std::random_device {}() };
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

inline std::string newId()
{
    static thread_local std::mt19937_64 random { std::random_device {}() };
    char text[20];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

// Ends this process without waiting for the threads of its connections.
[[noreturn]] inline void finish(int code)
{
    fflush(nullptr);
    _exit(code);
}

// True in the first `on` of every `period`, counted from the first call.
inline bool isWithinWindow(Millis on, Millis period)
{
    static const auto start = Clock::now();
    return (Clock::now() - start) % period < on;
}

// Whether a disruption is to come. TROUBLE=0 leaves out all of them, and the name of one leaves out the others.
inline bool hasTrouble(const std::string& name = {})
{
    const char* value = getenv("TROUBLE");
    const std::string wanted = value ? value : "1";
    return wanted == "1" || (wanted != "0" && wanted == name);
}

} // namespace standin
