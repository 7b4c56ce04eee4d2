// Time and result of planning a change of an engine's expert map after a shift of popularity.
#include "bench/bench.h"
#include "expertmap/proposal.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <random>

namespace orioletrail::bench {

namespace {

    struct Size {
        uint32_t ranks;
        uint32_t experts;
        uint32_t sets;
        uint32_t places;
        uint32_t newPerChange;
    };

    // Popularity that falls with rank, in another order for each set and shift.
    ExpertCounts countsOf(const Size& size, uint64_t seed)
    {
        constexpr double skew = 1.2;
        std::mt19937_64 random(seed);
        ExpertCounts counts(size.sets, std::vector<double>(size.experts));
        std::vector<uint32_t> order(size.experts);
        std::iota(order.begin(), order.end(), 0U);
        for (auto& set : counts) {
            std::shuffle(order.begin(), order.end(), random);
            for (uint32_t place = 0; place < size.experts; ++place)
                set[order[place]] = 1 / std::pow(place + 1, skew);
        }
        return counts;
    }

    // The largest load over the mean if copies of experts could be placed freely: an expert's tokens
    // can be spread over all ranks at most.
    double evennessOfFreePlan(const Size& size, const ExpertMap& map, const ExpertCounts& counts)
    {
        return mapUnevenness(improveMap(map, counts, { size.places, size.places, size.places * size.sets }), counts);
    }

} // namespace

int runPlan()
{
    constexpr int shifts = 5;
    constexpr Millis copyTime { 98 };
    std::printf("| ranks x experts x sets | places | before | after one change | after three | without limits on copies | one plan |\n|---|---|---|---|---|---|---|\n");
    for (const Size& size : { Size { 12, 72, 4, 8, 3 }, Size { 63, 252, 8, 6, 3 }, Size { 128, 64, 60, 2, 1 } }) {
        double before = 0;
        double one = 0;
        double three = 0;
        double free = 0;
        double planMs = 0;
        ExpertMap map = startingMap(size.sets, size.experts, size.ranks);
        const MapLimits limits { size.places, size.newPerChange, 0 };
        for (int shift = 1; shift <= shifts; ++shift) {
            const ExpertCounts counts = countsOf(size, static_cast<uint64_t>(shift));
            before += mapUnevenness(map, counts) / shifts;
            free += evennessOfFreePlan(size, map, counts) / shifts;
            for (int change = 1; change <= 3; ++change) {
                const TimePoint from = Clock::now();
                auto proposal = proposeMap(map, counts, {}, limits, copyTime);
                planMs += std::chrono::duration<double, std::milli>(Clock::now() - from).count() / (3 * shifts);
                if (proposal)
                    map = std::move(proposal->map);
                if (change == 1)
                    one += mapUnevenness(map, counts) / shifts;
            }
            three += mapUnevenness(map, counts) / shifts;
        }
        std::printf("| %u x %u x %u | %u | %.2f | %.2f | %.2f | %.2f | %.1f ms |\n", size.ranks, size.experts, size.sets, size.places, before, one, three, free, planMs);
    }
    return 0;
}

} // namespace orioletrail::bench
