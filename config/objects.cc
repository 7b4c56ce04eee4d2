#include "config/objects.h"

#include <boost/json.hpp>

namespace orioletrail {

namespace detail {

    namespace json = boost::json;

    // Reads typed fields of one object and reports the first error.
    class FieldReader {
    public:
        FieldReader(std::string_view key, const json::object& object, std::string& reason)
            : m_key(key)
            , m_object(object)
            , m_reason(reason)
        {
        }

        std::string text(std::string_view name, bool required = true, std::string_view fallback = "")
        {
            const json::value* value = find(name, required);
            if (!value)
                return std::string(fallback);
            if (!value->is_string() || value->get_string().empty())
                fail(name, "must be a non-empty string");
            else
                return std::string(value->get_string());
            return {};
        }

        bool flag(std::string_view name)
        {
            const json::value* value = find(name, false);
            if (value && !value->is_bool())
                fail(name, "must be true or false");
            return value && value->is_bool() && value->get_bool();
        }

        uint32_t number(std::string_view name, uint32_t fallback, uint32_t min, uint32_t max)
        {
            const json::value* value = find(name, false);
            if (!value)
                return fallback;
            if (!value->is_int64() || value->get_int64() < min || value->get_int64() > max) {
                fail(name, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
                return fallback;
            }
            return static_cast<uint32_t>(value->get_int64());
        }

        // Reports fields that were never requested. Returns true if there was no error.
        bool checkUnknownFields()
        {
            if (m_valid && m_foundCount != m_object.size()) {
                for (const auto& field : m_object)
                    if (m_requestedNames.find("|" + std::string(field.key()) + "|") == std::string::npos)
                        fail(field.key(), "is not a known field");
            }
            return m_valid;
        }

        void fail(std::string_view name, std::string_view problem)
        {
            if (m_valid)
                m_reason = "object \"" + std::string(m_key) + "\": field \"" + std::string(name) + "\" " + std::string(problem);
            m_valid = false;
        }

    private:
        const json::value* find(std::string_view name, bool required)
        {
            m_requestedNames += "|" + std::string(name) + "|";
            const json::value* value = m_object.if_contains(name);
            if (value)
                ++m_foundCount;
            else if (required)
                fail(name, "is missing");
            return value;
        }

        std::string_view m_key;
        const json::object& m_object;
        std::string& m_reason;
        std::string m_requestedNames;
        size_t m_foundCount = 0;
        bool m_valid = true;
    };

    bool isKnownKind(std::string_view kind)
    {
        return kind == "zone" || kind == "account" || kind == "service" || kind == "rule" || kind == "endpoint"
            || kind == "instance" || kind == "group";
    }

    void parseObject(ConfigView& view, std::string_view kind, const std::string& name, FieldReader& fields)
    {
        // Identifies the operator's command that wrote the object; not used here.
        fields.text("commandId", false);
        if (kind == "zone") {
            view.zones[name] = Zone { name, fields.flag("out") };
        } else if (kind == "account") {
            constexpr uint32_t maxInFlightLimit = 1'000'000;
            Account account { name, fields.text("tokenDigest"), fields.number("maxInFlight", 64, 1, maxInFlightLimit) };
            std::string digest = account.tokenDigest;
            view.accountsByToken[std::move(digest)] = std::move(account);
        } else if (kind == "service") {
            const std::string serviceKind = fields.text("kind");
            if (serviceKind != "model" && serviceKind != "plain")
                fields.fail("kind", "must be \"model\" or \"plain\"");
            view.services[name] = Service { name, serviceKind == "model" ? ServiceKind::Model : ServiceKind::Plain };
        } else if (kind == "rule") {
            view.rules.push_back({ name, fields.text("service"), fields.text("method", false, "*"),
                fields.text("pathPrefix", false, "/"), fields.flag("idempotent"), fields.flag("requireKey") });
        } else if (kind == "instance") {
            view.instances[name] = Instance { name, fields.text("zone"), fields.text("gossip"), fields.flag("leaving") };
        } else if (kind == "group") {
            view.groups[name] = Group { name, fields.flag("frozen") };
        } else {
            view.endpoints[name] = Endpoint { name, fields.text("service"), fields.text("zone"),
                fields.text("sidecar"), fields.flag("leaving") };
        }
    }

    template <class Map>
    void mergeInto(Map& into, Map& from)
    {
        for (auto& [name, object] : from)
            into.insert_or_assign(name, std::move(object));
    }

} // namespace detail

bool ConfigView::isZoneOut(std::string_view zone) const
{
    const auto found = zones.find(zone);
    return found != zones.end() && found->second.out;
}

const Rule* ConfigView::findRule(std::string_view service, std::string_view method, std::string_view path) const
{
    const Rule* best = nullptr;
    for (const Rule& rule : rules) {
        if (rule.service != service || (rule.method != "*" && rule.method != method) || !path.starts_with(rule.pathPrefix))
            continue;
        if (!best || rule.pathPrefix.size() > best->pathPrefix.size())
            best = &rule;
    }
    return best;
}

bool addObject(ConfigView& view, std::string_view key, std::string_view text, std::string& reason)
{
    const size_t slash = key.find('/', configPrefix.size());
    if (!key.starts_with(configPrefix) || slash == std::string_view::npos || slash + 1 == key.size()) {
        reason = "object \"" + std::string(key) + "\": key must have the form config/KIND/NAME";
        return false;
    }
    const std::string_view kind = key.substr(configPrefix.size(), slash - configPrefix.size());
    if (!detail::isKnownKind(kind)) {
        reason = "object \"" + std::string(key) + "\": kind \"" + std::string(kind)
            + "\" is not one of zone, account, service, rule, endpoint, instance, group";
        return false;
    }
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        reason = "object \"" + std::string(key) + "\": " + (error ? error.message() : "value is not a JSON object");
        return false;
    }
    detail::FieldReader fields(key, value.get_object(), reason);
    // Parsed into a scratch view first, so that a malformed object leaves the view unchanged.
    ConfigView scratch;
    detail::parseObject(scratch, kind, std::string(key.substr(slash + 1)), fields);
    if (!fields.checkUnknownFields())
        return false;
    detail::mergeInto(view.zones, scratch.zones);
    detail::mergeInto(view.accountsByToken, scratch.accountsByToken);
    detail::mergeInto(view.services, scratch.services);
    detail::mergeInto(view.endpoints, scratch.endpoints);
    detail::mergeInto(view.instances, scratch.instances);
    detail::mergeInto(view.groups, scratch.groups);
    view.rules.insert(view.rules.end(), scratch.rules.begin(), scratch.rules.end());
    return true;
}

} // namespace orioletrail
