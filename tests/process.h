// Child processes, ports, HTTP requests and temporary directories for tests with real processes.
#pragma once

#include "gateway/http.h"

#include <sys/types.h>

namespace orioletrail::tests {

// Standard output and environment of a child process. The output is appended to a file or goes to a descriptor; by
// default the child shares the output of this program.
struct ChildOptions {
    std::string outputFile {};
    std::optional<int> outputDescriptor {};
    // Variables (NAME=VALUE) in addition to those of this program.
    std::vector<std::string> environment {};
};

// A child process; the destructor kills it if it still runs.
class Process {
public:
    // The first argument is the path of the program.
    explicit Process(std::vector<std::string> arguments, const ChildOptions& options = {});
    ~Process();

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    // Sends a signal, unless wait() has returned an exit code.
    void signal(int number) const;

    // Waits for the process to end and returns its exit code, 128 plus the signal number if a signal ended it, -1 if
    // it could not be started, or nothing if it still runs after the timeout.
    std::optional<int> wait(Millis);

    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
};

// Path of a program in the build directory of the tests.
std::string binaryPath(const std::string& name);

// Returns "127.0.0.1:PORT".
std::string localAddress(int port);

// Reserves 150 consecutive ports within this program and returns the first. ORIOLETRAIL_TEST_PORT sets the first
// port of the program.
int reservePorts();

// Sends one request on a new connection and waits for the answer. `address` has the form IP:PORT.
HttpResult callOnce(const std::string& address, HttpRequest, Millis timeout = Millis(20'000));

// A new directory that the destructor removes with its content.
class TemporaryDirectory {
public:
    TemporaryDirectory();
    ~TemporaryDirectory();

    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    // Path of a file in the directory.
    std::string path(const std::string& name) const { return m_path + '/' + name; }

private:
    std::string m_path;
};

// Sends raw bytes, optionally shuts down the sending side, and returns everything received until the peer closes.
std::string sendRaw(const std::string& address, const std::string& bytes, bool halfClose = false);

} // namespace orioletrail::tests
