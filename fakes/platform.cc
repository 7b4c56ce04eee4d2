#include "fakes/platform.h"

#include "gateway/url.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <map>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    struct StoredObject {
        // Revisions of its creation and of its last change.
        uint64_t created = 0;
        uint64_t revision = 0;
        json::value spec;
        bool deleted = false;
    };

    // Objects of one kind by name. Deleted objects are kept, so that watches report the deletion.
    using ObjectMap = std::map<std::string, StoredObject, std::less<>>;

    // Path below /orioletrail/objects/: "KIND" or "KIND/NAME"; the name is empty for the former.
    struct ObjectPath {
        std::string kind;
        std::string name;
    };

    // A write with the state before it.
    struct Write {
        TimePoint at;
        ObjectPath path;
        StoredObject before;
        uint64_t revisionBefore = 0;
    };

    // Nothing if an escape is malformed.
    std::optional<ObjectPath> parsePath(std::string_view path)
    {
        const size_t slash = std::min(path.find('/'), path.size());
        const auto kind = percentDecode(path.substr(0, slash));
        const auto name = percentDecode(path.substr(std::min(slash + 1, path.size())));
        return kind && name ? std::optional(ObjectPath { *kind, *name }) : std::nullopt;
    }

    uint64_t parseNumber(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    json::object objectJson(const std::string& name, const StoredObject& object)
    {
        json::object metadata { { "name", name }, { "revision", object.revision }, { "created", object.created }, { "finalizers", json::array() }, { "deleting", false } };
        json::object result;
        result["metadata"] = std::move(metadata);
        result["spec"] = object.spec;
        result["status"] = nullptr;
        return result;
    }

    class PlatformFake {
    public:
        explicit PlatformFake(const PlatformFakeSettings& settings)
            : m_server(settings.common)
            , m_latency(settings.latency)
        {
        }

        int run()
        {
            return m_server.run([this](const HttpRequest& request, Responder& responder) { return handle(request, responder); }) ? 0 : 1;
        }

    private:
        Task<> handle(const HttpRequest& request, Responder& responder)
        {
            constexpr std::string_view objectsPrefix = "/orioletrail/objects/";
            if (request.path() == "/restore") {
                restore(Millis(parseNumber(request.query("age_ms"))));
                const HttpResponse answer = jsonAnswer(200, { { "era", m_era }, { "revision", m_revision } });
                co_await responder.respond(answer);
                co_return;
            }
            if (request.path() == "/record") {
                const HttpResponse answer = jsonAnswer(200, { { "reads", m_reads }, { "writes", m_writes }, { "revision", m_revision } });
                co_await responder.respond(answer);
                co_return;
            }
            // Reads do not use up a "drop" fault.
            const std::string fault = m_server.consumeFault(request.method == "GET" ? "down slow" : "down slow drop");
            if (fault == "down") {
                responder.abort();
                co_return;
            }
            co_await sleepFor(fault == "slow" ? m_server.faultDelay() : m_latency);
            HttpResponse answer = jsonAnswer(404, {});
            if (request.path().starts_with(objectsPrefix)) {
                const std::optional<ObjectPath> path = parsePath(request.path().substr(objectsPrefix.size()));
                if (!path)
                    answer = jsonAnswer(400, {});
                else if (request.method != "GET")
                    answer = write(request, *path);
                else if (!path->name.empty())
                    answer = read(*path);
                else if (!request.query("watch").empty())
                    answer = co_await watch(request, *path);
                else
                    answer = list(request, *path);
            }
            answer.headers.emplace_back("Store-Era", std::to_string(m_era));
            if (fault == "drop") {
                m_server.writeRecord({ { "what", "dropped" } });
                responder.abort();
            } else {
                co_await responder.respond(answer);
            }
        }

        // Undoes all writes of the last `age`. Later writes get the revisions of those again.
        void restore(Millis age)
        {
            const TimePoint since = Clock::now() - age;
            while (!m_history.empty() && m_history.back().at >= since) {
                Write& last = m_history.back();
                m_revision = last.revisionBefore;
                ObjectMap& kind = m_objectsByKind[last.path.kind];
                if (last.before.revision)
                    kind[last.path.name] = std::move(last.before);
                else
                    kind.erase(last.path.name);
                m_history.pop_back();
            }
            ++m_era;
            m_server.writeRecord({ { "what", "restored" }, { "era", m_era }, { "revision", m_revision } });
        }

        HttpResponse read(const ObjectPath& path)
        {
            ++m_reads;
            const ObjectMap& kind = m_objectsByKind[path.kind];
            const auto found = kind.find(path.name);
            return found == kind.end() || found->second.deleted ? jsonAnswer(404, {}) : jsonAnswer(200, objectJson(found->first, found->second));
        }

        HttpResponse write(const HttpRequest& request, ObjectPath path)
        {
            ++m_writes;
            boost::system::error_code error;
            const json::value body = request.body.empty() ? json::value(json::object()) : json::parse(request.body, error);
            if (error || !body.is_object())
                return jsonAnswer(400, {});
            const json::value* metadata = body.get_object().if_contains("metadata");
            const json::object* fields = metadata ? metadata->if_object() : nullptr;
            uint64_t expected = parseNumber(request.query("revision"));
            if (fields && fields->contains("revision"))
                expected = fields->at("revision").to_number<uint64_t>();
            if (request.method == "POST" && fields && fields->contains("name"))
                path.name = std::string(fields->at("name").as_string());
            StoredObject& stored = m_objectsByKind[path.kind][path.name];
            const bool exists = stored.revision && !stored.deleted;
            if (request.method == "POST" ? exists : exists && expected && expected != stored.revision)
                return jsonAnswer(409, objectJson(path.name, stored));
            if (request.method != "POST" && !exists)
                return jsonAnswer(404, {});
            updateObject(path, stored, request.method == "DELETE", body.get_object());
            return jsonAnswer(200, objectJson(path.name, stored));
        }

        void updateObject(const ObjectPath& path, StoredObject& stored, bool deleted, const json::object& body)
        {
            m_history.push_back({ Clock::now(), path, stored, m_revision });
            stored.revision = ++m_revision;
            stored.created = stored.created && !stored.deleted ? stored.created : stored.revision;
            stored.deleted = deleted;
            if (!deleted)
                stored.spec = body.contains("spec") ? body.at("spec") : json::value();
            m_server.writeRecord({ { "what", deleted ? "delete" : "put" }, { "kind", path.kind }, { "object", path.name }, { "revision", m_revision } });
        }

        HttpResponse list(const HttpRequest& request, const ObjectPath& path)
        {
            constexpr size_t pageSize = 500;
            ++m_reads;
            const ObjectMap& kind = m_objectsByKind[path.kind];
            const auto after = percentDecodeQuery(request.query("after"));
            if (!after)
                return jsonAnswer(400, {});
            json::array items;
            auto at = kind.upper_bound(*after);
            for (; at != kind.end() && items.size() < pageSize; ++at)
                if (!at->second.deleted)
                    items.push_back(objectJson(at->first, at->second));
            return jsonAnswer(200, { { "items", std::move(items) }, { "has_more", at != kind.end() }, { "at", m_revision } });
        }

        json::array eventsSince(const std::string& kind, uint64_t since)
        {
            std::map<uint64_t, json::object> ordered;
            for (const auto& [name, object] : m_objectsByKind[kind])
                if (object.revision > since)
                    ordered.emplace(object.revision, json::object { { "deleted", object.deleted }, { "object", objectJson(name, object) } });
            json::array events;
            for (auto& [revision, event] : ordered)
                events.push_back(std::move(event));
            return events;
        }

        Task<HttpResponse> watch(const HttpRequest& request, const ObjectPath& path)
        {
            constexpr Millis pollInterval { 5 };
            ++m_reads;
            const uint64_t since = parseNumber(request.query("watch"));
            const TimePoint until = Clock::now() + Millis(parseNumber(request.query("wait_ms")));
            constexpr unsigned gone = 410;
            const uint64_t era = m_era;
            json::array events = eventsSince(path.kind, since);
            while (events.empty() && era == m_era && since <= m_revision && Clock::now() < until) {
                co_await sleepFor(pollInterval);
                events = eventsSince(path.kind, since);
            }
            if (era != m_era || since > m_revision)
                co_return jsonAnswer(gone, {});
            // A watch that skips changes: it answers without them and continues behind them.
            if (!events.empty() && m_server.consumeFault("skip") == "skip")
                events.clear();
            co_return jsonAnswer(200, { { "events", std::move(events) }, { "at", m_revision } });
        }

        FakeServer m_server;
        Millis m_latency;
        std::map<std::string, ObjectMap> m_objectsByKind;
        // Revision of the last write. The first is 1, as 0 marks an object that was never written.
        uint64_t m_revision = 0;
        // All writes, in order.
        std::vector<Write> m_history;
        // Number of times that the store has come back from an older copy, plus 1.
        uint64_t m_era = 1;
        uint64_t m_reads = 0;
        uint64_t m_writes = 0;
    };

} // namespace

int runPlatform(const PlatformFakeSettings& settings)
{
    return PlatformFake(settings).run();
}

} // namespace orioletrail::fakes
