// Child processes, ports and calls for tests with real processes.
#pragma once

#include "gateway/http.h"

#include <sys/types.h>

namespace orioletrail::tests {

// Where a child's standard output goes: to a file, to a descriptor, or, by default, to this program's.
struct ChildOutput {
    std::string file {};
    std::optional<int> descriptor {};
    // Variables on top of this program's own, as NAME=VALUE.
    std::vector<std::string> variables {};
};

// A child process that is killed at the end of its life.
class Process {
public:
    explicit Process(std::vector<std::string> arguments, const ChildOutput& output = {});
    ~Process();

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    // The exit code, or nothing if the process still runs at the end of the time. A process
    // ended by a signal has 128 and its number.
    std::optional<int> wait(Millis);

    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = 0;
    std::optional<int> m_exit;
};

// The path of a program that was built beside the tests.
std::string binary(const std::string& name);

// "127.0.0.1:PORT".
std::string local(int port);

// The first of 150 ports that nothing else of this test program uses.
int nextBase();

// Makes one call on a connection of its own and waits for its end.
HttpResult callOnce(const std::string& address, HttpRequest, Millis timeout = Millis(20'000));

// A directory that is removed with the object.
class TemporaryDirectory {
public:
    TemporaryDirectory();
    ~TemporaryDirectory();

    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    std::string path(const std::string& name) const { return m_path + '/' + name; }

private:
    std::string m_path;
};

} // namespace orioletrail::tests
