#include "explain/text.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <vector>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    std::string valueText(const json::object& object, std::string_view name)
    {
        const json::value* value = object.if_contains(name);
        if (!value)
            return "-";
        if (value->is_string())
            return std::string(value->get_string());
        if (value->is_double()) {
            std::array<char, 32> text {};
            std::snprintf(text.data(), text.size(), "%.2f", value->get_double());
            return text.data();
        }
        if (value->is_array()) {
            std::string text;
            for (const json::value& item : value->get_array())
                text += (text.empty() ? "" : "; ") + (item.is_string() ? std::string(item.get_string()) : json::serialize(item));
            return text;
        }
        return json::serialize(*value);
    }

    // Appends " NAME VALUE UNIT" for each field that the object has.
    void appendFields(const json::object& object, std::initializer_list<std::array<const char*, 3>> fields, std::string& line)
    {
        for (const auto& [field, label, unit] : fields)
            if (object.contains(field))
                line += std::string(line.empty() ? "" : ", ") + label + ' ' + valueText(object, field) + unit;
    }

    void appendTable(const json::array& candidates, std::string& text)
    {
        constexpr std::array<std::array<const char*, 2>, 11> columns { { { "endpoint", "endpoint" }, { "zone", "zone" }, { "cost", "cost" }, { "load", "load" }, { "limit", "limit" },
            { "slowness", "slowness" }, { "failureShare", "failures" }, { "heldTokens", "held" }, { "savedMs", "saved ms" }, { "heldAgeMs", "held age ms" }, { "obstacles", "obstacles" } } };
        std::vector<std::array<std::string, columns.size() + 1>> rows(1);
        for (size_t column = 0; column < columns.size(); ++column)
            rows[0][column + 1] = columns[column][1];
        for (const json::value& value : candidates) {
            const json::object* candidate = value.if_object();
            if (!candidate)
                continue;
            auto& row = rows.emplace_back();
            const json::value* chosen = candidate->if_contains("chosen");
            row[0] = chosen && chosen->is_bool() && chosen->get_bool() ? "*" : " ";
            for (size_t column = 0; column < columns.size(); ++column)
                row[column + 1] = valueText(*candidate, columns[column][0]);
        }
        for (const auto& row : rows) {
            std::string line;
            for (size_t column = 0; column < row.size(); ++column) {
                size_t width = 1;
                for (const auto& other : rows)
                    width = std::max(width, other[column].size());
                line += row[column] + std::string(width - row[column].size() + 1, ' ');
            }
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + '\n';
        }
    }

} // namespace detail

std::optional<std::string> explanationText(std::string_view answer)
{
    boost::system::error_code error;
    const json::value value = json::parse(answer, error);
    const json::object* object = error ? nullptr : value.if_object();
    const json::value* services = object ? object->if_contains("services") : nullptr;
    if (!services || !services->is_array())
        return std::nullopt;
    std::string text;
    detail::appendFields(*object, { { "instance", "entry", "" }, { "configuration", "configuration", "" }, { "route", "route", "" }, { "account", "account", "" }, { "priority", "priority", "" }, { "timeLeftMs", "time left", " ms" } }, text);
    text += '\n';
    if (object->contains("refused")) {
        std::string line;
        detail::appendFields(*object, { { "refused", "refused before an endpoint is chosen:", "" }, { "retryAfterMs", "retry after", " ms" } }, line);
        text += line + '\n';
    }
    for (const json::value& item : services->get_array()) {
        const json::object* service = item.if_object();
        if (!service)
            continue;
        std::string line;
        detail::appendFields(*service, { { "service", "service", "" }, { "weight", "weight", "" }, { "decision", "decision:", "" }, { "endpoint", "endpoint", "" }, { "endpointWithoutSaving", "without held parts", "" }, { "reason", "reason", "" }, { "longestWaitMs", "longest wait", " ms" }, { "retryAfterMs", "room in", " ms" } }, line);
        text += '\n' + line + '\n';
        line.clear();
        detail::appendFields(*service, { { "queued", "queued", "" }, { "meanStreams", "streams per endpoint", "" }, { "maxStreams", "limit of the pace", "" }, { "livePeers", "other entries heard", "" }, { "countsAgeMs", "age of their counts", " ms" }, { "slownessAgeMs", "age of the slowness", " ms" } }, line);
        text += line + '\n';
        const json::value* candidates = service->if_contains("candidates");
        if (candidates && candidates->is_array())
            detail::appendTable(candidates->get_array(), text);
    }
    return text;
}

} // namespace orioletrail
