#include "fakes/rank.h"

#include <boost/json.hpp>
#include <charconv>
#include <cmath>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    constexpr Millis stallDuration { 600'000 };
    constexpr int layerCount = 2;
    constexpr int expertCount = 64;

    uint64_t parseNumber(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    class RankFake {
    public:
        explicit RankFake(const RankFakeSettings& settings)
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
            HttpResponse answer = jsonAnswer(200, {});
            if (request.path() == "/step") {
                m_server.writeRecord({ { "what", "step" }, { "token", parseNumber(request.query("token")) }, { "number", parseNumber(request.query("number")) }, { "version", parseNumber(request.query("version")) } });
                const std::string fault = m_server.consumeFault("stall slow");
                co_await sleepFor(fault == "stall" ? stallDuration : fault == "slow" ? m_server.faultDelay()
                                                                                     : m_settings.stepDuration);
            } else if (request.path() == "/load") {
                m_server.writeRecord({ { "what", "load" }, { "version", parseNumber(request.query("version")) } });
                co_await sleepFor(m_settings.mapLoadDuration);
            } else {
                answer = jsonAnswer(200, { { "counts", tokenCounts() } });
            }
            answer.headers.emplace_back(std::string(requestIdHeader), std::string(request.header(requestIdHeader)));
            co_await responder.respond(answer);
        }

        // Tokens by layer and expert. The popular experts change every second, so that the planner has a reason
        // to change the map.
        static json::array tokenCounts()
        {
            constexpr int64_t rotationMillis = 1000;
            constexpr double mostTokens = 1e5;
            const auto rotation = static_cast<int>(unixMillis() / rotationMillis % expertCount);
            json::array layers;
            for (int layer = 0; layer < layerCount; ++layer) {
                json::array counts;
                for (int expert = 0; expert < expertCount; ++expert)
                    counts.push_back(std::floor(mostTokens / (1 + (expert + rotation * 7 + layer) % expertCount)));
                layers.push_back(std::move(counts));
            }
            return layers;
        }

        RankFakeSettings m_settings;
        FakeServer m_server;
    };

} // namespace

int runRank(const RankFakeSettings& settings)
{
    return RankFake(settings).run();
}

} // namespace orioletrail::fakes
