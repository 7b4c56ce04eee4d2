#include "operator/command.h"

#include <doctest/doctest.h>

using namespace orioletrail;

TEST_CASE("commands and queries are parsed")
{
    std::string reason;
    CHECK(parseCommand("show zones", reason)->kind == CommandKind::ShowZones);
    const auto take = parseCommand("  take   zone riga-2 out ", reason);
    REQUIRE(take);
    CHECK(take->kind == CommandKind::TakeZoneOut);
    CHECK(take->argument == "riga-2");
    CHECK(parseCommand("explain request r-1", reason)->argument == "r-1");
    CHECK(parseCommand("freeze map g", reason)->argument == "g");
    CHECK(parseCommand("return zone riga-2", reason)->kind == CommandKind::ReturnZone);
}

TEST_CASE("a parse error marks the first wrong word")
{
    std::string reason;
    CHECK_FALSE(parseCommand("take zone riga-2 in", reason));
    CHECK(reason == "expected out at column 18\n  take zone riga-2 in\n                   ^");
    CHECK_FALSE(parseCommand("return zone", reason));
    CHECK(reason == "expected NAME at the end of the line\n  return zone\n             ^");
    CHECK_FALSE(parseCommand("drop tables", reason));
    CHECK_FALSE(parseCommand("", reason));
    CHECK_FALSE(parseCommand("show zones please", reason));
}

TEST_CASE("an object file with a malformed object is rejected as a whole")
{
    std::string reason;
    CHECK(parseObjectFile(R"({"objects": {"config/zone/a": {}}})", reason)->objects.size() == 1);
    CHECK_FALSE(parseObjectFile(R"({"objects": {"config/zone/a": {}, "config/zone/b": 1}})", reason));
    CHECK_FALSE(parseObjectFile("{}", reason));
    CHECK_FALSE(parseObjectFile("{", reason));
}

TEST_CASE("setting a field keeps the other fields")
{
    const auto changed = setBoolField(R"({"service":"s","leaving":false})", "leaving", true, "7");
    CHECK(changed == R"({"service":"s","leaving":true,"commandId":"7"})");
    CHECK_FALSE(setBoolField("[]", "leaving", true, "7"));
}

TEST_CASE("queries are answered from the current configuration")
{
    ConfigView view;
    view.zones["a"] = { "a", true };
    view.endpoints["e"] = { "e", "s", "a", "127.0.0.1:1", false };
    const CommandResult zones = answerQuery({ CommandKind::ShowZones, {}, {} }, view);
    REQUIRE(zones.rows.size() == 2);
    CHECK(zones.rows[1] == std::vector<std::string> { "a", "out", "1" });
    CHECK(answerQuery({ CommandKind::ShowEndpoints, {}, {} }, view).rows.size() == 2);
}
