// Structured logging: one JSON object per line on standard output, through log4cxx. Logging never
// blocks on output: lines beyond a rate limit, or that standard output does not accept, are
// dropped and counted.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace orioletrail {

enum class LogLevel : unsigned char {
    Debug,
    Info,
    Warning,
    Error
};

// Sets up logging to standard output for lines of at least this level. Call it once, before
// starting other threads.
void startLog(LogLevel);

using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

// Writes one line with time, level, message and the fields, unless the level is disabled.
void log(LogLevel, std::string_view message, LogFields = {});

// Whether lines of this level are written. Spares a caller from building fields for a disabled
// level.
bool isLogged(LogLevel);

} // namespace orioletrail
