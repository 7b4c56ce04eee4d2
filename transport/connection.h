// TCP connection that carries framed messages.
#pragma once

#include "transport/message.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace orioletrail {

// Sends and receives messages on one socket. Not thread-safe: all calls and callbacks happen on the
// thread that runs the socket's executor.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    struct Hooks {
        std::function<void(Message&&)> received;
        // Called once, with the cause, when either side closes the connection or an error ends it.
        std::function<void(std::string_view)> closed;
    };

    explicit Connection(boost::asio::ip::tcp::socket);

    // Starts receiving. The hooks are destroyed after `closed` has run.
    void start(Hooks);

    // Queues a message; ignored if the connection is closed. Messages queued during a write are
    // sent together in the next one. If the queue exceeds 64 MiB, the connection is closed.
    void send(const Message&);

    // Closes the connection and calls the `closed` hook with `cause`. Queued messages may be lost.
    void close(std::string_view cause);

    bool isOpen() const { return m_open; }

    // When bytes were last received, or when the connection was made if none were.
    TimePoint lastReceived() const { return m_lastReceived; }

    // When send() last queued a message, or when the connection was made if it never did.
    TimePoint lastSent() const { return m_lastSent; }

    // Bytes that have not been written to the socket yet.
    size_t queuedBytes() const { return m_queued.size() + m_writing.size(); }

private:
    void readSome();
    void parseFrames();
    void writeQueued();

    boost::asio::ip::tcp::socket m_socket;
    Hooks m_hooks;
    std::vector<char> m_received;
    size_t m_receivedBytes = 0;
    std::vector<char> m_queued;
    std::vector<char> m_writing;
    TimePoint m_lastReceived = Clock::now();
    TimePoint m_lastSent = Clock::now();
    bool m_open = true;
    bool m_writeScheduled = false;
};

} // namespace orioletrail
