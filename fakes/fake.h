// Base of all stand-in servers: an event loop with an HTTP port, a record file of handled requests
// and injectable faults.
#pragma once

#include "gateway/async.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <fstream>

namespace orioletrail::fakes {

// Settings common to all stand-in servers.
struct FakeSettings {
    std::string name;
    std::string listen = "127.0.0.1:8000";
    // File to which one JSON object per line is appended for each recorded event; empty for none.
    std::string recordPath;
};

// An injected fault. It applies to the next `remaining` requests, or to all requests if that is 0.
struct Fault {
    // Each stand-in supports its own modes; "none" means no fault.
    std::string mode = "none";
    // Used by mode "slow" only.
    Millis delay { 0 };
    uint32_t remaining = 0;
};

// HTTP server that runs until the process is killed. POST /fault replaces the active fault; the body is
// JSON with the fields "mode", "delayMs" and "count" (the last two default to 0).
class FakeServer {
public:
    explicit FakeServer(const FakeSettings&);

    // Serves requests and passes all but those to /fault to the handler. Does not return while it serves;
    // returns false if it cannot listen on the address.
    bool run(HttpHandler);

    // Appends an event to the record file and adds the fields "name" (of this stand-in) and "at"
    // (milliseconds since 1970).
    void writeRecord(boost::json::object);

    // Applies the active fault to one request and returns its mode, or "none" if no fault is active or its
    // mode is not among `supportedModes` (separated by spaces). Decrements the number of requests that the
    // fault still applies to.
    std::string consumeFault(std::string_view supportedModes);

    Millis faultDelay() const { return m_fault.delay; }

    boost::asio::io_context& ioContext() { return m_ioContext; }
    const FakeSettings& settings() const { return m_settings; }

private:
    FakeSettings m_settings;
    boost::asio::io_context m_ioContext { 1 };
    std::ofstream m_recordFile;
    Fault m_fault;
};

// Builds an answer with a JSON body.
HttpResponse jsonAnswer(unsigned status, const boost::json::object&);

// The current time in milliseconds since 1970.
int64_t unixMillis();

// The tokens that a stand-in engine generates for a prompt. The result depends on the arguments only, so
// that a caller can compute the expected completion.
std::vector<std::string> completionTokens(std::string_view prompt, size_t count);

} // namespace orioletrail::fakes
