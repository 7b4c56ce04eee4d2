// What all stand-ins share: an event loop with an HTTP port, a record on disk and faults.
#pragma once

#include "gateway/async.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <fstream>

namespace orioletrail::fakes {

struct FakeSettings {
    std::string name;
    std::string listen = "127.0.0.1:8000";
    // File to which a line is added for each thing that was done; empty for none.
    std::string record;
};

// A fault that is in force for the next `count` requests, or for all if `count` is 0.
struct Fault {
    std::string mode = "none";
    Millis delay { 0 };
    uint32_t count = 0;
};

// Serves HTTP until the process is killed. POST /fault sets the fault in force.
class Fake {
public:
    explicit Fake(const FakeSettings&);

    // Runs with the given handler for everything but /fault. False if the address is taken.
    bool run(HttpHandler);

    // Adds a line to the record, with the name and the time in milliseconds since 1970.
    void record(boost::json::object);

    // The mode of the fault in force for this request, "none" if there is none.
    std::string takeFault(std::string_view among);

    Millis faultDelay() const { return m_fault.delay; }

    boost::asio::io_context& context() { return m_context; }
    const FakeSettings& settings() const { return m_settings; }

private:
    FakeSettings m_settings;
    boost::asio::io_context m_context { 1 };
    std::ofstream m_file;
    Fault m_fault;
};

// A JSON answer.
HttpAnswer jsonAnswer(unsigned status, const boost::json::object&);

int64_t unixMillis();

// The tokens that a stand-in engine makes of a prompt.
std::vector<std::string> tokensOf(std::string_view prompt, size_t count);

} // namespace orioletrail::fakes
