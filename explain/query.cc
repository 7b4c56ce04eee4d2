#include "explain/query.h"

#include "base/digest.h"

#include <array>
#include <cctype>
#include <charconv>
#include <functional>
#include <map>
#include <set>

namespace orioletrail {

namespace detail {

    constexpr size_t maxParts = 16;
    constexpr uint64_t maxTokens = 100'000'000;
    constexpr uint64_t maxTimeLeftMs = 24 * 3600 * uint64_t { 1000 };
    constexpr uint64_t maxPriority = 1000;

    using QueryFields = std::map<std::string, std::function<bool(const std::string&)>, std::less<>>;

    // Returns nothing if the text is not a whole number of at most `max`.
    std::optional<uint64_t> wholeNumber(std::string_view text, uint64_t max)
    {
        uint64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number > max)
            return std::nullopt;
        return number;
    }

    bool readTokens(std::string_view text, uint32_t& tokens)
    {
        const auto number = wholeNumber(text, maxTokens);
        tokens = static_cast<uint32_t>(number.value_or(0));
        return number.has_value();
    }

    // Reads ID:TOKENS,ID:TOKENS,...
    bool readParts(std::string_view text, std::vector<PromptPart>& parts)
    {
        while (!text.empty() && parts.size() < maxParts) {
            const size_t comma = std::min(text.size(), text.find(','));
            const std::string_view item = text.substr(0, comma);
            const size_t colon = item.rfind(':');
            PromptPart part;
            if (colon == std::string_view::npos || !colon || !readTokens(item.substr(colon + 1), part.tokens))
                return false;
            part.hash = hash64(item.substr(0, colon));
            parts.push_back(part);
            text.remove_prefix(std::min(text.size(), comma + 1));
        }
        return text.empty();
    }

    // Decodes %XX and +. Returns nothing if a percent sign is not followed by two hexadecimal digits.
    std::optional<std::string> decodePercent(std::string_view text)
    {
        std::string decoded;
        for (size_t at = 0; at < text.size(); ++at) {
            if (text[at] != '%') {
                decoded += text[at] == '+' ? ' ' : text[at];
                continue;
            }
            constexpr int hexadecimal = 16;
            unsigned byte = 0;
            const std::string_view digits = text.substr(at + 1, 2);
            const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), byte, hexadecimal);
            if (digits.size() != 2 || parsed.ptr != digits.data() + 2)
                return std::nullopt;
            decoded += static_cast<char>(byte);
            at += 2;
        }
        return decoded;
    }

    std::string encodePercent(std::string_view text)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/:,";
        constexpr unsigned hexadecimal = 16;
        std::string encoded;
        for (const char c : text) {
            if (plain.find(c) != std::string_view::npos) {
                encoded += c;
                continue;
            }
            const auto byte = static_cast<unsigned char>(c);
            encoded += { '%', digits[byte / hexadecimal], digits[byte % hexadecimal] };
        }
        return encoded;
    }

    std::string namesOf(const QueryFields& fields)
    {
        std::string names;
        for (const auto& [name, read] : fields)
            names += (names.empty() ? "" : ", ") + name;
        return names;
    }

} // namespace detail

std::optional<ExplainQuery> parseExplainQuery(std::string_view target, std::string& reason)
{
    ExplainQuery query;
    const auto text = [](std::string& field) {
        return [&field](const std::string& value) {
            field = value;
            return !value.empty();
        };
    };
    const auto tokens = [](uint32_t& field) { return [&field](const std::string& value) { return detail::readTokens(value, field); }; };
    const detail::QueryFields fields {
        { "host", [&](const std::string& value) {
             query.host.clear();
             for (const char c : value)
                 query.host += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
             return !value.empty();
         } },
        { "path", [&](const std::string& value) { return text(query.path)(value) && value.starts_with('/'); } },
        { "key", text(query.key) },
        { "account", text(query.account) },
        { "priority", [&](const std::string& value) {
             const auto number = detail::wholeNumber(value, detail::maxPriority);
             query.priority = static_cast<int>(number.value_or(0));
             return number.has_value();
         } },
        { "time_left_ms", [&](const std::string& value) {
             const auto number = detail::wholeNumber(value, detail::maxTimeLeftMs);
             query.timeLeft = Millis(static_cast<Millis::rep>(number.value_or(0)));
             return number.has_value();
         } },
        { "prompt_tokens", tokens(query.size.promptTokens) },
        { "max_output_tokens", tokens(query.size.maxOutputTokens) },
        { "estimated_output_tokens", tokens(query.size.estimatedOutputTokens) },
        { "parts", [&](const std::string& value) { return detail::readParts(value, query.parts); } },
    };
    std::set<std::string, std::less<>> seen;
    const size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const size_t end = std::min(rest.size(), rest.find('&'));
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(rest.size(), end + 1));
        const size_t equals = std::min(pair.size(), pair.find('='));
        const std::string name(pair.substr(0, equals));
        const auto field = fields.find(name);
        if (field == fields.end()) {
            reason = "unknown parameter \"" + name + "\"; expected one of " + detail::namesOf(fields);
            return std::nullopt;
        }
        const auto value = detail::decodePercent(pair.substr(std::min(pair.size(), equals + 1)));
        if (!value || !field->second(*value)) {
            reason = "invalid value of \"" + name + '"';
            return std::nullopt;
        }
        if (!seen.insert(name).second) {
            reason = "parameter \"" + name + "\" is given twice";
            return std::nullopt;
        }
    }
    for (const char* name : { "host", "path" })
        if (!seen.contains(name)) {
            reason = "parameter \"" + std::string(name) + "\" is missing";
            return std::nullopt;
        }
    if (!query.key.empty() && !query.account.empty()) {
        reason = "give either \"key\" or \"account\"";
        return std::nullopt;
    }
    return query;
}

std::optional<std::string> makeExplainTarget(std::span<const std::string> words, std::string& reason)
{
    std::string target(explainPath);
    char separator = '?';
    for (const std::string& word : words) {
        const size_t equals = word.find('=');
        if (equals == std::string::npos || !equals) {
            reason = "\"" + word + "\" is not of the form NAME=VALUE";
            return std::nullopt;
        }
        target += separator + detail::encodePercent(word.substr(0, equals)) + '=' + detail::encodePercent(word.substr(equals + 1));
        separator = '&';
    }
    return target;
}

} // namespace orioletrail
