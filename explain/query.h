// The question of `GET /explain` and of `orioletrail ctl explain placement`.
#pragma once

#include "base/types.h"

#include <span>

namespace orioletrail {

// The request to explain.
struct ExplainQuery {
    std::string host;
    std::string path;
    // The API key or the name of the account; at most one of them is set.
    std::string key;
    std::string account;
    std::optional<int> priority;
    std::optional<Millis> timeLeft;
    RequestSize size;
    std::vector<PromptPart> parts;
};

// Path of the question.
inline constexpr std::string_view explainPath = "/explain";

// Parses the query string of the target, such as "/explain?host=app.example&path=/stream/1". Returns nothing
// and sets `reason` if a parameter is unknown, malformed, repeated or missing.
std::optional<ExplainQuery> parseExplainQuery(std::string_view target, std::string& reason);

// Makes the target from words of the form NAME=VALUE. Returns nothing and sets `reason` if a word has
// another form.
std::optional<std::string> makeExplainTarget(std::span<const std::string> words, std::string& reason);

} // namespace orioletrail
