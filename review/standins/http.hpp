// Blocking HTTP/1.1 for stand-ins: one thread per connection, raw answers.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string findHeader(const Headers& headers, const char* name)
{
    for (const auto& [field, value] : headers)
        if (!strcasecmp(field.c_str(), name))
            return value;
    return {};
}

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(const char* name) const { return findHeader(headers, name); }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const
    {
        size_t at = target.find('?');
        while (at != std::string::npos) {
            const size_t next = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            if (pair.rfind(name + '=', 0) == 0)
                return pair.substr(name.size() + 1);
            at = next;
        }
        return {};
    }
};

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
    // The whole response has arrived, as its framing tells.
    bool isComplete = false;
    std::string error;

    std::string header(const char* name) const { return findHeader(headers, name); }
};

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A connection with bytes read ahead.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const Connection&) = delete;
    ~Connection() { closeNow(); }

    static int connectTo(const std::string& ip, int port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(ip, port);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return fd;
        close(fd);
        return -1;
    }

    void closeNow()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }

    // Closes with a TCP reset.
    void reset()
    {
        linger option { 1, 0 };
        if (m_fd >= 0)
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        closeNow();
    }

    void setTimeout(int millis)
    {
        timeval time { millis / 1000, (millis % 1000) * 1000 };
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    }

    bool write(const std::string& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

    bool readRequest(Request& request)
    {
        std::string line;
        std::string head;
        if (!readHead(head))
            return false;
        request = {};
        const size_t end = head.find("\r\n");
        const std::string start = head.substr(0, end);
        const size_t first = start.find(' ');
        const size_t second = start.find(' ', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            return false;
        request.method = start.substr(0, first);
        request.target = start.substr(first + 1, second - first - 1);
        request.headers = parseHeaders(head, end);
        return readBody(request.headers, request.body, false);
    }

    // `onBody` gets the bytes of the body as they arrive.
    Response readResponse(const std::function<void(const std::string&)>& onBody = {})
    {
        Response response;
        std::string head;
        if (!readHead(head)) {
            response.error = m_error;
            return response;
        }
        const size_t end = head.find("\r\n");
        response.status = atoi(head.substr(9, 3).c_str());
        response.headers = parseHeaders(head, end);
        m_onBody = onBody;
        response.isComplete = readBody(response.headers, response.body, true);
        m_onBody = {};
        if (!response.isComplete)
            response.error = m_error;
        return response;
    }

    int fd() const { return m_fd; }
    bool hasUnread() const { return !m_buffer.empty(); }

private:
    static Headers parseHeaders(const std::string& head, size_t at)
    {
        Headers headers;
        while (at != std::string::npos && at + 2 < head.size()) {
            const size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const size_t colon = line.find(':');
            if (colon != std::string::npos) {
                size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ')
                    ++value;
                headers.emplace_back(line.substr(0, colon), line.substr(value));
            }
            at = next;
        }
        return headers;
    }

    bool fill()
    {
        char block[16384];
        const ssize_t count = recv(m_fd, block, sizeof block, 0);
        if (count <= 0) {
            m_error = count == 0 ? "closed" : (errno == EAGAIN ? "timeout" : strerror(errno));
            return false;
        }
        m_buffer.append(block, static_cast<size_t>(count));
        return true;
    }

    bool readHead(std::string& head)
    {
        size_t end;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
            if (!fill())
                return false;
        head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        return true;
    }

    bool take(size_t count, std::string& to)
    {
        while (m_buffer.size() < count)
            if (!fill())
                return false;
        const std::string part = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        to += part;
        if (m_onBody)
            m_onBody(part);
        return true;
    }

    bool takeLine(std::string& line)
    {
        size_t end;
        while ((end = m_buffer.find("\r\n")) == std::string::npos)
            if (!fill())
                return false;
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool readBody(const Headers& headers, std::string& body, bool isResponse)
    {
        if (!strcasecmp(findHeader(headers, "Transfer-Encoding").c_str(), "chunked")) {
            while (true) {
                std::string line;
                if (!takeLine(line))
                    return false;
                const size_t size = strtoul(line.c_str(), nullptr, 16);
                if (!size) {
                    while (takeLine(line))
                        if (line.empty())
                            return true;
                    return false;
                }
                if (!take(size, body) || !takeLine(line))
                    return false;
            }
        }
        const std::string length = findHeader(headers, "Content-Length");
        if (!length.empty())
            return take(strtoul(length.c_str(), nullptr, 10), body);
        if (!isResponse)
            return true;
        // The body ends with the connection.
        while (true) {
            if (!m_buffer.empty()) {
                std::string part;
                take(m_buffer.size(), part);
                body += part;
            }
            if (!fill())
                return m_error == "closed";
        }
    }

    int m_fd;
    std::string m_buffer;
    std::string m_error;
    std::function<void(const std::string&)> m_onBody;
};

inline std::string reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

inline std::string headOf(int status, const Headers& headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reasonOf(status) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "\r\n";
}

inline std::string answerOf(int status, Headers headers, const std::string& body)
{
    headers.emplace_back("Content-Length", std::to_string(body.size()));
    return headOf(status, headers) + body;
}

inline std::string jsonAnswerOf(int status, const std::string& body)
{
    return answerOf(status, { { "Content-Type", "application/json" } }, body);
}

// Accepts connections on one address and calls the handler on a thread for each.
class Listener {
public:
    using Handler = std::function<void(Connection&)>;

    bool start(const std::string& ip, int port, Handler handler)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = addressOf(ip, port);
        if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) || listen(m_fd, 512))
            return false;
        std::thread([this, handler = std::move(handler)] {
            while (true) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                std::thread([fd, handler] {
                    Connection connection(fd);
                    handler(connection);
                }).detach();
            }
        }).detach();
        return true;
    }

    // Refuses further connections.
    void stop()
    {
        shutdown(m_fd, SHUT_RDWR);
        close(m_fd);
    }

private:
    int m_fd = -1;
};

} // namespace standin
