#include "fakes/rank.h"

#include <boost/json.hpp>
#include <charconv>
#include <cmath>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    constexpr Millis stallTime { 600'000 };
    constexpr int layers = 2;
    constexpr int experts = 64;

    uint64_t numberOf(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    class RankFake {
    public:
        explicit RankFake(const RankFakeSettings& settings)
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
            HttpAnswer answer = jsonAnswer(200, {});
            if (request.path() == "/step") {
                m_fake.record({ { "what", "step" }, { "token", numberOf(request.query("token")) }, { "number", numberOf(request.query("number")) }, { "version", numberOf(request.query("version")) } });
                const std::string fault = m_fake.takeFault("stall slow");
                co_await sleepFor(fault == "stall" ? stallTime : fault == "slow" ? m_fake.faultDelay()
                                                                                 : m_settings.stepTime);
            } else if (request.path() == "/load") {
                m_fake.record({ { "what", "load" }, { "version", numberOf(request.query("version")) } });
                co_await sleepFor(m_settings.loadTime);
            } else {
                answer = jsonAnswer(200, { { "counts", counts() } });
            }
            co_await responder.respond(answer);
        }

        // Popular experts change places every second, so that there is reason to change the map.
        static json::array counts()
        {
            constexpr int64_t shiftMillis = 1000;
            constexpr double tokens = 1e5;
            const auto shift = static_cast<int>(unixMillis() / shiftMillis % experts);
            json::array all;
            for (int layer = 0; layer < layers; ++layer) {
                json::array counts;
                for (int expert = 0; expert < experts; ++expert)
                    counts.push_back(std::floor(tokens / (1 + (expert + shift * 7 + layer) % experts)));
                all.push_back(std::move(counts));
            }
            return all;
        }

        RankFakeSettings m_settings;
        Fake m_fake;
    };

} // namespace

int runRank(const RankFakeSettings& settings)
{
    return RankFake(settings).run();
}

} // namespace orioletrail::fakes
