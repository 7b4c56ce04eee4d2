#include "prefix/saving.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };
constexpr uint64_t process = 7;

std::vector<PromptPrefix> prefixes(std::vector<PromptPart> parts)
{
    return prefixesOf(parts);
}

EngineProfile engineOf(double tokensPerMs)
{
    EngineProfile engine;
    engine.stepsPerPass = 4;
    engine.stepMs = 4.55;
    engine.perSequenceMs = 0.905;
    engine.promptTokensPerMs = tokensPerMs;
    return engine;
}

} // namespace

TEST_CASE("a part counts only behind the same parts as before")
{
    PartTable table;
    table.onRead("a", process, prefixes({ { 1, 40 }, { 2, 100 } }), start);
    CHECK(table.held("a", process, prefixes({ { 1, 40 }, { 2, 100 }, { 3, 5 } }), false, start).tokens == 140);
    CHECK(table.held("a", process, prefixes({ { 1, 40 }, { 3, 100 } }), false, start).tokens == 40);
    CHECK(table.held("a", process, prefixes({ { 2, 100 }, { 1, 40 } }), false, start).tokens == 0);
    CHECK(table.held("b", process, prefixes({ { 1, 40 } }), false, start).tokens == 0);
}

TEST_CASE("an engine that keeps no parts saves tokens only while a request with the part runs")
{
    PartTable table;
    const auto part = prefixes({ { 1, 40 } });
    table.onRead("a", process, part, start);
    table.onRead("a", process, part, start);
    table.onEnded("a", process, part, start);
    CHECK(table.held("a", process, part, false, start + Millis(5000)).tokens == 40);
    table.onEnded("a", process, part, start);
    CHECK(table.held("a", process, part, false, start).tokens == 0);
    CHECK(table.size() == 0);
    // An end that was counted already changes nothing.
    table.onEnded("a", process, part, start);
    CHECK(table.size() == 0);
}

TEST_CASE("a kept part has an age, ends with the retention and does not count when memory is short")
{
    PartTable table({ Millis(1000) });
    const auto part = prefixes({ { 1, 40 } });
    table.onRead("a", process, part, start);
    table.onEnded("a", process, part, start);
    const HeldPrefix held = table.held("a", process, part, false, start + Millis(600));
    CHECK(held.tokens == 40);
    CHECK(held.age == Millis(600));
    CHECK(table.held("a", process, part, true, start + Millis(600)).tokens == 0);
    CHECK(table.held("a", process, part, false, start + Millis(1000)).tokens == 0);
}

TEST_CASE("what an endpoint held is forgotten when its process is replaced")
{
    PartTable table({ Millis(60'000) });
    const auto part = prefixes({ { 1, 40 } });
    table.onRead("a", process, part, start);
    CHECK(table.held("a", process + 1, part, false, start).tokens == 0);
    table.onRead("a", process + 1, prefixes({ { 2, 40 } }), start);
    CHECK(table.held("a", process, part, false, start).tokens == 0);
    CHECK(table.size() == 1);
    // The request of the earlier process ends late.
    table.onEnded("a", process, part, start);
    CHECK(table.held("a", process + 1, prefixes({ { 2, 40 } }), false, start).tokens == 40);
    table.removeEndpoint("a");
    CHECK(table.size() == 0);
}

TEST_CASE("clients that send new parts all the time do not grow the table")
{
    PartTable table({ Millis(60'000), 100 });
    for (uint64_t number = 0; number < 10'000; ++number) {
        const auto part = prefixes({ { number, 40 }, { number + 1'000'000, 40 } });
        table.onRead("a", process, part, start + Millis(number));
        REQUIRE(table.size() <= 100);
        table.onEnded("a", process, part, start + Millis(number));
    }
    // The latest are kept.
    CHECK(table.held("a", process, prefixes({ { 9'999, 40 } }), false, start + Millis(10'000)).tokens == 40);
    PartTable running({ Millis(0), 100 });
    for (uint64_t number = 0; number < 1000; ++number)
        running.onRead("a", process, prefixes({ { number, 40 } }), start);
    CHECK(running.size() == 100);
}

TEST_CASE("the saving of 40 shared tokens is under a millisecond and a fifth of a request of load")
{
    PartTable table;
    const auto part = prefixes({ { 1, 40 } });
    EndpointRecord endpoint;
    endpoint.id = "a";
    table.onRead("a", processOf(endpoint), part, start);
    const PartSaving saving = savingAt(table, engineOf(61.4), endpoint, 3, part, { 714 }, start);
    CHECK(saving.millis == doctest::Approx(40 / 61.4));
    CHECK(saving.requests == doctest::Approx(40 / 61.4 / (4 * 0.905)));
    CHECK(savingAt(table, engineOf(74.8), endpoint, 3, part, { 714 }, start).millis == doctest::Approx(40 / 74.8));
    CHECK(savingAt(table, engineOf(0), endpoint, 3, part, { 714 }, start).requests == 0);
    // The last token of a prompt is always read.
    CHECK(savingAt(table, engineOf(61.4), endpoint, 3, part, { 40 }, start).held.tokens == 39);
    EngineProfile pairs = engineOf(61.4);
    pairs.pairsMsPerMillion = 2;
    CHECK(readingMs(pairs, 1000) == doctest::Approx(1000 / 61.4 + 1));
}

TEST_CASE("parts of ended requests do not count at an engine without memory for one more request")
{
    PartTable table({ Millis(60'000) });
    const auto part = prefixes({ { 1, 40 } });
    EndpointRecord endpoint;
    endpoint.id = "a";
    table.onRead("a", processOf(endpoint), part, start);
    table.onEnded("a", processOf(endpoint), part, start);
    EngineProfile engine = engineOf(61.4);
    engine.memoryTokens = 5000;
    engine.usualPromptTokens = 700;
    engine.usualOutputTokens = 300;
    CHECK(savingAt(table, engine, endpoint, 4, part, { 700, 0, 300 }, start).held.tokens == 40);
    CHECK(savingAt(table, engine, endpoint, 4, part, { 700, 0, 301 }, start).held.tokens == 0);
    CHECK(savingAt(table, engine, endpoint, 5, part, {}, start).held.tokens == 0);
}
