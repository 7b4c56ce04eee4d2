// A replica of a plain application service. It runs what is sent to it under its id, and rejects everything else.
#include "harness.hpp"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace review {

namespace {

    std::atomic<bool> isLeaving { false };
    // A replica that has just started is slow for some seconds.
    constexpr int64_t slowStartMs = 3000;

    constexpr int streamEvents = 8;

    class Replica {
    public:
        explicit Replica(const std::vector<std::string>& arguments)
        {
            for (size_t at = 0; at + 1 < arguments.size(); at += 2)
                m_options[arguments[at].substr(2)] = arguments[at + 1];
            m_events = open(option("events").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        }

        void run()
        {
            std::signal(SIGUSR1, [](int) { isLeaving = true; });
            Server server(number("port"), [this](Connection& connection) { serve(connection); });
            while (true)
                pause();
        }

    private:
        std::string option(const std::string& name) const
        {
            const auto found = m_options.find(name);
            return found == m_options.end() ? std::string() : found->second;
        }

        int number(const std::string& name) const { return std::atoi(option(name).c_str()); }

        void event(const std::string& what, const std::string& request) const
        {
            const std::string line = std::to_string(now()) + ' ' + option("id") + ' ' + what + ' ' + request + '\n';
            if (write(m_events, line.data(), line.size()) < 0)
                std::_Exit(2);
        }

        void serve(Connection& connection)
        {
            for (Request request; connection.readRequest(request); request = {})
                if (!answer(connection, request))
                    return;
        }

        bool answer(Connection& connection, const Request& request)
        {
            const std::string id = request.header("X-Request-Id");
            if (request.path() == "/health")
                return connection.write(formatAnswer(isLeaving ? 503 : 200, { { "X-Replica-Id", option("id") } }, {}));
            if (request.path() == "/orioletrail/report" && now() - m_started < slowStartMs)
                sleepMs(number("slow-start-ms"));
            if (request.path() == "/orioletrail/report")
                return connection.write(formatAnswer(200, { { "Content-Type", "application/json" } }, "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":" + std::to_string(m_running.load()) + ",\"born\":" + option("born") + "}"));
            const Headers notRun { { "X-Request-Id", id }, { "X-Not-Run", "1" } };
            if (id.empty())
                return connection.write(formatAnswer(400, notRun, {}));
            const std::string expected = request.header("X-Expect-Replica");
            if (!expected.empty() && expected != option("id")) {
                event("421", id);
                return connection.write(formatAnswer(421, notRun, {}));
            }
            event("runs", id);
            // A cold replica crashes when far more comes than it tolerates.
            if (const int most = number("crash-above"); most && now() - m_started < number("cold-ms") && countRecent() > most) {
                event("crashes", id);
                std::_Exit(1);
            }
            if (request.body.find("poison") != std::string::npos || request.target.find("poison") != std::string::npos) {
                sleepMs(number("poison-ms"));
                event("crashes", id);
                std::_Exit(1);
            }
            const int running = ++m_running;
            const std::string body = "answer to " + id + " first half;" + std::string(200, 'a') + "; second half " + std::string(200, 'b') + "; end of " + id;
            Headers headers { { "X-Request-Id", id }, { "X-Reply-Stamp", option("id") + "." + id }, { "X-Replica-Load", std::to_string(running) + ",0," + option("slots") }, { "Content-Type", "text/plain" } };
            if (isLeaving)
                headers.emplace_back("Server-Leaving", "1");
            bool isOpen = false;
            if (request.target.find("draft") != std::string::npos)
                streamWithoutLength(connection, request, headers);
            else if (request.target.find("report") != std::string::npos)
                answerWithoutLength(connection, id, headers, body);
            else {
                sleepMs(number("work-ms"));
                isOpen = connection.write(formatAnswer(200, headers, body));
                event("answered", id);
            }
            --m_running;
            return isOpen;
        }

        // Sends a stream of events whose end is the end of the connection.
        void streamWithoutLength(Connection& connection, const Request& request, const Headers& headers) const
        {
            const std::string id = request.header("X-Request-Id");
            std::string head = "HTTP/1.1 200 OK\r\n";
            for (const auto& [name, value] : headers)
                head += name + ": " + (name == "Content-Type" ? "text/event-stream" : value) + "\r\n";
            connection.write(head + "Connection: close\r\n\r\n");
            for (int event = std::atoi(request.header("Last-Event-Id").c_str()) + 1; event <= streamEvents; ++event) {
                connection.write("id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n");
                if (event == streamEvents / 2) {
                    this->event("half", id);
                    sleepMs(number("pause-ms"));
                }
            }
            this->event("answered", id);
        }

        // Sends a body whose end is the end of the connection, in two parts.
        void answerWithoutLength(Connection& connection, const std::string& id, const Headers& headers, const std::string& body) const
        {
            std::string head = "HTTP/1.1 200 OK\r\n";
            for (const auto& [name, value] : headers)
                head += name + ": " + value + "\r\n";
            connection.write(head + "Connection: close\r\n\r\n" + body.substr(0, body.size() / 2));
            event("half", id);
            sleepMs(number("pause-ms"));
            connection.write(body.substr(body.size() / 2));
            event("answered", id);
        }

        // Requests that came within the last second, with this one.
        int countRecent()
        {
            const std::lock_guard lock(m_mutex);
            const int64_t at = now();
            m_arrivals.push_back(at);
            while (!m_arrivals.empty() && m_arrivals.front() <= at - 1000)
                m_arrivals.erase(m_arrivals.begin());
            return static_cast<int>(m_arrivals.size());
        }

        std::map<std::string, std::string> m_options;
        int m_events = -1;
        int64_t m_started = now();
        std::atomic<int> m_running { 0 };
        std::mutex m_mutex;
        std::vector<int64_t> m_arrivals;
    };

} // namespace

int runReplica(const std::vector<std::string>& arguments)
{
    Replica(arguments).run();
    return 0;
}

} // namespace review
