#include "fakes/engine.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <random>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    // Time that an overloaded engine takes to answer.
    constexpr Millis overloadAnswerDelay { 1000 };
    constexpr Millis stallDuration { 600'000 };

    class EngineFake {
    public:
        explicit EngineFake(const EngineFakeSettings& settings)
            : m_settings(settings)
            , m_server(settings.common)
        {
        }

        int run()
        {
            return m_server.run([this](const HttpRequest& request, Responder& responder) { return handle(request, responder); }) ? 0 : 1;
        }

    private:
        Task<> handle(const HttpRequest& request, Responder& responder)
        {
            if (request.path() == "/load") {
                if (m_server.consumeFault("cold") == "cold") {
                    m_server.writeRecord({ { "what", "cold" } });
                    resetToCold();
                }
                const double hitRate = isWarm() ? 0.8 : 0.0;
                const HttpResponse answer = jsonAnswer(200, { { "start", m_startId }, { "inFlight", m_inFlight }, { "cacheHitRate", hitRate } });
                co_await responder.respond(answer);
                co_return;
            }
            ++m_inFlight;
            m_server.writeRecord({ { "what", "run" }, { "request", request.header("X-Request-Id") }, { "inFlight", m_inFlight }, { "warm", isWarm() } });
            co_await runCompletion(request, responder);
            --m_inFlight;
            ++m_completed;
        }

        Task<> runCompletion(const HttpRequest& request, Responder& responder)
        {
            const json::object body = json::parse(request.body).as_object();
            const std::string prompt = json::serialize(body.contains("messages") ? body.at("messages") : body.at("prompt"));
            if (!m_settings.crashWord.empty() && prompt.find(m_settings.crashWord) != std::string::npos)
                std::_Exit(1);
            if (m_inFlight > capacity()) {
                m_server.writeRecord({ { "what", "overload" }, { "inFlight", m_inFlight } });
                resetToCold();
                co_await sleepFor(overloadAnswerDelay);
                const HttpResponse answer = jsonAnswer(500, { { "error", "overloaded" } });
                co_await responder.respond(answer);
                co_return;
            }
            const std::string fault = m_server.consumeFault("stall slow cut unframed unframed-cut unframed-crash");
            co_await sleepFor(fault == "stall" ? stallDuration : fault == "slow" ? m_server.faultDelay()
                                                                                 : m_settings.firstTokenDelay);
            const size_t count = body.contains("max_tokens") ? body.at("max_tokens").to_number<size_t>() : 8;
            const std::vector<std::string> tokens = completionTokens(prompt, count);
            if (body.contains("stream") && body.at("stream").as_bool())
                co_await streamCompletion(responder, tokens, fault);
            else
                co_await respondWithCompletion(responder, tokens);
        }

        Task<> respondWithCompletion(Responder& responder, const std::vector<std::string>& tokens)
        {
            if (m_settings.tokenInterval.count())
                co_await sleepFor(m_settings.tokenInterval * static_cast<int>(tokens.size()));
            std::string text;
            for (const std::string& token : tokens)
                text += token;
            const json::object choice { { "index", 0 }, { "message", json::object { { "role", "assistant" }, { "content", text } } }, { "finish_reason", "stop" } };
            const HttpResponse answer = jsonAnswer(200, { { "object", "chat.completion" }, { "choices", json::array { choice } } });
            co_await responder.respond(answer);
        }

        Task<> streamCompletion(Responder& responder, const std::vector<std::string>& tokens, const std::string& fault)
        {
            const HeaderList headers { { "Content-Type", "text/event-stream" } };
            co_await responder.begin(200, headers, fault.starts_with("unframed") ? BodyFraming::Connection : BodyFraming::Chunks);
            for (size_t i = 0; i < tokens.size(); ++i) {
                if (fault == "cut" && i == tokens.size() / 2) {
                    responder.abort();
                    co_return;
                }
                const json::object choice { { "index", 0 }, { "delta", json::object { { "content", tokens[i] } } } };
                const std::string data = "data: " + json::serialize(json::object { { "choices", json::array { choice } } }) + "\n\n";
                if (fault == "unframed-crash" && i == tokens.size() / 2)
                    std::_Exit(1);
                if (fault == "unframed-cut" && i == tokens.size() / 2) {
                    co_await responder.chunk(std::string_view(data).substr(0, data.size() / 2));
                    co_await responder.end();
                    co_return;
                }
                if (!co_await responder.chunk(data))
                    co_return;
                if (m_settings.tokenInterval.count())
                    co_await sleepFor(m_settings.tokenInterval);
            }
            co_await responder.chunk("data: [DONE]\n\n");
            co_await responder.end();
        }

        bool isWarm() const { return m_completed >= m_settings.warmUpRequests; }

        uint32_t capacity() const
        {
            const uint32_t completed = std::min(m_completed, m_settings.warmUpRequests);
            return m_settings.coldCapacity + (m_settings.warmCapacity - m_settings.coldCapacity) * completed / m_settings.warmUpRequests;
        }

        void resetToCold()
        {
            m_completed = 0;
            ++m_startId;
        }

        EngineFakeSettings m_settings;
        FakeServer m_server;
        uint64_t m_startId = std::random_device {}() + 1ULL;
        uint32_t m_inFlight = 0;
        uint32_t m_completed = 0;
    };

} // namespace

int runEngine(const EngineFakeSettings& settings)
{
    return EngineFake(settings).run();
}

} // namespace orioletrail::fakes
