#include "fakes/platform.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <map>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    struct HeldObject {
        uint64_t created = 0;
        uint64_t revision = 0;
        json::value spec;
        bool deleted = false;
    };

    // Objects by name, deleted ones included.
    using Kind = std::map<std::string, HeldObject, std::less<>>;

    // What a request is about: "KIND" or "KIND/NAME".
    struct ObjectPath {
        std::string kind;
        std::string name;
    };

    ObjectPath parsePath(std::string_view path)
    {
        const size_t slash = std::min(path.find('/'), path.size());
        return { std::string(path.substr(0, slash)), std::string(path.substr(std::min(slash + 1, path.size()))) };
    }

    uint64_t numberOf(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    json::object describe(const std::string& name, const HeldObject& object)
    {
        json::object metadata { { "name", name }, { "revision", object.revision }, { "created", object.created }, { "finalizers", json::array() }, { "deleting", false } };
        json::object described;
        described["metadata"] = std::move(metadata);
        described["spec"] = object.spec;
        described["status"] = nullptr;
        return described;
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
            constexpr std::string_view objects = "/orioletrail/objects/";
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
            if (request.path().starts_with(objects)) {
                const ObjectPath path = parsePath(request.path().substr(objects.size()));
                if (request.method != "GET")
                    answer = write(request, path);
                else if (!path.name.empty())
                    answer = read(path);
                else if (!request.query("watch").empty())
                    answer = co_await watch(request, path);
                else
                    answer = list(request, path);
            }
            if (fault == "drop") {
                m_fake.record({ { "what", "dropped" } });
                responder.abort();
            } else {
                co_await responder.respond(answer);
            }
        }

        HttpAnswer read(const ObjectPath& path)
        {
            ++m_reads;
            const Kind& kind = m_kinds[path.kind];
            const auto found = kind.find(path.name);
            return found == kind.end() || found->second.deleted ? jsonAnswer(404, {}) : jsonAnswer(200, describe(found->first, found->second));
        }

        HttpAnswer write(const HttpRequest& request, ObjectPath path)
        {
            ++m_writes;
            boost::system::error_code error;
            const json::value body = request.body.empty() ? json::value(json::object()) : json::parse(request.body, error);
            if (error || !body.is_object())
                return jsonAnswer(400, {});
            const json::value* metadata = body.get_object().if_contains("metadata");
            const json::object* fields = metadata ? metadata->if_object() : nullptr;
            uint64_t expected = numberOf(request.query("revision"));
            if (fields && fields->contains("revision"))
                expected = fields->at("revision").to_number<uint64_t>();
            if (request.method == "POST" && fields && fields->contains("name"))
                path.name = std::string(fields->at("name").as_string());
            HeldObject& held = m_kinds[path.kind][path.name];
            const bool exists = held.revision && !held.deleted;
            if (request.method == "POST" ? exists : exists && expected && expected != held.revision)
                return jsonAnswer(409, describe(path.name, held));
            if (request.method != "POST" && !exists)
                return jsonAnswer(404, {});
            change(path, held, request.method == "DELETE", body.get_object());
            return jsonAnswer(200, describe(path.name, held));
        }

        void change(const ObjectPath& path, HeldObject& held, bool deleted, const json::object& body)
        {
            held.revision = ++m_revision;
            held.created = held.created && !held.deleted ? held.created : held.revision;
            held.deleted = deleted;
            if (!deleted)
                held.spec = body.contains("spec") ? body.at("spec") : json::value();
            m_fake.record({ { "what", deleted ? "delete" : "put" }, { "kind", path.kind }, { "object", path.name }, { "revision", m_revision } });
        }

        HttpAnswer list(const HttpRequest& request, const ObjectPath& path)
        {
            constexpr size_t page = 500;
            ++m_reads;
            const Kind& kind = m_kinds[path.kind];
            json::array items;
            auto at = kind.upper_bound(request.query("after"));
            for (; at != kind.end() && items.size() < page; ++at)
                if (!at->second.deleted)
                    items.push_back(describe(at->first, at->second));
            return jsonAnswer(200, { { "items", std::move(items) }, { "has_more", at != kind.end() }, { "at", m_revision } });
        }

        json::array eventsSince(const std::string& kind, uint64_t since)
        {
            std::map<uint64_t, json::object> ordered;
            for (const auto& [name, object] : m_kinds[kind])
                if (object.revision > since)
                    ordered.emplace(object.revision, json::object { { "deleted", object.deleted }, { "object", describe(name, object) } });
            json::array events;
            for (auto& [revision, event] : ordered)
                events.push_back(std::move(event));
            return events;
        }

        Task<HttpAnswer> watch(const HttpRequest& request, const ObjectPath& path)
        {
            constexpr Millis poll { 5 };
            ++m_reads;
            const uint64_t since = numberOf(request.query("watch"));
            const TimePoint until = Clock::now() + Millis(numberOf(request.query("wait_ms")));
            json::array events = eventsSince(path.kind, since);
            while (events.empty() && Clock::now() < until) {
                co_await sleepFor(poll);
                events = eventsSince(path.kind, since);
            }
            co_return jsonAnswer(200, { { "events", std::move(events) }, { "at", m_revision } });
        }

        Fake m_fake;
        Millis m_latency;
        std::map<std::string, Kind> m_kinds;
        // Revisions start above 0, so that 0 stands for an object that does not exist.
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
