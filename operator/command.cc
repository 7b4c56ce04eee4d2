#include "operator/command.h"

#include <boost/json.hpp>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    struct Word {
        std::string_view text;
        size_t offset = 0;
    };

    std::vector<Word> splitWords(std::string_view line)
    {
        std::vector<Word> words;
        size_t offset = 0;
        while ((offset = line.find_first_not_of(" \t\r\n", offset)) != std::string_view::npos) {
            const size_t end = std::min(line.find_first_of(" \t\r\n", offset), line.size());
            words.push_back({ line.substr(offset, end - offset), offset });
            offset = end;
        }
        return words;
    }

    // The words of a command. "NAME" stands for any one word, which becomes the argument.
    struct CommandPattern {
        std::string_view words;
        CommandKind kind;
    };

    constexpr CommandPattern commandPatterns[] = {
        { "show zones", CommandKind::ShowZones },
        { "show endpoints", CommandKind::ShowEndpoints },
        { "show accounts", CommandKind::ShowAccounts },
        { "show services", CommandKind::ShowServices },
        { "show rules", CommandKind::ShowRules },
        { "show instances", CommandKind::ShowInstances },
        { "show config version", CommandKind::ShowConfigVersion },
        { "show maps", CommandKind::ShowMaps },
        { "show refusals", CommandKind::ShowRefusals },
        { "explain request NAME", CommandKind::ExplainRequest },
        { "freeze map NAME", CommandKind::FreezeMap },
        { "resume map NAME", CommandKind::ResumeMap },
        { "take zone NAME out", CommandKind::TakeZoneOut },
        { "return zone NAME", CommandKind::ReturnZone },
        { "drain endpoint NAME", CommandKind::DrainEndpoint },
        { "return endpoint NAME", CommandKind::ReturnEndpoint },
        { "remove endpoint NAME", CommandKind::RemoveEndpoint },
    };

    // Number of leading words that match the pattern.
    size_t countMatchingWords(const std::vector<Word>& words, const std::vector<Word>& pattern)
    {
        size_t matched = 0;
        while (matched < words.size() && matched < pattern.size()
            && (pattern[matched].text == "NAME" || pattern[matched].text == words[matched].text))
            ++matched;
        return matched;
    }

    // The error text of parseCommand(). `offset` is that of the first wrong word.
    std::string formatParseError(std::string_view line, size_t offset, const std::vector<std::string_view>& expected)
    {
        std::string text = "expected ";
        for (size_t i = 0; i < expected.size(); ++i)
            text += (i ? i + 1 == expected.size() ? " or " : ", " : "") + std::string(expected[i]);
        text += offset >= line.size() ? " at the end of the line" : " at column " + std::to_string(offset + 1);
        return text + "\n  " + std::string(line) + "\n  " + std::string(offset, ' ') + '^';
    }

    std::string formatBool(bool value)
    {
        return value ? "yes" : "no";
    }

    CommandResult makeTable(std::vector<std::string> columns)
    {
        CommandResult result;
        result.rows.push_back(std::move(columns));
        return result;
    }

    CommandResult showZones(const ConfigView& config)
    {
        CommandResult result = makeTable({ "zone", "state", "endpoints" });
        for (const auto& [name, zone] : config.zones) {
            const auto count = std::count_if(config.endpoints.begin(), config.endpoints.end(),
                [&zone = zone](const auto& item) { return item.second.zone == zone.name; });
            result.rows.push_back({ name, zone.out ? "out" : "in", std::to_string(count) });
        }
        return result;
    }

    CommandResult showEndpoints(const ConfigView& config)
    {
        CommandResult result = makeTable({ "endpoint", "service", "zone", "sidecar", "leaving" });
        for (const auto& [name, endpoint] : config.endpoints)
            result.rows.push_back({ name, endpoint.service, endpoint.zone, endpoint.sidecar, formatBool(endpoint.leaving) });
        return result;
    }

    CommandResult showRules(const ConfigView& config)
    {
        CommandResult result = makeTable({ "rule", "service", "method", "path", "idempotent", "key required" });
        for (const Rule& rule : config.rules)
            result.rows.push_back({ rule.name, rule.service, rule.method, rule.pathPrefix, formatBool(rule.idempotent), formatBool(rule.requireKey) });
        return result;
    }

} // namespace detail

