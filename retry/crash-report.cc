#include "retry/crash-report.h"

#include <boost/json.hpp>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    constexpr size_t maxItems = 64;

    uint64_t toNumber(const json::value& value)
    {
        boost::system::error_code error;
        const uint64_t number = value.is_number() ? value.to_number<uint64_t>(error) : 0;
        return error ? 0 : number;
    }

    // The first elements of an array member, or none if there is no such member.
    std::span<const json::value> readArray(const json::object& object, std::string_view name)
    {
        const json::value* field = object.if_contains(name);
        const json::array* array = field ? field->if_array() : nullptr;
        if (!array)
            return {};
        return { array->data(), std::min(array->size(), maxItems) };
    }

    std::vector<uint64_t> readNumbers(const json::object& object, std::string_view name)
    {
        std::vector<uint64_t> numbers;
        for (const json::value& value : readArray(object, name))
            numbers.push_back(toNumber(value));
        return numbers;
    }

    uint64_t readId(const json::object& object, std::string_view name)
    {
        const json::value* field = object.if_contains(name);
        return field ? toNumber(*field) : 0;
    }

    // Larger ages, which would overflow a time, are cut.
    Millis readAge(const json::object& object, std::string_view name)
    {
        constexpr uint64_t maxAgeMs = 24 * 3600 * uint64_t { 1000 };
        return Millis(static_cast<Millis::rep>(std::min(readId(object, name), maxAgeMs)));
    }

    json::object writeCrash(const EndpointCrash& crash)
    {
        json::array suspects;
        for (const CrashSuspect& suspect : crash.suspects)
            suspects.push_back(json::object { { "request", suspect.request }, { "parts", json::array(suspect.parts.begin(), suspect.parts.end()) } });
        json::object object;
        object["id"] = crash.id;
        object["ageMs"] = crash.age.count();
        object["suspects"] = std::move(suspects);
        if (!crash.cleared.empty())
            object["cleared"] = json::array(crash.cleared.begin(), crash.cleared.end());
        return object;
    }

    EndpointCrash readCrash(const json::object& object)
    {
        EndpointCrash crash;
        crash.id = readId(object, "id");
        crash.age = Millis(static_cast<Millis::rep>(readId(object, "ageMs")));
        for (const json::value& value : readArray(object, "suspects"))
            if (const json::object* suspect = value.if_object())
                crash.suspects.push_back({ readId(*suspect, "request"), readNumbers(*suspect, "parts") });
        for (const uint64_t part : readNumbers(object, "cleared"))
            crash.cleared.insert(part);
        return crash;
    }

} // namespace detail

void writePoisonEvidence(std::span<const PoisonEvidence> requests, json::object& message)
{
    json::array lost;
    for (const PoisonEvidence& evidence : requests) {
        json::object request { { "digest", evidence.digest } };
        json::array deaths;
        for (const PoisonEvidence::Death& death : evidence.deaths)
            deaths.push_back(json::object { { "process", death.process }, { "sentMsAgo", death.sentAgo.count() }, { "lostMsAgo", death.lostAgo.count() } });
        request["deaths"] = std::move(deaths);
        if (evidence.clearedAgo)
            request["clearedMsAgo"] = evidence.clearedAgo->count();
        lost.push_back(std::move(request));
    }
    if (!lost.empty())
        message["lostRequests"] = std::move(lost);
}

std::vector<PoisonEvidence> readPoisonEvidence(const json::object& message)
{
    std::vector<PoisonEvidence> requests;
    for (const json::value& value : detail::readArray(message, "lostRequests")) {
        const json::object* request = value.if_object();
        const json::value* digest = request ? request->if_contains("digest") : nullptr;
        if (!digest || !digest->is_string())
            continue;
        PoisonEvidence evidence { std::string(digest->get_string()), {} };
        for (const json::value& item : detail::readArray(*request, "deaths"))
            if (const json::object* death = item.if_object())
                evidence.deaths.push_back({ detail::readId(*death, "process"), detail::readAge(*death, "sentMsAgo"), detail::readAge(*death, "lostMsAgo") });
        if (request->contains("clearedMsAgo"))
            evidence.clearedAgo = detail::readAge(*request, "clearedMsAgo");
        requests.push_back(std::move(evidence));
    }
    return requests;
}

void writeCrashReport(const CrashReport& report, json::object& message)
{
    json::array crashes;
    for (const EndpointCrash& crash : report.crashes)
        crashes.push_back(detail::writeCrash(crash));
    if (!crashes.empty())
        message["crashes"] = std::move(crashes);
    json::array refused;
    for (const auto& [part, left] : report.refused)
        refused.push_back(json::object { { "part", part }, { "leftMs", left.count() } });
    if (!refused.empty())
        message["refusedParts"] = std::move(refused);
}

CrashReport readCrashReport(const json::object& message)
{
    CrashReport report;
    for (const json::value& value : detail::readArray(message, "crashes"))
        if (const json::object* crash = value.if_object(); crash && detail::readId(*crash, "id"))
            report.crashes.push_back(detail::readCrash(*crash));
    for (const json::value& value : detail::readArray(message, "refusedParts"))
        if (const json::object* item = value.if_object(); item && detail::readId(*item, "part"))
            report.refused.emplace(detail::readId(*item, "part"), Millis(static_cast<Millis::rep>(detail::readId(*item, "leftMs"))));
    return report;
}

} // namespace orioletrail
