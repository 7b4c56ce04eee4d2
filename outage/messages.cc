#include "outage/messages.h"

#include <boost/json.hpp>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    constexpr std::string_view outagesField = "outages";
    constexpr std::string_view failedField = "failedMs";
    constexpr std::string_view servedField = "servedMs";

    // Returns nothing if the field is missing or no age.
    std::optional<Millis> readOutageAge(const json::object& object, std::string_view name)
    {
        constexpr double maxAgeMs = 24.0 * 3600 * 1000;
        const json::value* field = object.if_contains(name);
        boost::system::error_code error;
        const double millis = field && field->is_number() ? field->to_number<double>(error) : -1;
        if (error || !(millis >= 0 && millis <= maxAgeMs))
            return std::nullopt;
        return Millis(static_cast<Millis::rep>(millis));
    }

} // namespace detail

void writeOutages(const OutageReports& reports, json::object& message)
{
    if (reports.empty())
        return;
    json::object outages;
    for (const auto& [group, report] : reports) {
        json::object item;
        if (report.failedAgo)
            item.emplace(detail::failedField, report.failedAgo->count());
        if (report.servedAgo)
            item.emplace(detail::servedField, report.servedAgo->count());
        outages.emplace(group, std::move(item));
    }
    message[detail::outagesField] = std::move(outages);
}

OutageReports readOutages(const json::object& message)
{
    OutageReports reports;
    const json::value* field = message.if_contains(detail::outagesField);
    if (!field || !field->is_object())
        return reports;
    for (const auto& [group, value] : field->get_object()) {
        const json::object* item = value.if_object();
        if (!item || reports.size() >= OutageSettings {}.maxGroups)
            continue;
        const OutageReport report { detail::readOutageAge(*item, detail::failedField), detail::readOutageAge(*item, detail::servedField) };
        if (report != OutageReport {})
            reports.emplace(group, report);
    }
    return reports;
}

} // namespace orioletrail
