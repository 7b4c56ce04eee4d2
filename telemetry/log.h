// Structured log lines, written as JSON to standard output through log4cxx. Writing never waits:
// lines beyond a rate, or that nobody reads, are left out and counted.
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

// Sends lines of at least this level to standard output. Called once, before any other thread starts.
void startLog(LogLevel);

using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

// Writes one line: time, level, message and the fields. Cheap if the level is off.
void log(LogLevel, std::string_view message, LogFields = {});

bool isLogged(LogLevel);

} // namespace orioletrail
