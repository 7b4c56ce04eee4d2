// The operators' query and command language.
#pragma once

#include "config/objects.h"

namespace orioletrail {

enum class CommandKind : uint8_t {
    ShowZones,
    ShowEndpoints,
    ShowAccounts,
    ShowServices,
    ShowRules,
    ShowInstances,
    ShowConfig,
    ShowMaps,
    ShowRefusals,
    ExplainRequest,
    TakeZoneOut,
    ReturnZone,
    DrainEndpoint,
    ReturnEndpoint,
    RemoveEndpoint,
    FreezeMap,
    ResumeMap,
    Apply
};

// One parsed command. `name` is the zone or endpoint, if the command has one.
struct Command {
    CommandKind kind = CommandKind::ShowConfig;
    std::string name;
    // Apply: objects to write, key to JSON text.
    std::vector<std::pair<std::string, std::string>> objects;
};

// Parses a line. On an error, nothing is returned and `reason` quotes the line, points at the
// word and says what was expected there.
std::optional<Command> parseCommand(std::string_view line, std::string& reason);

// Parses the text of an object file: {"objects": {"config/zone/a": {...}, ...}}. Every object
// is checked. Nothing, with `reason` set, if any is malformed.
std::optional<Command> parseObjectFile(std::string_view text, std::string& reason);

// How a command ended. The values are the exit codes of `orioletrail ctl`.
enum class CommandStatus : uint8_t {
    Done = 0,
    BadCommand = 2,
    NotFound = 3,
    // Another operator changed the object at the same time.
    Conflict = 4,
    // The platform did not answer; the command may be in force.
    Unknown = 5
};

// The result: rows of a table, the first of which holds the column names.
struct CommandResult {
    CommandStatus status = CommandStatus::Done;
    std::string message;
    std::vector<std::vector<std::string>> rows;
};

// Answers a query from what is in force.
CommandResult answerQuery(const Command&, const ConfigView&);

// The object with `field` set to `value`, or nothing if the text is not an object.
std::optional<std::string> withFlag(std::string_view object, std::string_view field, bool value, std::string_view commandId);

} // namespace orioletrail
