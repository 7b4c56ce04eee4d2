#include "fakes/engine.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <random>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    // What an engine that fell over does not answer for.
    constexpr Millis recovery { 1000 };
    constexpr Millis stallTime { 600'000 };

    class EngineFake {
    public:
        explicit EngineFake(const EngineFakeSettings& settings)
            : m_settings(settings)
            , m_fake(settings.common)
        {
        }

        int run()
        {
            return m_fake.run([this](const HttpRequest& request, Responder& responder) { return handle(request, responder); }) ? 0 : 1;
        }

    private:
        Task<> handle(const HttpRequest& request, Responder& responder)
        {
            if (request.path() == "/load") {
                if (m_fake.takeFault("cold") == "cold") {
                    m_fake.record({ { "what", "cold" } });
                    turnCold();
                }
                const double hitRate = isWarm() ? 0.8 : 0.0;
                const HttpAnswer answer = jsonAnswer(200, { { "start", m_start }, { "inFlight", m_inFlight }, { "cacheHitRate", hitRate } });
                co_await responder.respond(answer);
                co_return;
            }
            ++m_inFlight;
            m_fake.record({ { "what", "run" }, { "request", request.header("X-Request-Id") }, { "inFlight", m_inFlight }, { "warm", isWarm() } });
            co_await complete(request, responder);
            --m_inFlight;
            ++m_completed;
        }

        Task<> complete(const HttpRequest& request, Responder& responder)
        {
            const json::object body = json::parse(request.body).as_object();
            const std::string prompt = json::serialize(body.contains("messages") ? body.at("messages") : body.at("prompt"));
            if (!m_settings.crashWord.empty() && prompt.find(m_settings.crashWord) != std::string::npos)
                std::_Exit(1);
            if (m_inFlight > capacity()) {
                m_fake.record({ { "what", "overload" }, { "inFlight", m_inFlight } });
                turnCold();
                co_await sleepFor(recovery);
                const HttpAnswer answer = jsonAnswer(500, { { "error", "overloaded" } });
                co_await responder.respond(answer);
                co_return;
            }
            const std::string fault = m_fake.takeFault("stall slow cut");
            co_await sleepFor(fault == "stall" ? stallTime : fault == "slow" ? m_fake.faultDelay()
                                                                             : m_settings.firstToken);
            const size_t count = body.contains("max_tokens") ? body.at("max_tokens").to_number<size_t>() : 8;
            const std::vector<std::string> tokens = tokensOf(prompt, count);
            if (body.contains("stream") && body.at("stream").as_bool())
                co_await stream(responder, tokens, fault == "cut");
            else
                co_await whole(responder, tokens);
        }

        Task<> whole(Responder& responder, const std::vector<std::string>& tokens)
        {
            if (m_settings.perToken.count())
                co_await sleepFor(m_settings.perToken * static_cast<int>(tokens.size()));
            std::string text;
            for (const std::string& token : tokens)
                text += token;
            const json::object choice { { "index", 0 }, { "message", json::object { { "role", "assistant" }, { "content", text } } }, { "finish_reason", "stop" } };
            const HttpAnswer answer = jsonAnswer(200, { { "object", "chat.completion" }, { "choices", json::array { choice } } });
            co_await responder.respond(answer);
        }

        Task<> stream(Responder& responder, const std::vector<std::string>& tokens, bool cut)
        {
            const HeaderList headers { { "Content-Type", "text/event-stream" } };
            co_await responder.begin(200, headers);
            for (size_t i = 0; i < tokens.size(); ++i) {
                if (cut && i == tokens.size() / 2) {
                    responder.abort();
                    co_return;
                }
                const json::object choice { { "index", 0 }, { "delta", json::object { { "content", tokens[i] } } } };
                const std::string data = "data: " + json::serialize(json::object { { "choices", json::array { choice } } }) + "\n\n";
                if (!co_await responder.chunk(data))
                    co_return;
                if (m_settings.perToken.count())
                    co_await sleepFor(m_settings.perToken);
            }
            co_await responder.chunk("data: [DONE]\n\n");
            co_await responder.end();
        }

        bool isWarm() const { return m_completed >= m_settings.warmAfter; }

        uint32_t capacity() const
        {
            const uint32_t warmth = std::min(m_completed, m_settings.warmAfter);
            return m_settings.coldCapacity + (m_settings.warmCapacity - m_settings.coldCapacity) * warmth / m_settings.warmAfter;
        }

        void turnCold()
        {
            m_completed = 0;
            ++m_start;
        }

        EngineFakeSettings m_settings;
        Fake m_fake;
        uint64_t m_start = std::random_device {}() + 1ULL;
        uint32_t m_inFlight = 0;
        uint32_t m_completed = 0;
    };

} // namespace

int runEngine(const EngineFakeSettings& settings)
{
    return EngineFake(settings).run();
}

} // namespace orioletrail::fakes
