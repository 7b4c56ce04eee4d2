#include "fakes/platform.h"

#include <boost/json.hpp>
#include <charconv>
#include <map>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    struct StoredObject {
        uint64_t revision = 0;
        std::string value;
        bool deleted = false;
    };

    uint64_t numberOf(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    class PlatformFake {
    public:
        explicit PlatformFake(const PlatformFakeSettings& settings)
            : m_fake(settings.common)
            , m_latency(settings.latency)
        {
        }

        int run()
        {
            return m_fake.run([this](const HttpRequest& request, Responder& responder) { return handle(request, responder); }) ? 0 : 1;
        }

    private:
        Task<> handle(const HttpRequest& request, Responder& responder)
        {
            constexpr std::string_view objects = "/v1/objects/";
            if (request.path() == "/record") {
                const HttpAnswer answer = jsonAnswer(200, { { "reads", m_reads }, { "writes", m_writes }, { "revision", m_revision } });
                co_await responder.respond(answer);
                co_return;
            }
            // Only writes use up the loss of answers.
            const std::string fault = m_fake.takeFault(request.method == "GET" ? "down slow" : "down slow drop");
            if (fault == "down") {
                responder.abort();
                co_return;
            }
            co_await sleepFor(fault == "slow" ? m_fake.faultDelay() : m_latency);
            HttpAnswer answer = jsonAnswer(404, {});
            if (request.path() == "/v1/list")
                answer = co_await list(request);
            else if (request.path().starts_with(objects))
                answer = access(request, std::string(request.path().substr(objects.size())));
            if (fault == "drop") {
                m_fake.record({ { "what", "dropped" } });
                responder.abort();
            } else {
                co_await responder.respond(answer);
            }
        }

        HttpAnswer access(const HttpRequest& request, const std::string& key)
        {
            const auto found = m_objects.find(key);
            const bool exists = found != m_objects.end() && !found->second.deleted;
            if (request.method == "GET") {
                ++m_reads;
                return exists ? jsonAnswer(200, { { "revision", found->second.revision }, { "value", found->second.value } }) : jsonAnswer(404, {});
            }
            ++m_writes;
            const uint64_t held = exists ? found->second.revision : 0;
            if (numberOf(request.query("expect")) != held)
                return jsonAnswer(409, { { "revision", held } });
            const bool deleted = request.method == "DELETE";
            m_objects[key] = { ++m_revision, request.body, deleted };
            m_fake.record({ { "what", deleted ? "delete" : "put" }, { "key", key }, { "revision", m_revision } });
            return jsonAnswer(200, { { "revision", m_revision } });
        }

        json::array changes(std::string_view prefix, uint64_t since) const
        {
            json::array array;
            for (const auto& [key, object] : m_objects) {
                if (!key.starts_with(prefix) || object.revision <= since || (object.deleted && !since))
                    continue;
                json::object change { { "key", key }, { "revision", object.revision } };
                change["value"] = object.deleted ? json::value() : json::value(object.value);
                array.push_back(std::move(change));
            }
            return array;
        }

        Task<HttpAnswer> list(const HttpRequest& request)
        {
            constexpr Millis poll { 5 };
            ++m_reads;
            const std::string prefix(request.query("prefix"));
            const uint64_t since = numberOf(request.query("since"));
            const TimePoint until = Clock::now() + Millis(numberOf(request.query("wait")));
            json::array found = changes(prefix, since);
            while (found.empty() && Clock::now() < until) {
                co_await sleepFor(poll);
                found = changes(prefix, since);
            }
            co_return jsonAnswer(200, { { "revision", m_revision }, { "objects", std::move(found) } });
        }

        Fake m_fake;
        Millis m_latency;
        std::map<std::string, StoredObject> m_objects;
        uint64_t m_revision = 0;
        uint64_t m_reads = 0;
        uint64_t m_writes = 0;
    };

} // namespace

int runPlatform(const PlatformFakeSettings& settings)
{
    return PlatformFake(settings).run();
}

} // namespace orioletrail::fakes
