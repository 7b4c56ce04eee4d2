#include "model/scenario.h"

#include <boost/json.hpp>
#include <functional>
#include <map>

namespace orioletrail::model {

namespace json = boost::json;

namespace detail {

    using Setter = std::function<bool(const json::value&)>;
    using Setters = std::map<std::string, Setter, std::less<>>;

    template <typename Number>
    Setter numberSetter(Number& number)
    {
        return [&number](const json::value& value) {
            boost::system::error_code error;
            const auto read = value.is_number() ? value.to_number<Number>(error) : Number();
            if (!value.is_number() || error || read < 0)
                return false;
            number = read;
            return true;
        };
    }

    Setter textSetter(std::string& text)
    {
        return [&text](const json::value& value) {
            if (!value.is_string())
                return false;
            text = std::string(value.get_string());
            return true;
        };
    }

    // Reads an array of arrays of `width` numbers each. False if the value has any other form.
    bool readRows(const json::value& value, size_t width, const std::function<void(const std::vector<double>&)>& onRow)
    {
        if (!value.is_array())
            return false;
        for (const json::value& row : value.get_array()) {
            if (!row.is_array() || row.get_array().size() != width)
                return false;
            std::vector<double> numbers;
            for (const json::value& number : row.get_array()) {
                boost::system::error_code error;
                numbers.push_back(number.is_number() ? number.to_number<double>(error) : 0);
                if (!number.is_number() || error)
                    return false;
            }
            onRow(numbers);
        }
        return true;
    }

    Setter scheduleSetter(std::vector<ScheduledValue>& schedule)
    {
        return [&schedule](const json::value& value) {
            schedule.clear();
            return readRows(value, 2, [&](const std::vector<double>& row) { schedule.push_back({ row[0], row[1] }); }) && !schedule.empty();
        };
    }

    Setter slowPeriodsSetter(std::vector<SlowPeriod>& periods)
    {
        return [&periods](const json::value& value) {
            return readRows(value, 4, [&](const std::vector<double>& row) { periods.push_back({ row[0], row[1], static_cast<uint32_t>(row[2]), row[3] }); });
        };
    }

    bool readMembers(const json::value& value, const Setters& setters, std::string_view object, std::string& reason)
    {
        if (!value.is_object()) {
            reason = std::string(object) + " must be an object";
            return false;
        }
        for (const auto& [key, member] : value.get_object()) {
            const auto setter = setters.find(std::string_view(key));
            if (setter == setters.end() || !setter->second(member)) {
                reason = std::string(object) + (setter == setters.end() ? " has unknown member " : " has an invalid value for ") + std::string(key);
                return false;
            }
        }
        return true;
    }

} // namespace detail

std::optional<Scenario> parseScenario(std::string_view text, std::string& reason)
{
    using namespace detail;
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error) {
        reason = "scenario is not valid JSON: " + error.message();
        return std::nullopt;
    }
    Scenario scenario;
    EngineModel& engine = scenario.engine;
    CallerModel& callers = scenario.callers;
    const Setters engineSetters { { "ranks", numberSetter(engine.ranks) }, { "slots", numberSetter(engine.slots) }, { "stride", numberSetter(engine.stride) },
        { "stepMs", numberSetter(engine.stepMs) }, { "perSequenceMs", numberSetter(engine.perSequenceMs) }, { "expertShare", numberSetter(engine.expertShare) },
        { "promptTokensPerMs", numberSetter(engine.promptTokensPerMs) }, { "chunk", numberSetter(engine.chunk) }, { "reportLagMs", numberSetter(engine.reportLagMs) }, { "keepPartsMs", numberSetter(engine.keepPartsMs) },
        { "unevenness", scheduleSetter(engine.unevenness) }, { "slow", slowPeriodsSetter(engine.slow) } };
    const Setters callerSetters { { "perSecond", scheduleSetter(callers.perSecond) }, { "events", numberSetter(callers.events) }, { "eventsSpread", numberSetter(callers.eventsSpread) },
        { "mostEvents", numberSetter(callers.mostEvents) }, { "promptTokens", numberSetter(callers.promptTokens) }, { "promptSpread", numberSetter(callers.promptSpread) },
        { "mostPromptTokens", numberSetter(callers.mostPromptTokens) }, { "sharedTokens", numberSetter(callers.sharedTokens) }, { "sharedParts", numberSetter(callers.sharedParts) }, { "objectiveMs", numberSetter(callers.objectiveMs) }, { "gapObjectiveMs", numberSetter(callers.gapObjectiveMs) },
        { "timeoutMs", numberSetter(callers.timeoutMs) }, { "patienceMs", numberSetter(callers.patienceMs) }, { "returns", numberSetter(callers.returns) } };
    const Setters setters { { "name", textSetter(scenario.name) }, { "about", textSetter(scenario.about) }, { "seconds", numberSetter(scenario.seconds) },
        { "entries", numberSetter(scenario.entries) }, { "statusIntervalMs", numberSetter(scenario.statusIntervalMs) },
        { "engine", [&](const json::value& member) { return readMembers(member, engineSetters, "engine", reason); } },
        { "callers", [&](const json::value& member) { return readMembers(member, callerSetters, "callers", reason); } } };
    std::string memberReason;
    if (!readMembers(value, setters, "scenario", memberReason)) {
        reason = reason.empty() ? memberReason : reason;
        return std::nullopt;
    }
    if (!engine.ranks || !engine.slots || !engine.stride || !scenario.entries || !callers.sharedParts || engine.promptTokensPerMs <= 0 || engine.chunk <= 0) {
        reason = "a scenario needs positive ranks, slots, stride, entries, sharedParts, promptTokensPerMs and chunk";
        return std::nullopt;
    }
    for (const SlowPeriod& period : engine.slow)
        if (period.rank >= engine.ranks || period.factor < 1) {
            reason = "a slow period needs an existing rank and a factor of at least 1";
            return std::nullopt;
        }
    return scenario;
}

} // namespace orioletrail::model
