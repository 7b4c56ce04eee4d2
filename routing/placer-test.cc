#include "routing/load.h"
#include "routing/placer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

PlaceOption option(std::string_view endpoint, double load, std::string_view zone = "z1")
{
    PlaceOption result;
    result.endpoint = endpoint;
    result.zone = zone;
    result.load = load;
    result.limit = 12;
    return result;
}

} // namespace

TEST_CASE("the least loaded endpoint is chosen, and one in the local zone among equals")
{
    CHECK(placeRequest(std::array { option("a", 4), option("b", 3), option("c", 5) }, "z1").index == 1);
    CHECK(placeRequest(std::array { option("a", 3, "z2"), option("b", 3, "z1") }, "z1").index == 1);
    CHECK(placeRequest(std::array { option("a", 2, "z2"), option("b", 3, "z1") }, "z1").index == 0);
}

TEST_CASE("closed endpoints are never chosen, and full ones are reported as such")
{
    std::array options { option("a", 0), option("b", 12) };
    options[0].closed = true;
    CHECK(placeRequest(options, "z1").failure == PlaceFailure::AllFull);
    options[1].closed = true;
    CHECK(placeRequest(options, "z1").failure == PlaceFailure::NoneOpen);
    CHECK(placeRequest({}, "z1").failure == PlaceFailure::NoneOpen);
}

TEST_CASE("slow, failing, avoided and tried endpoints are chosen last")
{
    std::array options { option("a", 0), option("b", 3) };
    options[0].failureShare = 0.5;
    CHECK(placeRequest(options, "z1").index == 1);
    options[0].failureShare = 0;
    options[0].slowness = 8;
    CHECK(placeRequest(options, "z1").index == 1);
    options[0].slowness = 1;
    options[0].avoided = true;
    CHECK(placeRequest(options, "z1").index == 1);
    options[1].tried = true;
    CHECK(placeRequest(options, "z1").index == 0);
    options[1].closed = true;
    CHECK(placeRequest(options, "z1").index == 0);
}

TEST_CASE("entries that exchange their counts keep the ranks of a group evenly loaded")
{
    constexpr int entries = 4;
    constexpr int ranks = 12;
    std::array<LoadTable, entries> tables;
    std::mt19937_64 random(7);
    std::vector<std::string> names;
    names.reserve(ranks);
    for (int rank = 0; rank < ranks; ++rank)
        names.push_back("rank-" + std::to_string(rank));
    struct Running {
        int entry = 0;
        std::string rank;
        TimePoint ends;
    };
    std::vector<Running> running;
    TimePoint now = start;
    double worst = 0;
    for (int step = 0; step < 3000; ++step) {
        now += Millis(20);
        // Entries exchange their counts every fifth step.
        if (step % 5 == 0)
            for (int from = 0; from < entries; ++from)
                for (int to = 0; to < entries; ++to)
                    if (from != to)
                        tables[to].onPeerCounts("entry-" + std::to_string(from), tables[from].ownCounts(), now);
        std::erase_if(running, [&](const Running& job) {
            if (job.ends > now)
                return false;
            tables[job.entry].onEnded(job.rank);
            return true;
        });
        // 50 requests per second that take 1 to 2 seconds each, unevenly divided among the entries.
        const int entry = static_cast<int>(std::min<uint64_t>(random() % 6, entries - 1));
        std::vector<PlaceOption> options;
        options.reserve(names.size());
        for (const std::string& name : names)
            options.push_back(option(name, tables[entry].estimate(name, now)));
        const PlaceChoice placement = placeRequest(options, "z1");
        if (placement.failure != PlaceFailure::None)
            continue;
        tables[entry].onSent(names[placement.index]);
        running.push_back({ entry, names[placement.index], now + Millis(1000 + random() % 1000) });
        if (step < 500)
            continue;
        std::array<double, ranks> held {};
        for (const Running& job : running)
            held[std::find(names.begin(), names.end(), job.rank) - names.begin()] += 1;
        worst = std::max(worst, *std::max_element(held.begin(), held.end()) - static_cast<double>(running.size()) / ranks);
    }
    CHECK(worst < 4);
}

TEST_CASE("an instance that receives no counts of others uses the reports of endpoints")
{
    LoadTable table;
    table.onSent("a");
    table.onReported("a", 9, start);
    CHECK(table.estimate("a", start) == 9);
    table.onSent("a");
    CHECK(table.estimate("a", start) == 10);
    CHECK(table.estimate("a", start + std::chrono::seconds(3)) == 2);
    table.onPeerCounts("p", { { "a", 4 } }, start);
    CHECK(table.estimate("a", start) == 6);
    CHECK(table.livePeerCount(start) == 1);
    CHECK(table.livePeerCount(start + std::chrono::seconds(2)) == 0);
    table.onEnded("a");
    table.onEnded("a");
    CHECK(table.ownCount("a") == 0);
}

