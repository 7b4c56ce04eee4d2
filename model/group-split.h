// Simulates how the requests of several entries are split among groups of engines.
#pragma once

#include "model/scenario.h"

namespace orioletrail::model {

enum class SplitPolicy : uint8_t {
    // The dispatcher of the product.
    Product,
    // Each entry sends to the group with the shortest predicted pass.
    ShortestPass,
    // The leader computes the shares and announces them; entries draw the group with these probabilities.
    AnnouncedShares,
    // Each entry draws two groups and sends to the one with the shorter predicted pass.
    TwoChoices,
    // The first group gets exactly `fixedShare` of all streams, known without delay: a reference.
    FixedShare
};

struct SplitScenario {
    // The groups of one service.
    std::vector<EngineModel> groups;
    // Slowness that the engines of each group report.
    std::vector<double> slowness;
    uint32_t entries = 16;
    // Requests per second at all entries, at equal intervals.
    double perSecond = 80;
    double seconds = 30;
    // Until then nothing is measured.
    double warmUpSeconds = 8;
    // Counts of other entries and reports of the leader arrive this late.
    double reportDelayMs = 200;
    double statusIntervalMs = 100;
    // The first group forms anew in this period, and its ranks take requests but run no passes.
    double formingFrom = 0;
    double formingTo = 0;
    CallerModel callers;
    SplitPolicy policy = SplitPolicy::Product;
    double fixedShare = 0.5;
};

struct SplitResult {
    // Quantiles of the gaps between events, in milliseconds.
    double gapP50Ms = 0;
    double gapP95Ms = 0;
    double firstEventP95Ms = 0;
    // Mean share of each group in the streams.
    std::vector<double> shares;
    // Changes of the load of a group from one time to one a second later, relative to it: the largest one, and the one
    // that 95 in 100 are below. The load is the mean over 200 ms: streams begin and end in whole passes.
    double largestChange = 0;
    double changeP95 = 0;
    uint64_t placed = 0;
    // Placed at the first group while it was forming, from a delay of a report and a status after the start.
    uint64_t placedAtForming = 0;
    uint64_t notPlaced = 0;
};

// The same seed gives the same result.
SplitResult simulateSplit(const SplitScenario&, uint64_t seed);

} // namespace orioletrail::model
