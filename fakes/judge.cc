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
                // The last line of a killed process may be cut short.
                if (!error && value.is_object())
                    lines.push_back(std::move(value.get_object()));
            }
        }
        return lines;
    }

    std::string textOf(const json::object& line, std::string_view field)
    {
        const json::value* value = line.if_contains(field);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    // A warm endpoint that turns cold is to be cut back within this time.
    constexpr int64_t coldNoticeMs = 1000;

    struct Records {
        std::map<std::string, int64_t> turnedCold;
        std::set<std::string> requests;
        std::map<std::string, int> ordersByKey;
    };

    struct StepRecord {
        int64_t at = 0;
        uint64_t token = 0;
        uint64_t number = 0;
        uint64_t version = 0;
    };

    // Checks that each step ran with one map, and none of a lower token after one of a higher.
    void judgeSteps(std::vector<StepRecord> steps, Verdict& verdict)
    {
        std::stable_sort(steps.begin(), steps.end(), [](const StepRecord& a, const StepRecord& b) { return a.at < b.at; });
        std::map<std::pair<uint64_t, uint64_t>, uint64_t> versions;
        std::set<uint64_t> maps;
        uint64_t highest = 0;
        for (const StepRecord& step : steps) {
            const auto [known, added] = versions.emplace(std::pair(step.token, step.number), step.version);
            verdict.stepsWithTwoMaps += known->second == step.version ? 0 : 1;
            verdict.stepsOfOldLeaders += step.token < highest ? 1 : 0;
            highest = std::max(highest, step.token);
            maps.insert(step.version);
        }
        verdict.steps = versions.size();
        verdict.maps = maps.size();
    }

    Records takeRecords(const JudgeSettings& settings, Verdict& verdict)
    {
        Records records;
        std::vector<StepRecord> steps;
        for (const json::object& line : readLines(settings.records)) {
            const std::string what = textOf(line, "what");
            const int64_t at = line.at("at").to_number<int64_t>();
            int64_t& turnedCold = records.turnedCold[textOf(line, "name")];
            if (what == "cold")
                turnedCold = at;
            if (what == "overload" && at - turnedCold > coldNoticeMs)
                ++verdict.overloads;
            if (what == "step")
                steps.push_back({ at, line.at("token").to_number<uint64_t>(), line.at("number").to_number<uint64_t>(), line.at("version").to_number<uint64_t>() });
            if (what != "run" && what != "order" && what != "lookup")
                continue;
            records.requests.insert(textOf(line, "request"));
            if (what == "order")
                ++records.ordersByKey[textOf(line, "key")];
            for (const ClosedWindow& window : settings.closed)
                if (textOf(line, "name").starts_with(window.names) && at >= window.from && at < window.to)
                    ++verdict.ranWhileClosed;
        }
        judgeSteps(std::move(steps), verdict);
        return records;
    }

} // namespace

Verdict judge(const JudgeSettings& settings)
{
    Verdict verdict;
    const Records records = takeRecords(settings, verdict);
    for (const auto& [key, runs] : records.ordersByKey) {
        ++verdict.orders;
        verdict.doubledOrders += !key.empty() && runs > 1 ? 1 : 0;
    }
    for (const json::object& line : readLines(settings.told)) {
        const auto status = line.at("status").to_number<unsigned>();
        const std::string run = textOf(line, "run");
        const bool answered = status && status < 300;
        ++verdict.counts[textOf(line, "what")][answered ? "answered" : status ? textOf(line, "reason") + " " + run
                                                                              : "broken"];
        if (answered && !line.at("right").as_bool())
            ++verdict.wrongAnswers;
        if (run == "not-run" && records.requests.contains(textOf(line, "request")))
            ++verdict.untrueRefusals;
        if (answered && textOf(line, "what") == "order" && !records.ordersByKey.contains(textOf(line, "key")))
            ++verdict.lostOrders;
    }
    return verdict;
}

int runJudge(const JudgeSettings& settings)
{
    const Verdict verdict = judge(settings);
    for (const auto& [what, results] : verdict.counts)
        for (const auto& [result, count] : results)
            std::cout << std::left << std::setw(14) << what << std::setw(36) << result << count << '\n';
    const std::pair<std::string_view, uint64_t> faults[] = { { "orders run twice", verdict.doubledOrders },
        { "wrong answers", verdict.wrongAnswers }, { "untrue refusals", verdict.untrueRefusals },
        { "orders lost", verdict.lostOrders }, { "endpoints overloaded", verdict.overloads },
        { "runs in a zone that was out", verdict.ranWhileClosed }, { "steps run with two maps", verdict.stepsWithTwoMaps },
        { "steps of a former leader", verdict.stepsOfOldLeaders } };
    std::cout << std::left << std::setw(50) << "orders run" << verdict.orders << '\n';
    if (verdict.steps)
        std::cout << std::setw(50) << "steps of the rank group" << verdict.steps << '\n'
                  << std::setw(50) << "expert maps that they ran with" << verdict.maps << '\n';
    for (const auto& [name, count] : faults)
        std::cout << std::left << std::setw(50) << name << count << '\n';
    return verdict.isClean() ? 0 : 1;
}

} // namespace orioletrail::fakes