TEST_CASE("many entries with late counts neither overload the same endpoints nor connect to all")
{
    constexpr int entries = 53;
    constexpr int ranks = 129;
    constexpr int slots = 6;
    struct Running {
        int entry = 0;
        int rank = 0;
        TimePoint ends;
    };
    // Requests that arrived at a rank with no free slot, and pairs of entries and ranks with a request.
    struct Outcome {
        int rejected = 0;
        size_t pairs = 0;
    };
    const auto play = [](bool hasPreferences) {
        std::array<LoadTable, entries> tables;
        std::mt19937_64 random(7);
        std::vector<std::string> names;
        names.reserve(ranks);
        for (int rank = 0; rank < ranks; ++rank)
            names.push_back("rank-" + std::to_string(rank));
        std::vector<Running> running;
        std::array<int, ranks> held {};
        std::set<std::pair<int, int>> pairs;
        Outcome outcome;
        TimePoint now = start;
        // 330 requests per second that take 1 to 2 seconds each, in two of three slots.
        for (int step = 0; step < 6000; ++step) {
            now += Millis(3);
            // Entries exchange their counts ten times a second, one after the other.
            if (const int from = step % 33; from < 27)
                for (const int sender : { from, from + 26 })
                    for (int to = 0; to < entries; ++to)
                        if (sender != to && sender < entries)
                            tables[to].onPeerCounts("entry-" + std::to_string(sender), tables[sender].ownCounts(), now);
            std::erase_if(running, [&](const Running& job) {
                if (job.ends > now)
                    return false;
                tables[job.entry].onEnded(names[job.rank]);
                --held[job.rank];
                return true;
            });
            const int entry = static_cast<int>(random() % entries);
            std::vector<PlaceOption> options;
            options.reserve(names.size());
            for (const std::string& name : names) {
                options.push_back(option(name, tables[entry].estimate(name, now)));
                options.back().limit = slots;
                options.back().preference = hasPreferences ? endpointPreference("entry-" + std::to_string(entry), name) : 0;
            }
            const PlaceChoice placement = placeRequest(options, "z1");
            if (placement.failure != PlaceFailure::None)
                continue;
            const int rank = static_cast<int>(placement.index);
            pairs.emplace(entry, rank);
            if (held[rank] >= slots) {
                ++outcome.rejected;
                continue;
            }
            tables[entry].onSent(names[rank]);
            ++held[rank];
            running.push_back({ entry, rank, now + Millis(1000 + random() % 1000) });
        }
        outcome.pairs = pairs.size();
        return outcome;
    };
    const Outcome alike = play(false);
    const Outcome different = play(true);
    MESSAGE("rejected ", alike.rejected, " and ", different.rejected, ", pairs ", alike.pairs, " and ", different.pairs);
    CHECK(different.rejected * 3 < alike.rejected * 2);
    CHECK(different.pairs < alike.pairs);
}

TEST_CASE("a saving decides only where the request starts no later, and makes no endpoint hot")
{
    std::array options { option("a", 3), option("b", 3), option("c", 4) };
    options[1].saving = 0.8;
    CHECK(placeRequest(options, "z1").index == 1);
    CHECK(placeRequest(options, "z1").indexWithoutSaving == 0);
    // So small a saving leaves the choice to the preference.
    options[1].saving = 0.2;
    CHECK(placeRequest(options, "z1").index == 0);
    options[1].saving = 0;
    options[2].saving = 0.9;
    CHECK(placeRequest(options, "z1").index == 0);
    options[2].saving = 1.1;
    CHECK(placeRequest(options, "z1").index == 2);
    // The preference spreads requests; it is no time that a saving could win.
    options[0].preference = 1;
    options[1].preference = 1;
    options[2].saving = 0.5;
    CHECK(placeRequest(options, "z1").index != 2);
    options[2].saving = 1e6;
    options[2].load = 6;
    CHECK(placeRequest(options, "z1").index != 2);
    options[2].load = 4;
    options[2].avoided = true;
    CHECK(placeRequest(options, "z1").index != 2);
}

TEST_CASE("for any state of the endpoints a saving never makes a request start later")
{
    std::mt19937_64 random(11);
    const auto uniform = [&](double most) { return std::uniform_real_distribution<double>(0, most)(random); };
    size_t moved = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::vector<PlaceOption> options;
        for (int number = 0; number < 12; ++number) {
            options.push_back(option("e", std::floor(uniform(13)), random() % 2 ? "z1" : "z2"));
            PlaceOption& added = options.back();
            added.slowness = random() % 4 ? 1 : 1 + uniform(3);
            added.preference = uniform(1);
            added.closed = random() % 8 == 0;
            added.avoided = random() % 8 == 0;
            added.saving = random() % 3 ? 0 : uniform(random() % 2 ? 0.3 : 10);
        }
        const PlaceChoice choice = placeRequest(options, "z1");
        if (choice.failure != PlaceFailure::None)
            continue;
        const auto start = [](const PlaceOption& item) { return (item.load + 1) * item.slowness + (item.zone == "z1" ? 0 : 0.25) - item.saving; };
        const PlaceOption& chosen = options[choice.index];
        const PlaceOption& without = options[choice.indexWithoutSaving];
        REQUIRE(start(chosen) <= start(without) + 1e-9);
        REQUIRE(!chosen.closed);
        REQUIRE(chosen.load + 1 <= chosen.limit);
        REQUIRE(chosen.avoided == without.avoided);
        moved += choice.index != choice.indexWithoutSaving;
    }
    CHECK(moved > 1000);
}
