// Prints explanations for operators.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace orioletrail {

// Formats the JSON of an explanation as text. Returns nothing if it is none.
std::optional<std::string> explanationText(std::string_view json);

} // namespace orioletrail
