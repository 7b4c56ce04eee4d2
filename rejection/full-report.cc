#include "rejection/full-report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    // No endpoint has more requests; a larger number would close it for other instances whatever ends there.
    constexpr uint64_t maxReportedLoad = 1'000'000;
    constexpr size_t maxEndpointNameBytes = 256;

    std::optional<uint64_t> readFullNumber(const json::object& object, std::string_view name)
    {
        const json::value* field = object.if_contains(name);
        boost::system::error_code error;
        const uint64_t number = field && field->is_number() ? field->to_number<uint64_t>(error) : 0;
        return !field || !field->is_number() || error ? std::nullopt : std::optional(number);
    }

} // namespace detail

void writeFullReports(const FullReports& reports, json::object& message)
{
    if (reports.empty())
        return;
    json::object full;
    for (const auto& [endpoint, report] : reports)
        full.emplace(endpoint, json::object { { "process", report.process }, { "load", report.load }, { "ageMs", report.age.count() } });
    message["full"] = std::move(full);
}

FullReports readFullReports(const json::object& message)
{
    FullReports reports;
    const json::value* field = message.if_contains("full");
    const json::object* full = field ? field->if_object() : nullptr;
    if (!full)
        return reports;
    size_t read = 0;
    for (const auto& [endpoint, value] : *full) {
        if (read++ == FullEndpoints::maxReported)
            break;
        const json::object* item = value.if_object();
        const auto process = item ? detail::readFullNumber(*item, "process") : std::nullopt;
        const auto load = item ? detail::readFullNumber(*item, "load") : std::nullopt;
        const auto age = item ? detail::readFullNumber(*item, "ageMs") : std::nullopt;
        if (!process || !load || !age || endpoint.size() > detail::maxEndpointNameBytes || *load > detail::maxReportedLoad)
            continue;
        // Older reports are of no use, and their ages could overflow a time.
        if (*age < static_cast<uint64_t>(FullEndpoints::holdTime.count()))
            reports.emplace(endpoint, FullReport { *process, static_cast<uint32_t>(*load), Millis(static_cast<Millis::rep>(*age)) });
    }
    return reports;
}

std::string encodeFullMessage(const FullReports& reports)
{
    json::object message;
    writeFullReports(reports, message);
    return json::serialize(message);
}

std::optional<FullReports> decodeFullMessage(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    const json::object* message = error ? nullptr : value.if_object();
    if (!message || message->size() != 1 || !message->contains("full"))
        return std::nullopt;
    return readFullReports(*message);
}

} // namespace orioletrail
