// Request and reply between entries over nng.
#pragma once

#include "transport/message.h"

#include <functional>
#include <memory>

namespace orioletrail {

// Answers requests of other entries. The handler runs on a thread of nng and may reply
// later, from any thread.
class GossipServer {
public:
    using Reply = std::function<void(const Message&)>;
    using Handler = std::function<void(Message&&, Reply)>;

    explicit GossipServer(Handler);
    ~GossipServer();

    // Starts listening on "IP:PORT". False with lastError() set if that fails.
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
    // Gets the reply, or nothing if none came in time. Runs on a thread of nng.
    using Handler = std::function<void(std::optional<Message>)>;

    // Connects to "IP:PORT" in the background and reconnects whenever that is needed.
    GossipClient(std::string_view address, Millis timeout);
    ~GossipClient();

    // Sends a request. False if the one before is still waiting for its reply.
    bool call(const Message&, Handler);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace orioletrail
