#include "fakes/judge.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>
#include <set>

namespace orioletrail::fakes {

namespace json = boost::json;

namespace {

    std::vector<json::object> readLines(const std::vector<std::string>& paths)
    {
        std::vector<json::object> lines;
        for (const std::string& path : paths) {
            std::ifstream file(path);
            std::string line;
            while (std::getline(file, line)) {
                boost::system::error_code error;
                json::value value = json::parse(line, error);
                // A killed process may leave an incomplete last line.
                if (!error && value.is_object())
                    lines.push_back(std::move(value.get_object()));
            }
        }
        return lines;
    }

    std::string stringField(const json::object& line, std::string_view field)
    {
        const json::value* value = line.if_contains(field);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    // An engine that turns cold may be overloaded for this long, until the balancer has lowered its limit.
    constexpr int64_t coldCutbackMillis = 1000;

    struct EndpointRecords {
        // Last time each engine turned cold, by name.
        std::map<std::string, int64_t> turnedColdMillis;
        std::set<std::string> startedRequests;
        std::map<std::string, int> runsByOrderKey;
    };

    struct StepRecord {
        int64_t atMillis = 0;
        uint64_t leaderToken = 0;
        uint64_t stepNumber = 0;
        uint64_t mapVersion = 0;
    };

    // Checks that all ranks ran each step with the same map version, and that no step of a lower leader token
    // follows one of a higher token.
    void checkSteps(std::vector<StepRecord> steps, Verdict& verdict)
    {
        std::stable_sort(steps.begin(), steps.end(), [](const StepRecord& a, const StepRecord& b) { return a.atMillis < b.atMillis; });
        std::map<std::pair<uint64_t, uint64_t>, uint64_t> versionByStep;
        std::set<uint64_t> mapVersions;
        uint64_t highestToken = 0;
        for (const StepRecord& step : steps) {
            const auto [known, added] = versionByStep.emplace(std::pair(step.leaderToken, step.stepNumber), step.mapVersion);
            verdict.stepsWithTwoMaps += known->second == step.mapVersion ? 0 : 1;
            verdict.stepsOfFormerLeaders += step.leaderToken < highestToken ? 1 : 0;
            highestToken = std::max(highestToken, step.leaderToken);
            mapVersions.insert(step.mapVersion);
        }
        verdict.steps = versionByStep.size();
        verdict.mapVersions = mapVersions.size();
    }

    EndpointRecords readRecords(const JudgeSettings& settings, Verdict& verdict)
    {
        EndpointRecords records;
        std::vector<StepRecord> steps;
        for (const json::object& line : readLines(settings.recordPaths)) {
            const std::string kind = stringField(line, "what");
            const int64_t atMillis = line.at("at").to_number<int64_t>();
            int64_t& turnedColdMillis = records.turnedColdMillis[stringField(line, "name")];
            if (kind == "cold")
                turnedColdMillis = atMillis;
            if (kind == "overload" && atMillis - turnedColdMillis > coldCutbackMillis)
                ++verdict.overloadedRequests;
            if (kind == "step")
                steps.push_back({ atMillis, line.at("token").to_number<uint64_t>(), line.at("number").to_number<uint64_t>(), line.at("version").to_number<uint64_t>() });
            if (kind != "run" && kind != "order" && kind != "lookup")
                continue;
            records.startedRequests.insert(stringField(line, "request"));
            if (kind == "order")
                ++records.runsByOrderKey[stringField(line, "key")];
            for (const ClosedWindow& window : settings.closedWindows)
                if (stringField(line, "name").starts_with(window.endpointPrefix) && atMillis >= window.fromMillis && atMillis < window.untilMillis)
                    ++verdict.runsWhileClosed;
        }
        checkSteps(std::move(steps), verdict);
        return records;
    }

} // namespace

Verdict judge(const JudgeSettings& settings)
{
    Verdict verdict;
    const EndpointRecords records = readRecords(settings, verdict);
    for (const auto& [key, runs] : records.runsByOrderKey) {
        ++verdict.orders;
        verdict.duplicateOrders += !key.empty() && runs > 1 ? 1 : 0;
    }
    for (const json::object& line : readLines(settings.resultPaths)) {
        const auto status = line.at("status").to_number<unsigned>();
        const std::string run = stringField(line, "run");
        const bool answered = status && status < 300;
        ++verdict.resultCounts[stringField(line, "what")][answered ? "answered" : status ? stringField(line, "reason") + " " + run
                                                                                         : "broken"];
        if (answered && !line.at("right").as_bool())
            ++verdict.wrongAnswers;
        if (run == "not-run" && records.startedRequests.contains(stringField(line, "request")))
            ++verdict.falseRefusals;
        if (answered && stringField(line, "what") == "order" && !records.runsByOrderKey.contains(stringField(line, "key")))
            ++verdict.lostOrders;
    }
    return verdict;
}

int runJudge(const JudgeSettings& settings)
{
    const Verdict verdict = judge(settings);
    for (const auto& [kind, results] : verdict.resultCounts)
        for (const auto& [result, count] : results)
            std::cout << std::left << std::setw(14) << kind << std::setw(36) << result << count << '\n';
    const std::pair<std::string_view, uint64_t> violations[] = { { "orders run twice", verdict.duplicateOrders },
        { "wrong answers", verdict.wrongAnswers }, { "untrue refusals", verdict.falseRefusals },
        { "orders lost", verdict.lostOrders }, { "endpoints overloaded", verdict.overloadedRequests },
        { "runs in a zone that was out", verdict.runsWhileClosed }, { "steps run with two maps", verdict.stepsWithTwoMaps },
        { "steps of a former leader", verdict.stepsOfFormerLeaders } };
    std::cout << std::left << std::setw(50) << "orders run" << verdict.orders << '\n';
    if (verdict.steps)
        std::cout << std::setw(50) << "steps of the rank group" << verdict.steps << '\n'
                  << std::setw(50) << "expert maps that they ran with" << verdict.mapVersions << '\n';
    for (const auto& [name, count] : violations)
        std::cout << std::left << std::setw(50) << name << count << '\n';
    return verdict.isClean() ? 0 : 1;
}

} // namespace orioletrail::fakes
