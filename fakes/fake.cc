#include "fakes/fake.h"

#include "base/digest.h"

#include <boost/json.hpp>
#include <iostream>

namespace orioletrail::fakes {

namespace json = boost::json;

Fake::Fake(const FakeSettings& settings)
    : m_settings(settings)
{
    if (!settings.record.empty())
        m_file.open(settings.record, std::ios::app);
}

bool Fake::run(HttpHandler handler)
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
        m_fault.count = value.as_object().contains("count") ? value.at("count").to_number<uint32_t>() : 0;
        const HttpAnswer answer = jsonAnswer(200, {});
        co_await responder.respond(answer);
    };
    HttpLimits limits;
    limits.receiveTimeout = std::chrono::hours(1);
    limits.idleTimeout = limits.receiveTimeout;
    HttpServer server(m_context.get_executor(), limits, route, [](unsigned status, Reason) { return HttpAnswer { status, {}, {} }; });
    if (!address || !server.listen(address->first, address->second)) {
        std::cerr << "orioletrail-fakes: " << server.lastError() << '\n';
        return false;
    }
    m_context.run();
    return true;
}

void Fake::record(json::object line)
{
    if (!m_file.is_open())
        return;
    line["name"] = m_settings.name;
    line["at"] = unixMillis();
    m_file << json::serialize(line) << std::endl;
}

std::string Fake::takeFault(std::string_view among)
{
    if (m_fault.mode == "none" || among.find(m_fault.mode) == std::string_view::npos)
        return "none";
    std::string mode = m_fault.mode;
    if (m_fault.count && !--m_fault.count)
        m_fault.mode = "none";
    return mode;
}

HttpAnswer jsonAnswer(unsigned status, const json::object& body)
{
    return { status, { { "Content-Type", "application/json" } }, json::serialize(body) };
}

int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::vector<std::string> tokensOf(std::string_view prompt, size_t count)
{
    constexpr uint64_t words = 10'000;
    std::vector<std::string> tokens;
    for (size_t i = 0; i < count; ++i)
        tokens.push_back("w" + std::to_string(hash64(prompt, i) % words) + " ");
    return tokens;
}

} // namespace orioletrail::fakes