std::optional<Command> parseCommand(std::string_view line, std::string& reason)
{
    const std::vector<detail::Word> words = detail::splitWords(line);
    size_t mostMatched = 0;
    std::vector<std::string_view> expected;
    for (const detail::CommandPattern& commandPattern : detail::commandPatterns) {
        const std::vector<detail::Word> pattern = detail::splitWords(commandPattern.words);
        const size_t matched = detail::countMatchingWords(words, pattern);
        if (matched == pattern.size() && matched == words.size()) {
            Command command { commandPattern.kind, {}, {} };
            for (size_t i = 0; i < matched; ++i)
                if (pattern[i].text == "NAME")
                    command.argument = std::string(words[i].text);
            return command;
        }
        if (matched < mostMatched)
            continue;
        if (matched > mostMatched)
            expected.clear();
        mostMatched = matched;
        const std::string_view expectedWord = matched < pattern.size() ? pattern[matched].text : "the end";
        if (std::find(expected.begin(), expected.end(), expectedWord) == expected.end())
            expected.push_back(expectedWord);
    }
    reason = detail::formatParseError(line, mostMatched < words.size() ? words[mostMatched].offset : line.size(), expected);
    return std::nullopt;
}

std::optional<Command> parseObjectFile(std::string_view text, std::string& reason)
{
    boost::system::error_code error;
    const json::value file = json::parse(text, error);
    const json::value* objects = !error && file.is_object() ? file.get_object().if_contains("objects") : nullptr;
    if (!objects || !objects->is_object()) {
        reason = error ? "object file: " + error.message() : "object file: needs a field \"objects\" that holds an object";
        return std::nullopt;
    }
    Command command { CommandKind::Apply, {}, {} };
    ConfigView checkedObjects;
    for (const auto& item : objects->get_object()) {
        std::string object = json::serialize(item.value());
        if (!addObject(checkedObjects, item.key(), object, reason))
            return std::nullopt;
        command.objects.emplace_back(item.key(), std::move(object));
    }
    return command;
}

CommandResult answerQuery(const Command& command, const ConfigView& config)
{
    CommandResult result;
    switch (command.kind) {
    case CommandKind::ShowZones:
        return detail::showZones(config);
    case CommandKind::ShowEndpoints:
        return detail::showEndpoints(config);
    case CommandKind::ShowRules:
        return detail::showRules(config);
    case CommandKind::ShowAccounts:
        result = detail::makeTable({ "account", "max in flight" });
        for (const auto& [token, account] : config.accountsByToken)
            result.rows.push_back({ account.name, std::to_string(account.maxInFlight) });
        return result;
    case CommandKind::ShowServices:
        result = detail::makeTable({ "service", "kind" });
        for (const auto& [name, service] : config.services)
            result.rows.push_back({ name, service.kind == ServiceKind::Model ? "model" : "plain" });
        return result;
    case CommandKind::ShowInstances:
        result = detail::makeTable({ "instance", "zone", "gossip", "leaving" });
        for (const auto& [name, instance] : config.instances)
            result.rows.push_back({ name, instance.zone, instance.gossip, detail::formatBool(instance.leaving) });
        return result;
    default:
        return { CommandStatus::BadCommand, "not a query", {} };
    }
}

std::optional<std::string> setBoolField(std::string_view object, std::string_view field, bool value, std::string_view commandId)
{
    boost::system::error_code error;
    json::value parsed = json::parse(object, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    parsed.get_object()[field] = value;
    parsed.get_object()["commandId"] = commandId;
    return json::serialize(parsed);
}

} // namespace orioletrail
