// Runs the project's programs as processes on loopback addresses, with small stand-ins of clients and replicas.
#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// Thrown where a case cannot run, for example because no entry becomes ready.
struct SetupError {
    std::string reason;
};

double secondsSinceStart();
void sleepMs(int millis);

// Writes one line for each event to the record of the case.
class Record {
public:
    explicit Record(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// A child process. The destructor continues and kills it.
class Child {
public:
    Child(const std::vector<std::string>& arguments, const std::string& outputPath, std::vector<std::string> variables = {});
    ~Child();
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    void signal(int number) const;
    // Sends SIGKILL and waits for the end.
    void kill();

private:
    pid_t m_pid = 0;
};

// The head of an HTTP message.
struct Head {
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> fields;

    // The first value of a field, by case-insensitive name, or an empty string.
    std::string field(std::string_view name) const;
};

// A connected socket with bytes read ahead.
class Connection {
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Nothing if the connection is refused.
    static std::unique_ptr<Connection> open(uint16_t port);

    bool send(std::string_view bytes);
    // Nothing if the connection ends before the head does, or after the timeout.
    std::optional<Head> readHead(int timeoutMs);
    // False if fewer bytes arrive.
    bool readBody(size_t bytes, std::string& body, int timeoutMs);
    // Everything until the connection ends, or until nothing has arrived for the given time.
    std::string readRest(int quietMs);
    // The peer has ended the connection in order. A peer that has not read all that was sent resets it instead.
    bool hasEndedInOrder() const { return m_hasEndedInOrder; }

private:
    // False at the end of the connection, or if nothing has arrived for the given time.
    bool readMore(int timeoutMs);

    int m_descriptor;
    std::string m_buffer;
    bool m_hasEndedInOrder = false;
};

// A request as a replica has received it.
struct Received {
    Head head;
    std::string body;
};

// Called for each request that a replica receives, one at a time on a connection. Returns false to end the connection.
using Handler = std::function<bool(Connection&, const Received&)>;

// Listens on a loopback port until the program ends.
void serve(uint16_t port, Handler handler);

// A store, entries and the directory of a small deployment.
class Deployment {
public:
    // `folder` is a temporary folder for settings and logs.
    Deployment(std::string folder, Record& record);

    uint16_t port(int offset) const { return static_cast<uint16_t>(m_basePort + offset); }

    // Writes an object of the store, in place of the operator or a replica. `spec` is JSON.
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    // The configuration has a stream route to "model", which may be resumed, a non-idempotent and an idempotent route
    // to "print", and one account with one key.
    void putConfiguration(int timeoutMs);
    void putReplica(const std::string& name, const std::string& service, uint16_t port, int64_t born);

    // Starts `orioletrail direct` as the deploy file does, and waits until it is ready.
    Child& startEntry();
    void killEntry() { m_entry->kill(); }
    uint16_t entryPort() const { return port(10); }

    static std::string address(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

private:
    std::string m_folder;
    Record& m_record;
    int m_basePort = 0;
    std::map<std::string, bool> m_isCreated;
    std::unique_ptr<Child> m_store;
    std::unique_ptr<Child> m_entry;
};

// A client's request with the fields that the pages name. `framing` holds further fields, each with its line end.
std::string makeRequest(const std::string& method, const std::string& path, const std::string& id, const std::string& framing, const std::string& body, int deadlineMs);

// As makeRequest(), with the body's length.
std::string makePlainRequest(const std::string& method, const std::string& path, const std::string& id, const std::string& body, int deadlineMs);

// The status of an answer, 0 if there is none.
int statusOf(const std::optional<Head>& head);

// Runs a case and returns the exit code of its program. The arguments are a temporary folder and the path of the record;
// the environment's TROUBLE=0 leaves the disruption out.
using Case = std::function<int(const std::string& folder, Record& record, bool hasTrouble)>;
int runMain(int argc, char** argv, const Case& runCase);

// A text for the record: without line ends, cut after some length.
std::string quote(std::string_view text);

} // namespace review
