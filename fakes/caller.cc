#include "fakes/caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <random>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    constexpr Millis pauseBetween { 5 };
    constexpr Millis retryPause { 50 };
    constexpr double repeatedOrders = 0.25;

    // The text that a stream of events carries, or nothing if it does not end as complete.
    std::optional<std::string> textOf(std::string_view events)
    {
        std::string text;
        constexpr std::string_view prefix = "data: ";
        for (size_t at = 0; at < events.size();) {
            const size_t end = std::min(events.find("\n\n", at), events.size());
            const std::string_view event = events.substr(at, end - at);
            at = end + 2;
            if (!event.starts_with(prefix))
                return std::nullopt;
            if (event.substr(prefix.size()) == "[DONE]")
                return text;
            boost::system::error_code error;
            const json::value value = json::parse(event.substr(prefix.size()), error);
            if (error || !value.as_object().contains("choices"))
                return std::nullopt;
            text += std::string_view(value.at("choices").at(0).at("delta").at("content").as_string());
        }
        return std::nullopt;
    }

    using AnswerCheck = std::function<bool(const HttpResult&)>;

    class Callers {
    public:
        explicit Callers(const CallerSettings& settings)
            : m_settings(settings)
            , m_random(settings.seed)
            , m_told(settings.told, std::ios::app)
        {
            for (const std::string& entry : settings.entries) {
                const auto address = parseAddress(entry);
                m_clients.push_back(std::make_unique<HttpClient>(m_context.get_executor(), address->first, address->second));
            }
        }

        int run()
        {
            m_until = Clock::now() + m_settings.duration;
            for (uint32_t i = 0; i < m_settings.callers; ++i)
                boost::asio::co_spawn(m_context, callLoop(), boost::asio::detached);
            m_context.run();
            return 0;
        }

    private:
        double draw() { return std::uniform_real_distribution<>(0, 1)(m_random); }

        Task<> callLoop()
        {
            while (Clock::now() < m_until) {
                const double kind = draw();
                if (kind < m_settings.orders)
                    co_await order();
                else if (kind < m_settings.orders + m_settings.lookups)
                    co_await lookup();
                else
                    co_await completion();
                co_await sleepFor(pauseBetween);
            }
        }

        HttpCall makeCall(std::string method, std::string target, std::string body)
        {
            HttpCall call;
            call.request.method = std::move(method);
            call.request.target = std::move(target);
            call.request.body = std::move(body);
            call.request.headers = { { "Authorization", "Bearer " + m_settings.token }, { "X-Request-Id", "r" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_requests) } };
            call.timeout = Millis(15'000);
            // A kept connection may be closed by an entry that is leaving.
            call.reuse = call.request.method == "GET";
            return call;
        }

        // Arguments are named objects at every call: GCC 12 destroys a closure twice that is made
        // within a co_await expression.
        Task<HttpResult> send(std::string_view what, HttpCall& call, const std::string& key, const AnswerCheck& isRight)
        {
            const std::string requestId = call.request.headers[1].second;
            const TimePoint sent = Clock::now();
            const size_t index = std::uniform_int_distribution<size_t>(0, m_clients.size() - 1)(m_random);
            HttpResult result = co_await m_clients[index]->call(std::move(call));
            json::object line { { "what", what }, { "request", requestId }, { "key", key }, { "status", result.ok() ? result.status : 0 }, { "at", unixMillis() } };
            line["ms"] = std::chrono::duration_cast<Millis>(Clock::now() - sent).count();
            line["failure"] = static_cast<int>(result.failure);
            if (result.ok() && result.status < 300)
                line["right"] = isRight(result);
            boost::system::error_code error;
            const json::value problem = json::parse(result.body, error);
            if (result.ok() && result.status >= 400 && !error && problem.is_object() && problem.as_object().contains("reason")) {
                line["reason"] = problem.at("reason");
                line["run"] = problem.at("run");
            }
            m_told << json::serialize(line) << std::endl;
            co_return result;
        }

        Task<> order()
        {
            const std::string key = "order-" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_orders);
            const std::string body = "labels for " + key;
            const bool repeated = draw() < repeatedOrders;
            const AnswerCheck isRight = [body](const HttpResult& result) { return json::parse(result.body).at("printed").as_string() == body; };
            for (int i = 0; i < (repeated ? 2 : 1); ++i) {
                HttpCall call = makeCall("POST", "/services/" + m_settings.service + "/orders", body);
                call.request.headers.emplace_back("Idempotency-Key", key);
                const HttpResult result = co_await send("order", call, key, isRight);
                if (!result.ok() || result.status >= 500)
                    co_await sleepFor(retryPause);
            }
        }

        Task<> lookup()
        {
            const std::string target = "/orders/" + std::to_string(m_random() % 1000);
            HttpCall call = makeCall("GET", "/services/" + m_settings.service + target, "");
            const AnswerCheck isRight = [target](const HttpResult& result) { return json::parse(result.body).at("path").as_string() == target; };
            co_await send("lookup", call, m_noKey, isRight);
        }

        Task<> completion()
        {
            const json::array messages { json::object { { "role", "user" }, { "content", "recipe " + std::to_string(m_random() % 50) } } };
            constexpr size_t tokens = 12;
            const json::object body { { "model", m_settings.model }, { "stream", true }, { "max_tokens", tokens }, { "messages", messages } };
            std::string expected;
            for (const std::string& token : tokensOf(json::serialize(messages), tokens))
                expected += token;
            HttpCall call = makeCall("POST", "/v1/chat/completions", json::serialize(body));
            const AnswerCheck isRight = [expected](const HttpResult& result) { return textOf(result.body) == expected; };
            co_await send("completion", call, m_noKey, isRight);
        }

        const std::string m_noKey;
        CallerSettings m_settings;
        std::mt19937_64 m_random;
        std::ofstream m_told;
        boost::asio::io_context m_context { 1 };
        std::vector<std::unique_ptr<HttpClient>> m_clients;
        TimePoint m_until;
        uint64_t m_requests = 0;
        uint64_t m_orders = 0;
    };

} // namespace

int runCallers(const CallerSettings& settings)
{
    return Callers(settings).run();
}

} // namespace orioletrail::fakes
