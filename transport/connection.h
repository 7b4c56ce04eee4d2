// A framed message connection over TCP, owned by one traffic thread.
#pragma once

#include "transport/message.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace orioletrail {

// Sends and receives messages on one socket. All calls and callbacks happen on the thread
// that runs the socket's executor.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    struct Hooks {
        std::function<void(Message&&)> received;
        // Called once, with the cause, when the connection ends for any reason.
        std::function<void(std::string_view)> closed;
    };

    explicit Connection(boost::asio::ip::tcp::socket);

    // Starts receiving. The hooks are dropped after `closed` has been called.
    void start(Hooks);

    // Queues a message. Messages queued while a write is under way leave in one write.
    void send(const Message&);

    // Ends the connection; queued messages may be lost.
    void close(std::string_view cause);

    bool isOpen() const { return m_open; }

    // When anything was last received, by the monotonic clock.
    TimePoint lastReceived() const { return m_lastReceived; }

    // When a message was last queued.
    TimePoint lastSent() const { return m_lastSent; }

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
