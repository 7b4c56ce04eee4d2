// A stand-in of an endpoint that answers with any bytes, on a thread of the test.
#pragma once

#include "base/types.h"

#include <functional>
#include <memory>
#include <string>

namespace orioletrail::tests {

// Reads requests with a Content-Length, any number on each connection, and answers them as it is told.
class RawEndpoint {
public:
    struct Answer {
        std::string bytes;
        // Sent again and again behind `bytes`, until the peer closes.
        std::string repeated {};
        Millis delay { 0 };
        bool closesConnection = false;
    };

    // Called on the thread of the stand-in, with the head of each request.
    using Handler = std::function<Answer(const std::string& head)>;

    // Listens on a port of 127.0.0.1, or on a free one if that is 0.
    explicit RawEndpoint(Handler, uint16_t port = 0);
    ~RawEndpoint();

    RawEndpoint(const RawEndpoint&) = delete;
    RawEndpoint& operator=(const RawEndpoint&) = delete;

    // IP:PORT.
    std::string address() const;
    // Number of requests that were read.
    size_t requestCount() const;

    // The value of a field of a head, or nothing.
    static std::string field(const std::string& head, const std::string& name);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace orioletrail::tests
