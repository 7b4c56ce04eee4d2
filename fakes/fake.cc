#include "fakes/fake.h"

#include "base/digest.h"

#include <boost/json.hpp>
#include <iostream>

namespace orioletrail::fakes {

namespace json = boost::json;

FakeServer::FakeServer(const FakeSettings& settings)
    : m_settings(settings)
{
    if (!settings.recordPath.empty())
        m_recordFile.open(settings.recordPath, std::ios::app);
}

bool FakeServer::run(HttpHandler handler)
{
    const auto address = parseAddress(m_settings.listen);
    auto route = [this, handler](const HttpRequest& request, Responder& responder) -> Task<> {
        if (request.path() != "/fault") {
            co_await handler(request, responder);
            co_return;
        }
        const json::value value = json::parse(request.body);
        m_fault.mode = std::string(value.at("mode").as_string());
        m_fault.delay = Millis(value.as_object().contains("delayMs") ? value.at("delayMs").to_number<int>() : 0);
        m_fault.remaining = value.as_object().contains("count") ? value.at("count").to_number<uint32_t>() : 0;
        const HttpResponse answer = jsonAnswer(200, {});
        co_await responder.respond(answer);
    };
    HttpLimits limits;
    limits.receiveTimeout = std::chrono::hours(1);
    limits.idleTimeout = limits.receiveTimeout;
    HttpServer server(m_ioContext.get_executor(), limits, route, [](unsigned status, Reason) { return HttpResponse { status, {}, {} }; });
    if (!address || !server.listen(address->first, address->second)) {
        std::cerr << "orioletrail-fakes: " << server.lastError() << '\n';
        return false;
    }
    m_ioContext.run();
    return true;
}

void FakeServer::writeRecord(json::object event)
{
    if (!m_recordFile.is_open())
        return;
    event["name"] = m_settings.name;
    event["at"] = unixMillis();
    m_recordFile << json::serialize(event) << std::endl;
}

std::string FakeServer::consumeFault(std::string_view supportedModes)
{
    if (m_fault.mode == "none" || supportedModes.find(m_fault.mode) == std::string_view::npos)
        return "none";
    std::string mode = m_fault.mode;
    if (m_fault.remaining && !--m_fault.remaining)
        m_fault.mode = "none";
    return mode;
}

HttpResponse jsonAnswer(unsigned status, const json::object& body)
{
    return { status, { { "Content-Type", "application/json" } }, json::serialize(body) };
}

int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::vector<std::string> completionTokens(std::string_view prompt, size_t count)
{
    constexpr uint64_t vocabularySize = 10'000;
    std::vector<std::string> tokens;
    for (size_t i = 0; i < count; ++i)
        tokens.push_back("w" + std::to_string(hash64(prompt, i) % vocabularySize) + " ");
    return tokens;
}

} // namespace orioletrail::fakes
