// Load imbalance of an engine's expert map before and after planned changes when the popularity of its
// experts shifts, and the time to plan a change.
#include "bench/bench.h"
#include "expertmap/proposal.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <random>

namespace orioletrail::bench {

namespace {

    // Dimensions of an expert map, and how much one change may alter it.
    struct Size {
        uint32_t ranks;
        uint32_t experts;
        // Sets of layers; the layers of a set share one placement.
        uint32_t sets;
        // Most experts of one set that a rank can hold.
        uint32_t places;
        // Most experts of one set that one change may add to a rank.
        uint32_t newPerChange;
        // Time in which a rank copies one expert.
        Millis copyTime;
        // Exponent of the Zipf distribution of the experts' popularity.
        double skew;
    };

    // Token counts that follow a Zipf distribution. The seed determines the order of the experts by
    // popularity, which differs between the sets.
    ExpertCounts zipfCounts(const Size& size, uint64_t seed)
    {
        std::mt19937_64 generator(seed);
        ExpertCounts counts(size.sets, std::vector<double>(size.experts));
        std::vector<uint32_t> order(size.experts);
        std::iota(order.begin(), order.end(), 0U);
        for (auto& set : counts) {
            std::shuffle(order.begin(), order.end(), generator);
            for (uint32_t popularityRank = 0; popularityRank < size.experts; ++popularityRank)
                set[order[popularityRank]] = 1 / std::pow(popularityRank + 1, size.skew);
        }
        return counts;
    }

    // Imbalance that one change reaches if it may refill every place of every rank. The tokens of an expert
    // can be spread over all ranks at most.
    double imbalanceWithoutCopyLimits(const Size& size, const ExpertMap& map, const ExpertCounts& counts)
    {
        return mapUnevenness(improveMap(map, counts, { size.places, size.places, size.places * size.sets }), counts);
    }

} // namespace

int runPlan()
{
    constexpr int shifts = 5;
    std::printf("| ranks x experts x sets | places | imbalance before | after one change | after three changes | without limits on copies | time per plan |\n|---|---|---|---|---|---|---|\n");
    for (const Size& size : { Size { 12, 72, 4, 8, 3, Millis(97), 1.3 }, Size { 63, 252, 8, 5, 2, Millis(14), 0.66 }, Size { 129, 258, 16, 3, 2, Millis(6), 0.45 }, Size { 128, 64, 60, 2, 1, Millis(98), 1.2 } }) {
        double before = 0;
        double afterOne = 0;
        double afterThree = 0;
        double withoutCopyLimits = 0;
        double planMs = 0;
        ExpertMap map = initialMap(size.sets, size.experts, size.ranks);
        const MapLimits limits { size.places, size.newPerChange, 0 };
        for (int shift = 1; shift <= shifts; ++shift) {
            const ExpertCounts counts = zipfCounts(size, static_cast<uint64_t>(shift));
            before += mapUnevenness(map, counts) / shifts;
            withoutCopyLimits += imbalanceWithoutCopyLimits(size, map, counts) / shifts;
            for (int change = 1; change <= 3; ++change) {
                const TimePoint start = Clock::now();
                auto proposal = proposeMap(map, counts, {}, limits, size.copyTime);
                planMs += std::chrono::duration<double, std::milli>(Clock::now() - start).count() / (3 * shifts);
                if (proposal)
                    map = std::move(proposal->map);
                if (change == 1)
                    afterOne += mapUnevenness(map, counts) / shifts;
            }
            afterThree += mapUnevenness(map, counts) / shifts;
        }
        std::printf("| %u x %u x %u | %u | %.2f | %.2f | %.2f | %.2f | %.1f ms |\n", size.ranks, size.experts, size.sets, size.places, before, afterOne, afterThree, withoutCopyLimits, planMs);
    }
    return 0;
}

} // namespace orioletrail::bench
