#include "routing/router.h"

#include <array>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace orioletrail;

namespace {

std::vector<Candidate> makeCandidates(std::span<const std::string> names)
{
    std::vector<Candidate> candidates;
    for (const std::string& name : names)
        candidates.push_back({ name, "z1", 0, 4, false, false });
    return candidates;
}

const std::array<std::string, 4> names { "a", "b", "c", "d" };

} // namespace

TEST_CASE("endpoints that are closed, tried or without credits are never chosen")
{
    std::vector<Candidate> candidates = makeCandidates(names);
    candidates[0].closed = true;
    candidates[1].tried = true;
    candidates[2].credits = 0;
    for (uint64_t affinity = 0; affinity < 50; ++affinity)
        CHECK(chooseEndpoint(candidates, { affinity, "z1", false }) == 3);
    candidates[3].closed = true;
    CHECK_FALSE(chooseEndpoint(candidates, { 1, "z1", false }));
}

TEST_CASE("requests of the same affinity go to the same endpoint while it is within the load bound")
{
    std::vector<Candidate> candidates = makeCandidates(names);
    const size_t home = *chooseEndpoint(candidates, { 77, "z1", false });
    CHECK(chooseEndpoint(candidates, { 77, "z1", false }) == home);
    candidates[home].inFlight = 40;
    CHECK(chooseEndpoint(candidates, { 77, "z1", false }) != home);
}

TEST_CASE("closing one endpoint moves only the affinities assigned to it")
{
    std::vector<Candidate> candidates = makeCandidates(names);
    for (uint64_t affinity = 1; affinity < 200; ++affinity) {
        candidates[0].closed = false;
        const size_t before = *chooseEndpoint(candidates, { affinity, "z1", false });
        candidates[0].closed = true;
        const size_t after = *chooseEndpoint(candidates, { affinity, "z1", false });
        if (before != 0)
            CHECK(after == before);
    }
}

TEST_CASE("without affinity the least loaded endpoint is chosen, and one in the local zone among equals")
{
    std::vector<Candidate> candidates = makeCandidates(names);
    candidates[2].zone = "z2";
    CHECK(chooseEndpoint(candidates, { 0, "z2", false }) == 2);
    candidates[2].inFlight = 1;
    CHECK(chooseEndpoint(candidates, { 0, "z2", false }) != 2);
}

TEST_CASE("a suspect request goes to the least loaded endpoint, whatever its affinity")
{
    std::vector<Candidate> candidates = makeCandidates(names);
    for (Candidate& candidate : candidates)
        candidate.inFlight = 2;
    candidates[1].inFlight = 1;
    for (uint64_t affinity = 0; affinity < 50; ++affinity)
        CHECK(chooseEndpoint(candidates, { affinity, "z1", true }) == 1);
}
