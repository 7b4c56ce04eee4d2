// Parses and answers the operators' commands, such as "show zones" or "take zone NAME out".
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
    ShowConfigVersion,
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

// A parsed command.
struct Command {
    CommandKind kind = CommandKind::ShowConfigVersion;
    // The zone, endpoint, group or request ID that the command names; empty if it names none.
    std::string argument;
    // For Apply: the objects to write, as pairs of key and JSON text.
    std::vector<std::pair<std::string, std::string>> objects;
};

// Parses a command line. On an error, returns nothing and sets `reason`, which quotes the line,
// marks the first wrong word and lists the words that were expected there.
std::optional<Command> parseCommand(std::string_view line, std::string& reason);

// Parses an object file, {"objects": {"config/zone/a": {...}, ...}}, into an Apply command. Returns
// nothing and sets `reason` if the file or any object in it is malformed.
std::optional<Command> parseObjectFile(std::string_view text, std::string& reason);

// How a command ended. The values are the exit codes of `orioletrail ctl`.
enum class CommandStatus : uint8_t {
    Done = 0,
    BadCommand = 2,
    NotFound = 3,
    // Another command changed the object at the same time.
    Conflict = 4,
    // The platform did not answer; the command may have taken effect.
    Unknown = 5
};

struct CommandResult {
    CommandStatus status = CommandStatus::Done;
    std::string message;
    // A table. The first row holds the column names.
    std::vector<std::vector<std::string>> rows;
};

// Runs a Show command that needs only the configuration: zones, endpoints, accounts, services,
// rules or instances. Any other command returns BadCommand.
CommandResult answerQuery(const Command&, const ConfigView&);

// Returns the JSON object with `field` set to `value` and "commandId" set to `commandId`, or nothing
// if `object` is not a JSON object.
std::optional<std::string> setBoolField(std::string_view object, std::string_view field, bool value, std::string_view commandId);

} // namespace orioletrail
