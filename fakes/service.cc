#include "fakes/service.h"

#include <boost/json.hpp>
#include <random>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    constexpr Millis stallDuration { 600'000 };

    class ServiceFake {
    public:
        explicit ServiceFake(const ServiceFakeSettings& settings)
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
                const HttpResponse answer = jsonAnswer(200, { { "start", m_startId }, { "inFlight", m_inFlight } });
                co_await responder.respond(answer);
                co_return;
            }
            const std::string fault = m_server.consumeFault("lose slow stall leaving pause");
            if (fault == "pause") {
                m_server.writeRecord({ { "what", "rejected" }, { "request", request.header("X-Request-Id") } });
                HttpResponse answer = jsonAnswer(503, {});
                answer.headers.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(m_server.faultDelay()).count()));
                co_await responder.respond(answer);
                co_return;
            }
            ++m_inFlight;
            const bool isOrder = request.method == "POST";
            m_server.writeRecord({ { "what", isOrder ? "order" : "lookup" }, { "request", request.header("X-Request-Id") }, { "key", request.header("Idempotency-Key") }, { "body", request.body } });
            co_await sleepFor(fault == "stall" ? stallDuration : fault == "slow" ? m_server.faultDelay()
                                                                                 : m_settings.responseTime);
            if (fault == "lose") {
                responder.abort();
            } else {
                HttpResponse answer = jsonAnswer(isOrder ? 201 : 200, { { isOrder ? "printed" : "path", isOrder ? request.body : request.target } });
                if (fault == "leaving")
                    answer.headers.emplace_back("Server-Leaving", "1");
                co_await responder.respond(answer);
            }
            --m_inFlight;
        }

        ServiceFakeSettings m_settings;
        FakeServer m_server;
        uint64_t m_startId = std::random_device {}() + 1ULL;
        uint32_t m_inFlight = 0;
    };

} // namespace

int runService(const ServiceFakeSettings& settings)
{
    return ServiceFake(settings).run();
}

} // namespace orioletrail::fakes
