#include "fakes/replica.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <map>

namespace orioletrail::fakes {

namespace {

    class ReplicaFake {
    public:
        explicit ReplicaFake(const ReplicaFakeSettings& settings)
            : m_settings(settings)
            , m_server(settings.common)
        {
        }

        int run()
        {
            return m_server.run([this](const HttpRequest& request, Responder& responder) { return handle(request, responder); }) ? 0 : 1;
        }

    private:
        const std::string& name() const { return m_settings.common.name; }

        HeaderList answerHeaders(const HttpRequest& request) const
        {
            HeaderList headers { { "X-Request-Id", std::string(request.header("X-Request-Id")) }, { "X-Reply-Stamp", "stamp-" + name() },
                { "X-Replica-Load", std::to_string(m_inFlight) + ",0,12" } };
            if (m_isLimited)
                headers.emplace_back("Server-Limit", "2.0");
            if (m_isLeaving)
                headers.emplace_back("Server-Leaving", "1");
            return headers;
        }

        Task<> reject(const HttpRequest& request, Responder& responder, unsigned status, const std::string& fault = {})
        {
            m_server.writeRecord({ { "what", "rejected" }, { "request", request.header("X-Request-Id") } });
            const std::pair<std::string, std::string> requestId { "X-Request-Id", std::string(request.header("X-Request-Id")) };
            HttpResponse answer { status, { { "X-Not-Run", "1" }, { "X-Replica-Id", name() } }, {} };
            if (fault == "pause")
                answer.headers.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(m_server.faultDelay()).count()));
            if (fault == "late-copy-unnamed")
                m_lateCopies.insert_or_assign(responder.connectionNumber(), answer);
            answer.headers.push_back(requestId);
            if (fault == "late-copy")
                m_lateCopies.insert_or_assign(responder.connectionNumber(), answer);
            co_await responder.respond(answer);
        }

        Task<> handle(const HttpRequest& request, Responder& responder)
        {
            constexpr unsigned misdirected = 421;
            constexpr unsigned unavailable = 503;
            if (const auto copy = m_lateCopies.extract(responder.connectionNumber()); !copy.empty()) {
                m_server.writeRecord({ { "what", "copied" }, { "request", request.header("X-Request-Id") } });
                co_await responder.respond(copy.mapped());
            }
            if (request.path() == "/orioletrail/report") {
                const HttpResponse report = jsonAnswer(200, { { "born", m_settings.born } });
                co_await responder.respond(report);
                co_return;
            }
            const std::string fault = m_server.consumeFault("limited leaving pause unmarked refuse late-copy late-copy-unnamed misdirect lose cut-404 cut endless long fail slow extra unframed unframed-cut unframed-crash unframed-empty");
            m_isLimited = fault == "limited";
            m_isLeaving = fault == "leaving";
            if (fault == "misdirect" || request.header("X-Expect-Replica") != name()) {
                co_await reject(request, responder, misdirected);
                co_return;
            }
            if (fault == "refuse" || fault == "pause" || fault.starts_with("late-copy")) {
                co_await reject(request, responder, unavailable, fault);
                co_return;
            }
            m_server.writeRecord({ { "what", "run" }, { "request", request.header("X-Request-Id") }, { "target", request.target }, { "account", request.header("X-Tenant") },
                { "key", request.header("Authorization") }, { "timeLeft", request.header("X-Deadline-Ms") }, { "from", request.header("Last-Event-Id") } });
            if (request.target.find("crash") != std::string::npos) {
                co_await sleepFor(m_settings.crashDelay);
                std::_Exit(1);
            }
            if (fault == "unmarked") {
                const HttpResponse answer { unavailable, answerHeaders(request), "failed" };
                co_await responder.respond(answer);
                co_return;
            }
            ++m_inFlight;
            if (fault == "slow")
                co_await sleepFor(m_server.faultDelay());
            if (fault == "lose")
                responder.abort();
            else if (fault == "endless")
                co_await sendWithoutEnd(request, responder);
            else if (fault == "long")
                co_await sendLong(request, responder);
            else if (request.target.starts_with("/stream/"))
                co_await streamEvents(request, responder, fault);
            else
                co_await respond(request, responder, fault);
            --m_inFlight;
        }

