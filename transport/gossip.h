// Request-reply messaging between entries over nng.
#pragma once

#include "transport/message.h"

#include <functional>
#include <memory>

namespace orioletrail {

// Serves requests of other entries. The handler runs on an nng thread; the reply may be sent later
// and from any thread, but not after the server is destroyed.
class GossipServer {
public:
    using Reply = std::function<void(const Message&)>;
    using Handler = std::function<void(Message&&, Reply)>;

    explicit GossipServer(Handler);
    ~GossipServer();

    // Starts listening on "IP:PORT". On failure, returns false and sets lastError().
    bool listen(std::string_view address);

    const std::string& lastError() const { return m_lastError; }

private:
    struct State;
    std::unique_ptr<State> m_state;
    std::string m_lastError;
};

// Sends requests to one other entry, one at a time.
class GossipClient {
public:
    // Receives the reply, or std::nullopt if it was malformed or none arrived within the timeout.
    // Runs on an nng thread.
    using Handler = std::function<void(std::optional<Message>)>;

    // Connects to "IP:PORT" in the background and reconnects as needed. The timeout applies to
    // sending the request and to waiting for the reply, each.
    GossipClient(std::string_view address, Millis timeout);
    ~GossipClient();

    // Sends a request. Returns false, without calling the handler, if the previous request is
    // still in progress.
    bool call(const Message&, Handler);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace orioletrail
