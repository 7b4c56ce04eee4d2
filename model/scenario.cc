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
    Setter numberInto(Number& number)
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

    Setter textInto(std::string& text)
    {
        return [&text](const json::value& value) {
            if (!value.is_string())
                return false;
            text = std::string(value.get_string());
            return true;
        };
    }

    // Each element is a list of numbers.
    bool readRows(const json::value& value, size_t width, const std::function<void(const std::vector<double>&)>& take)
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
            take(numbers);
        }
        return true;
    }

    Setter stepsInto(std::vector<Step>& steps)
    {
        return [&steps](const json::value& value) {
            steps.clear();
            return readRows(value, 2, [&](const std::vector<double>& row) { steps.push_back({ row[0], row[1] }); }) && !steps.empty();
        };
    }

    Setter spellsInto(std::vector<SlowSpell>& spells)
    {
        return [&spells](const json::value& value) {
            return readRows(value, 4, [&](const std::vector<double>& row) { spells.push_back({ row[0], row[1], static_cast<uint32_t>(row[2]), row[3] }); });
        };
    }

    bool readMembers(const json::value& value, const Setters& setters, std::string_view where, std::string& reason)
    {
        if (!value.is_object()) {
            reason = std::string(where) + " is no object";
            return false;
        }
        for (const auto& [key, member] : value.get_object()) {
            const auto setter = setters.find(std::string_view(key));
            if (setter == setters.end() || !setter->second(member)) {
                reason = std::string(where) + (setter == setters.end() ? " has no member " : " has a bad value of ") + std::string(key);
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
        reason = "scenario is no JSON: " + error.message();
        return std::nullopt;
    }
    Scenario scenario;
    EngineModel& engine = scenario.engine;
    CallerModel& callers = scenario.callers;
    const Setters engineSetters { { "ranks", numberInto(engine.ranks) }, { "slots", numberInto(engine.slots) }, { "stride", numberInto(engine.stride) },
        { "stepMs", numberInto(engine.stepMs) }, { "perSequenceMs", numberInto(engine.perSequenceMs) }, { "expertShare", numberInto(engine.expertShare) },
        { "promptTokensPerMs", numberInto(engine.promptTokensPerMs) }, { "chunk", numberInto(engine.chunk) }, { "reportLagMs", numberInto(engine.reportLagMs) },
        { "unevenness", stepsInto(engine.unevenness) }, { "slow", spellsInto(engine.slow) } };
    const Setters callerSetters { { "perSecond", stepsInto(callers.perSecond) }, { "events", numberInto(callers.events) }, { "eventsSpread", numberInto(callers.eventsSpread) },
        { "mostEvents", numberInto(callers.mostEvents) }, { "promptTokens", numberInto(callers.promptTokens) }, { "promptSpread", numberInto(callers.promptSpread) },
        { "mostPromptTokens", numberInto(callers.mostPromptTokens) }, { "objectiveMs", numberInto(callers.objectiveMs) }, { "gapObjectiveMs", numberInto(callers.gapObjectiveMs) },
        { "timeoutMs", numberInto(callers.timeoutMs) }, { "patienceMs", numberInto(callers.patienceMs) }, { "returns", numberInto(callers.returns) } };
    const Setters setters { { "name", textInto(scenario.name) }, { "about", textInto(scenario.about) }, { "seconds", numberInto(scenario.seconds) },
        { "entries", numberInto(scenario.entries) }, { "statusIntervalMs", numberInto(scenario.statusIntervalMs) },
        { "engine", [&](const json::value& member) { return readMembers(member, engineSetters, "engine", reason); } },
        { "callers", [&](const json::value& member) { return readMembers(member, callerSetters, "callers", reason); } } };
    std::string inner;
    if (!readMembers(value, setters, "scenario", inner)) {
        reason = reason.empty() ? inner : reason;
        return std::nullopt;
    }
    if (!engine.ranks || !engine.slots || !engine.stride || !scenario.entries || engine.promptTokensPerMs <= 0 || engine.chunk <= 0) {
        reason = "a scenario needs ranks, slots, steps, entries and engines that read prompts";
        return std::nullopt;
    }
    for (const SlowSpell& spell : engine.slow)
        if (spell.rank >= engine.ranks || spell.factor < 1) {
            reason = "a slow spell names no rank or makes it faster";
            return std::nullopt;
        }
    return scenario;
}

} // namespace orioletrail::model
