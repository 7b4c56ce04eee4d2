// Stand-ins of the platform, the replicas and the clients, and helpers that start the project's programs as processes.
#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;
namespace json = boost::json;

// Milliseconds since the program started.
int64_t now();
void sleepMs(int64_t millis);

// Writes one line with a time to record.txt and to standard output.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    FILE* m_file;
};

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string header(std::string_view name) const;
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const;
};

// A blocking connection with what has been read ahead.
class Connection {
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(int port, int timeoutMs);
    bool readRequest(Request&);
    bool write(std::string_view);
    // One answer to a request.
    struct Answer {
        // 0 if there was no answer.
        int status = 0;
        Headers headers;
        std::string body;
        // The end of the body was marked by a length or a last chunk.
        bool isWhole = false;
        bool connectionEnded = false;
        std::string header(std::string_view name) const;
    };
    Answer readAnswer(int timeoutMs);
    // Ends the connection with a reset.
    void reset();

private:
    bool fill();
    bool readLine(std::string&);
    bool readHeaders(Headers&);
    bool readBytes(size_t count, std::string& out);
    bool readChunks(std::string& out);

    int m_socket;
    std::string m_input;
};

std::string formatRequest(const std::string& method, const std::string& target, const Headers&, const std::string& body);
std::string formatAnswer(int status, const Headers&, const std::string& body);

// Sends one request on a new connection and reads the answer.
Connection::Answer callOnce(int port, const std::string& method, const std::string& target, const Headers&, const std::string& body, int timeoutMs);

// Accepts connections on a loopback port and runs the handler in a thread for each.
class Server {
public:
    using Handler = std::function<void(Connection&)>;
    Server(int port, Handler);
    // Stops accepting.
    ~Server();

private:
    int m_socket;
    Handler m_handler;
    std::thread m_thread;
};

// Reserves a run of consecutive free ports of the loopback address.
int findFreePorts(int count);

// The platform's metadata store, kept in memory.
class Store {
public:
    explicit Store(int port);

    // A write of the operator or a replica; returns when it is acknowledged.
    void put(const std::string& kind, const std::string& name, json::value spec);
    void remove(const std::string& kind, const std::string& name);
    // While silent, the store answers nothing. Calls that came meanwhile never get an answer.
    void setSilent(bool);
    bool isSilent() const { return m_isSilent; }
    // Replaces all objects and the revision by a copy of this age, and raises the era.
    void restore(int64_t ageMs);

private:
    struct Object {
        uint64_t revision = 0;
        uint64_t created = 0;
        bool deleted = false;
        json::value spec;
    };
    // A write, with the state before it.
    struct Write {
        int64_t at = 0;
        std::string kind;
        std::string name;
        Object before;
        uint64_t revisionBefore = 0;
    };
    void serve(Connection&);
    std::string answer(const Request&);
    void beforeWrite(const std::string& kind, const std::string& name);
    json::object toJson(const std::string& name, const Object&) const;
    json::array eventsAfter(const std::string& kind, uint64_t revision) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    uint64_t m_revision = 100;
    uint64_t m_era = 1;
    std::vector<Write> m_history;
    std::atomic<bool> m_isSilent { false };
    std::unique_ptr<Server> m_server;
};

// A process that this program started.
class Process {
public:
    Process(std::vector<std::string> arguments, std::vector<std::string> environment, const std::string& outputFile);
    ~Process();
    void signal(int number) const;
    // True if the process still runs.
    bool isRunning();
    // Kills the process and waits for its end.
    void kill();
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = 0;
};

// A deployment: a store, entries and replicas, each replica and entry in a process of its own.
class Deployment {
public:
    struct ReplicaOptions {
        std::string service;
        std::string zone;
        int slots = 6;
        std::vector<std::string> arguments;
    };

    Deployment(std::string root, std::string directory, std::string temporary);
    ~Deployment();
    // Ends all processes that were started.
    void endProcesses();

    Record& record() { return *m_record; }
    Store& store() { return *m_store; }

    // Starts a replica under its id and registers it as its heartbeats would.
    void startReplica(const std::string& id, const ReplicaOptions&);
    // Starts a replica again at its address, under the same id.
    void restartReplica(const std::string& id, int64_t coldMs = 0);
    void killReplica(const std::string& id);
    bool isReplicaRunning(const std::string& id);
    // The replica leaves without a report: it says so in its answers, its entry is removed, and it goes on serving.
    void leaveWithoutReport(const std::string& id);
    // The store is away for a moment and comes back from an older copy. Replicas that live write their entries again.
    void drill(int64_t awayMs, int64_t copyAgeMs);

    void startEntry(int number, const std::string& zone);
    Process& entry(int number) { return *m_entries.at(number).process; }
    int entryPort(int number) const { return m_entries.at(number).base + 1; }
    bool waitUntilReady(int number);

    // Lines that replicas wrote, in the order of their times: TIME REPLICA EVENT REQUEST.
    struct Event {
        int64_t at = 0;
        std::string replica;
        std::string what;
        std::string request;
    };
    std::vector<Event> events() const;
    // Writes all events of the replicas to the record.
    void recordEvents(size_t most = 400);

private:
    struct Replica {
        ReplicaOptions options;
        int port = 0;
        uint64_t born = 0;
        int64_t coldUntil = 0;
        int64_t lastAlive = 0;
        bool isRegistered = false;
        bool isLeaving = false;
        int seq = 0;
        std::unique_ptr<Process> process;
    };
    struct Entry {
        int base = 0;
        std::unique_ptr<Process> process;
    };
    void launch(const std::string& id, Replica&);
    void beat(const std::string& id, Replica&);
    void beatLoop();

    std::string m_root;
    std::string m_temporary;
    std::unique_ptr<Record> m_record;
    int m_storePort = 0;
    std::unique_ptr<Store> m_store;
    mutable std::recursive_mutex m_mutex;
    std::map<std::string, Replica> m_replicas;
    std::map<int, Entry> m_entries;
    std::atomic<bool> m_isStopping { false };
    std::thread m_beats;
};

json::object makeRoute(const std::string& name, const std::string& host, const std::string& prefix, const std::string& kind, const std::string& service, int timeoutMs, int goalMs, int attempts);

// Runs a replica in this process until it is killed.
int runReplica(const std::vector<std::string>& arguments);

} // namespace review
