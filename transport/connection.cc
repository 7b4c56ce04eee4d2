#include "transport/connection.h"

#include "transport/codec.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace orioletrail {

namespace detail {

    constexpr size_t initialReadBytes = 16 * 1024;
    // A connection with more unsent bytes is closed, so that a peer that does not read cannot
    // exhaust memory.
    constexpr size_t maxQueuedBytes = 64 * 1024 * 1024;

} // namespace detail

Connection::Connection(boost::asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_received(detail::initialReadBytes)
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void Connection::start(Hooks hooks)
{
    m_hooks = std::move(hooks);
    readSome();
}

void Connection::send(const Message& message)
{
    if (!m_open)
        return;
    m_lastSent = Clock::now();
    encode(message, m_queued);
    if (queuedBytes() > detail::maxQueuedBytes) {
        // Closed asynchronously, since the caller may be iterating over its connections, and the
        // hook removes this one.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close("send queue is full"); });
        return;
    }
    if (m_writeScheduled)
        return;
    m_writeScheduled = true;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->writeQueued(); });
}

void Connection::close(std::string_view cause)
{
    if (!m_open)
        return;
    m_open = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    const Hooks hooks = std::move(m_hooks);
    m_hooks = {};
    if (hooks.closed)
        hooks.closed(cause);
}

void Connection::readSome()
{
    m_socket.async_read_some(boost::asio::buffer(m_received.data() + m_receivedBytes, m_received.size() - m_receivedBytes),
        [self = shared_from_this()](boost::system::error_code error, size_t bytes) {
            if (error) {
                self->close(error.message());
                return;
            }
            self->m_lastReceived = Clock::now();
            self->m_receivedBytes += bytes;
            self->parseFrames();
            if (self->m_open)
                self->readSome();
        });
}

void Connection::parseFrames()
{
    size_t parsed = 0;
    size_t frameBytes = 0;
    while (m_open && m_receivedBytes - parsed >= frameHeaderBytes) {
        const std::span<const char> rest(m_received.data() + parsed, m_receivedBytes - parsed);
        const std::optional<size_t> size = payloadSize(rest.first<frameHeaderBytes>());
        if (!size) {
            close("frame size out of bounds");
            return;
        }
        frameBytes = frameHeaderBytes + *size;
        if (rest.size() < frameBytes)
            break;
        std::string reason;
        std::optional<Message> message = decode(rest.subspan(frameHeaderBytes, *size), reason);
        if (!message) {
            close(reason);
            return;
        }
        parsed += frameBytes;
        frameBytes = 0;
        m_hooks.received(std::move(*message));
    }
    m_receivedBytes -= parsed;
    std::memmove(m_received.data(), m_received.data() + parsed, m_receivedBytes);
    if (const size_t bufferBytes = std::max(frameBytes, detail::initialReadBytes); bufferBytes > m_received.size())
        m_received.resize(bufferBytes);
}

void Connection::writeQueued()
{
    if (!m_open || m_queued.empty()) {
        m_writeScheduled = false;
        return;
    }
    m_writing.clear();
    m_writing.swap(m_queued);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
        [self = shared_from_this()](boost::system::error_code error, size_t) {
            self->m_writing.clear();
            if (error)
                self->close(error.message());
            else
                self->writeQueued();
        });
}

} // namespace orioletrail