        Task<> sendWithoutEnd(const HttpRequest& request, Responder& responder)
        {
            HeaderList headers = answerHeaders(request);
            if (request.target.starts_with("/stream/"))
                headers.emplace_back("Content-Type", "text/event-stream");
            co_await responder.begin(200, headers);
            const std::string block(65'536, 'x');
            while (co_await responder.chunk(block)) { }
        }

        Task<> sendLong(const HttpRequest& request, Responder& responder)
        {
            constexpr int events = 200;
            constexpr size_t eventBytes = 65'536;
            constexpr size_t bodyBytes = size_t { 1 } << 20;
            HeaderList headers = answerHeaders(request);
            if (!request.target.starts_with("/stream/")) {
                const HttpResponse answer { 200, std::move(headers), std::string(bodyBytes, 'x') };
                co_await responder.respond(answer);
                co_return;
            }
            headers.emplace_back("Content-Type", "text/event-stream");
            co_await responder.begin(200, headers);
            const std::string data(eventBytes, 'x');
            for (int event = 1; event <= events; ++event) {
                const std::string text = "id: " + std::to_string(event) + "\ndata: " + data + "\n\n";
                if (!co_await responder.chunk(text))
                    co_return;
            }
            co_await responder.end();
        }

        Task<> respond(const HttpRequest& request, Responder& responder, const std::string& fault)
        {
            if (fault.starts_with("unframed")) {
                co_await responder.begin(200, answerHeaders(request), BodyFraming::Connection);
                if (fault == "unframed-empty") {
                    co_await responder.end();
                    co_return;
                }
                co_await responder.chunk("done ");
                if (fault == "unframed-crash") {
                    co_await sleepFor(m_server.faultDelay());
                    std::_Exit(1);
                }
                if (fault == "unframed-cut") {
                    responder.abort();
                    co_return;
                }
                co_await responder.chunk(request.header("X-Request-Id"));
                co_await responder.end();
                co_return;
            }
            HttpResponse answer { fault == "fail" ? 500U : 200U, answerHeaders(request), "done " + std::string(request.header("X-Request-Id")) };
            co_await responder.respond(answer);
            if (fault != "extra")
                co_return;
            answer.body = "again";
            co_await responder.respond(answer);
        }

        Task<> streamEvents(const HttpRequest& request, Responder& responder, const std::string& fault)
        {
            if (fault == "cut-404" && !request.header("Last-Event-Id").empty()) {
                const HttpResponse answer { 404, answerHeaders(request), "no such stream" };
                co_await responder.respond(answer);
                co_return;
            }
            HeaderList streamHeaders = answerHeaders(request);
            streamHeaders.emplace_back("Content-Type", "text/event-stream");
            const std::string from(request.header("Last-Event-Id"));
            const int first = from.empty() ? 1 : std::stoi(from) + 1;
            if (request.header("X-Prompt-Prefix").find("dead:") != std::string_view::npos) {
                co_await sleepFor(m_settings.eventInterval);
                std::_Exit(1);
            }
            const bool isUnframed = fault.starts_with("unframed");
            co_await responder.begin(200, streamHeaders, isUnframed ? BodyFraming::Connection : BodyFraming::Chunks);
            for (int event = first; event <= m_settings.eventCount; ++event) {
                const std::string text = "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n";
                if (fault == "unframed-empty") {
                    co_await responder.end();
                    co_return;
                }
                if (fault == "unframed-crash" && event == first + 3) {
                    co_await sleepFor(m_server.faultDelay());
                    std::_Exit(1);
                }
                if ((fault.ends_with("cut") || fault == "cut-404") && event == first + 3) {
                    co_await responder.chunk(std::string_view(text).substr(0, text.size() / 2));
                    if (isUnframed)
                        co_await responder.end();
                    else
                        responder.abort();
                    co_return;
                }
                if (!co_await responder.chunk(text)) {
                    m_server.writeRecord({ { "what", "left" }, { "request", request.header("X-Request-Id") } });
                    co_return;
                }
                co_await sleepFor(m_settings.eventInterval);
            }
            co_await responder.end();
        }

        ReplicaFakeSettings m_settings;
        FakeServer m_server;
        int m_inFlight = 0;
        // Answers that are sent once more, by the number of their connection.
        std::map<uint64_t, HttpResponse> m_lateCopies;
        // The answers name a limit of two requests per second.
        bool m_isLimited = false;
        // The answers say that the endpoint is leaving.
        bool m_isLeaving = false;
    };

} // namespace

int runReplica(const ReplicaFakeSettings& settings)
{
    return ReplicaFake(settings).run();
}

} // namespace orioletrail::fakes
