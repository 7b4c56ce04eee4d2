#include "fakes/caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <random>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    constexpr Millis pauseBetweenRequests { 5 };
    constexpr Millis retryPause { 50 };
    // Share of orders that are sent a second time with the same key.
    constexpr double repeatedOrderShare = 0.25;

    // Joins the content of all events of a completion stream. Returns nothing if an event is malformed or the
    // stream does not end with "[DONE]".
    std::optional<std::string> completionText(std::string_view events)
    {
        std::string text;
        constexpr std::string_view prefix = "data: ";
        for (size_t position = 0; position < events.size();) {
            const size_t end = std::min(events.find("\n\n", position), events.size());
            const std::string_view event = events.substr(position, end - position);
            position = end + 2;
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

    // Returns whether a successful answer is the one expected.
    using AnswerCheck = std::function<bool(const HttpResult&)>;

    class LoadGenerator {
    public:
        explicit LoadGenerator(const CallerSettings& settings)
            : m_settings(settings)
            , m_generator(settings.seed)
            , m_results(settings.resultsPath, std::ios::app)
        {
            for (const std::string& entry : settings.entries) {
                const auto address = parseAddress(entry);
                m_clients.push_back(std::make_unique<HttpClient>(m_context.get_executor(), address->first, address->second));
            }
        }

        int run()
        {
            m_endTime = Clock::now() + m_settings.duration;
            for (uint32_t i = 0; i < m_settings.callers; ++i)
                boost::asio::co_spawn(m_context, callLoop(), boost::asio::detached);
            m_context.run();
            return 0;
        }

    private:
        double randomFraction() { return std::uniform_real_distribution<>(0, 1)(m_generator); }

        Task<> callLoop()
        {
            while (Clock::now() < m_endTime) {
                const double choice = randomFraction();
                if (choice < m_settings.orderShare)
                    co_await sendOrder();
                else if (choice < m_settings.orderShare + m_settings.lookupShare)
                    co_await sendLookup();
                else
                    co_await sendCompletion();
                co_await sleepFor(pauseBetweenRequests);
            }
        }

        HttpCall makeCall(std::string method, std::string target, std::string body)
        {
            HttpCall call;
            call.request.method = std::move(method);
            call.request.target = std::move(target);
            call.request.body = std::move(body);
            call.request.headers = { { "Authorization", "Bearer " + m_settings.token }, { "X-Request-Id", "r" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_requestCount) } };
            call.timeout = Millis(15'000);
            // Requests other than GET use a fresh connection, since an entry that shuts down may close an idle
            // one while a request is on its way.
            call.allowReuse = call.request.method == "GET";
            return call;
        }

        // Pass named objects, never temporaries: GCC 12 destroys a closure twice if it is created within a
        // co_await expression.
        Task<HttpResult> sendAndRecord(std::string_view kind, HttpCall& call, const std::string& idempotencyKey, const AnswerCheck& isCorrect)
        {
            const std::string requestId = call.request.headers[1].second;
            const TimePoint sent = Clock::now();
            const size_t index = std::uniform_int_distribution<size_t>(0, m_clients.size() - 1)(m_generator);
            HttpResult result = co_await m_clients[index]->call(std::move(call));
            json::object record { { "what", kind }, { "request", requestId }, { "key", idempotencyKey }, { "status", result.ok() ? result.status : 0 }, { "at", unixMillis() } };
            record["ms"] = std::chrono::duration_cast<Millis>(Clock::now() - sent).count();
            record["failure"] = static_cast<int>(result.failure);
            if (result.ok() && result.status < 300)
                record["right"] = isCorrect(result);
            boost::system::error_code error;
            const json::value problem = json::parse(result.body, error);
            if (result.ok() && result.status >= 400 && !error && problem.is_object() && problem.as_object().contains("reason")) {
                record["reason"] = problem.at("reason");
                record["run"] = problem.at("run");
            }
            m_results << json::serialize(record) << std::endl;
            co_return result;
        }

        Task<> sendOrder()
        {
            const std::string idempotencyKey = "order-" + std::to_string(m_settings.seed) + "-" + std::to_string(++m_orderCount);
            const std::string body = "labels for " + idempotencyKey;
            const bool isRepeated = randomFraction() < repeatedOrderShare;
            const AnswerCheck isCorrect = [body](const HttpResult& result) { return json::parse(result.body).at("printed").as_string() == body; };
            for (int i = 0; i < (isRepeated ? 2 : 1); ++i) {
                HttpCall call = makeCall("POST", "/services/" + m_settings.service + "/orders", body);
                call.request.headers.emplace_back("Idempotency-Key", idempotencyKey);
                const HttpResult result = co_await sendAndRecord("order", call, idempotencyKey, isCorrect);
                if (!result.ok() || result.status >= 500)
                    co_await sleepFor(retryPause);
            }
        }

        Task<> sendLookup()
        {
            const std::string target = "/orders/" + std::to_string(m_generator() % 1000);
            HttpCall call = makeCall("GET", "/services/" + m_settings.service + target, "");
            const AnswerCheck isCorrect = [target](const HttpResult& result) { return json::parse(result.body).at("path").as_string() == target; };
            co_await sendAndRecord("lookup", call, m_emptyKey, isCorrect);
        }

        Task<> sendCompletion()
        {
            const json::array messages { json::object { { "role", "user" }, { "content", "recipe " + std::to_string(m_generator() % 50) } } };
            constexpr size_t tokens = 12;
            const json::object body { { "model", m_settings.model }, { "stream", true }, { "max_tokens", tokens }, { "messages", messages } };
            std::string expected;
            for (const std::string& token : completionTokens(json::serialize(messages), tokens))
                expected += token;
            HttpCall call = makeCall("POST", "/v1/chat/completions", json::serialize(body));
            const AnswerCheck isCorrect = [expected](const HttpResult& result) { return completionText(result.body) == expected; };
            co_await sendAndRecord("completion", call, m_emptyKey, isCorrect);
        }

        const std::string m_emptyKey;
        CallerSettings m_settings;
        std::mt19937_64 m_generator;
        std::ofstream m_results;
        boost::asio::io_context m_context { 1 };
        std::vector<std::unique_ptr<HttpClient>> m_clients;
        TimePoint m_endTime;
        uint64_t m_requestCount = 0;
        uint64_t m_orderCount = 0;
    };

} // namespace

int runCallers(const CallerSettings& settings)
{
    return LoadGenerator(settings).run();
}

} // namespace orioletrail::fakes
