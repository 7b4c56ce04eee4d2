#include "fakes/service.h"

#include <boost/json.hpp>
#include <random>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    constexpr Millis stallTime { 600'000 };

    class ServiceFake {
    public:
        explicit ServiceFake(const ServiceFakeSettings& settings)
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
                const HttpAnswer answer = jsonAnswer(200, { { "start", m_start }, { "inFlight", m_inFlight } });
                co_await responder.respond(answer);
                co_return;
            }
            ++m_inFlight;
            const bool order = request.method == "POST";
            m_fake.record({ { "what", order ? "order" : "lookup" }, { "request", request.header("X-Request-Id") }, { "key", request.header("Idempotency-Key") }, { "body", request.body } });
            const std::string fault = m_fake.takeFault(order ? "lose slow stall" : "slow stall");
            co_await sleepFor(fault == "stall" ? stallTime : fault == "slow" ? m_fake.faultDelay()
                                                                             : m_settings.orderTime);
            if (fault == "lose") {
                responder.abort();
            } else {
                const HttpAnswer answer = jsonAnswer(order ? 201 : 200, { { order ? "printed" : "path", order ? request.body : request.target } });
                co_await responder.respond(answer);
            }
            --m_inFlight;
        }

        ServiceFakeSettings m_settings;
        Fake m_fake;
        uint64_t m_start = std::random_device {}() + 1ULL;
        uint32_t m_inFlight = 0;
    };

} // namespace

int runService(const ServiceFakeSettings& settings)
{
    return ServiceFake(settings).run();
}

} // namespace orioletrail::fakes
