#include "operator/command.h"

#include <boost/json.hpp>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    struct Word {
        std::string_view text;
        size_t at = 0;
    };

    std::vector<Word> splitWords(std::string_view line)
    {
        std::vector<Word> words;
        size_t at = 0;
        while ((at = line.find_first_not_of(" \t\r\n", at)) != std::string_view::npos) {
            const size_t end = std::min(line.find_first_of(" \t\r\n", at), line.size());
            words.push_back({ line.substr(at, end - at), at });
            at = end;
        }
        return words;
    }

    // Word patterns; "NAME" stands for any word and is kept.
    struct Pattern {
        std::string_view words;
        CommandKind kind;
    };

    constexpr Pattern patterns[] = {
        { "show zones", CommandKind::ShowZones },
        { "show endpoints", CommandKind::ShowEndpoints },
        { "show accounts", CommandKind::ShowAccounts },
        { "show services", CommandKind::ShowServices },
        { "show rules", CommandKind::ShowRules },
        { "show instances", CommandKind::ShowInstances },
        { "show config version", CommandKind::ShowConfig },
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

    // Number of leading words that fit the pattern.
    size_t matchLength(const std::vector<Word>& words, const std::vector<Word>& pattern)
    {
        size_t length = 0;
        while (length < words.size() && length < pattern.size()
            && (pattern[length].text == "NAME" || pattern[length].text == words[length].text))
            ++length;
        return length;
    }

    std::string pointAt(std::string_view line, size_t at, const std::vector<std::string_view>& expected)
    {
        std::string text = "expected ";
        for (size_t i = 0; i < expected.size(); ++i)
            text += (i ? i + 1 == expected.size() ? " or " : ", " : "") + std::string(expected[i]);
        text += at >= line.size() ? " at the end of the line" : " at column " + std::to_string(at + 1);
        return text + "\n  " + std::string(line) + "\n  " + std::string(at, ' ') + '^';
    }

    std::string yesNo(bool value)
    {
        return value ? "yes" : "no";
    }

    CommandResult table(std::vector<std::string> columns)
    {
        CommandResult result;
        result.rows.push_back(std::move(columns));
        return result;
    }

    CommandResult showZones(const ConfigView& config)
    {
        CommandResult result = table({ "zone", "state", "endpoints" });
        for (const auto& [name, zone] : config.zones) {
            const auto count = std::count_if(config.endpoints.begin(), config.endpoints.end(),
                [&zone = zone](const auto& item) { return item.second.zone == zone.name; });
            result.rows.push_back({ name, zone.out ? "out" : "in", std::to_string(count) });
        }
        return result;
    }

    CommandResult showEndpoints(const ConfigView& config)
    {
        CommandResult result = table({ "endpoint", "service", "zone", "sidecar", "leaving" });
        for (const auto& [name, endpoint] : config.endpoints)
            result.rows.push_back({ name, endpoint.service, endpoint.zone, endpoint.sidecar, yesNo(endpoint.leaving) });
        return result;
    }

    CommandResult showRules(const ConfigView& config)
    {
        CommandResult result = table({ "rule", "service", "method", "path", "idempotent", "key required" });
        for (const Rule& rule : config.rules)
            result.rows.push_back({ rule.name, rule.service, rule.method, rule.pathPrefix, yesNo(rule.idempotent), yesNo(rule.requireKey) });
        return result;
    }

} // namespace detail

std::optional<Command> parseCommand(std::string_view line, std::string& reason)
{
    const std::vector<detail::Word> words = detail::splitWords(line);
    size_t longest = 0;
    std::vector<std::string_view> expected;
    for (const detail::Pattern& candidate : detail::patterns) {
        const std::vector<detail::Word> pattern = detail::splitWords(candidate.words);
        const size_t length = detail::matchLength(words, pattern);
        if (length == pattern.size() && length == words.size()) {
            Command command { candidate.kind, {}, {} };
            for (size_t i = 0; i < length; ++i)
                if (pattern[i].text == "NAME")
                    command.name = std::string(words[i].text);
            return command;
        }
        if (length < longest)
            continue;
        if (length > longest)
            expected.clear();
        longest = length;
        const std::string_view next = length < pattern.size() ? pattern[length].text : "the end";
        if (std::find(expected.begin(), expected.end(), next) == expected.end())
            expected.push_back(next);
    }
    reason = detail::pointAt(line, longest < words.size() ? words[longest].at : line.size(), expected);
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
    ConfigView scratch;
    for (const auto& item : objects->get_object()) {
        std::string object = json::serialize(item.value());
        if (!addObject(scratch, item.key(), object, reason))
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
        result = detail::table({ "account", "max in flight" });
        for (const auto& [token, account] : config.accountsByToken)
            result.rows.push_back({ account.name, std::to_string(account.maxInFlight) });
        return result;
    case CommandKind::ShowServices:
        result = detail::table({ "service", "kind" });
        for (const auto& [name, service] : config.services)
            result.rows.push_back({ name, service.kind == ServiceKind::Model ? "model" : "plain" });
        return result;
    case CommandKind::ShowInstances:
        result = detail::table({ "instance", "zone", "gossip", "leaving" });
        for (const auto& [name, instance] : config.instances)
            result.rows.push_back({ name, instance.zone, instance.gossip, detail::yesNo(instance.leaving) });
        return result;
    default:
        return { CommandStatus::BadCommand, "not a query", {} };
    }
}

std::optional<std::string> withFlag(std::string_view object, std::string_view field, bool value, std::string_view commandId)
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
