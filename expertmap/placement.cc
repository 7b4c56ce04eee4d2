#include "expertmap/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace orioletrail {

namespace detail {

    // Sweeps over all experts to adjust shares: their limit, and the relative reduction of the largest
    // rank load below which a sweep is the last.
    constexpr int maxSplitSweeps = 30;
    constexpr double splitTolerance = 1e-4;
    // Moves that are tried: experts on the most loaded rank, and evictions for a copy of each.
    constexpr size_t maxExpertsTried = 4;
    constexpr size_t maxEvictionsTried = 8;

    uint32_t instanceOf(const RankTopology& topology, uint32_t rank)
    {
        return topology.instanceByRank.empty() ? rank : topology.instanceByRank[rank];
    }

    uint32_t instanceCount(const RankTopology& topology)
    {
        if (topology.instanceByRank.empty())
            return topology.ranks;
        return static_cast<uint32_t>(std::set<uint32_t>(topology.instanceByRank.begin(), topology.instanceByRank.end()).size());
    }

    bool hasCopyOnRank(const std::vector<ExpertCopy>& copies, uint32_t rank)
    {
        return std::any_of(copies.begin(), copies.end(), [&](const ExpertCopy& copy) { return copy.rank == rank; });
    }

    bool hasCopyOnInstanceOf(const std::vector<ExpertCopy>& copies, uint32_t rank, const RankTopology& topology)
    {
        return std::any_of(copies.begin(), copies.end(),
            [&](const ExpertCopy& copy) { return instanceOf(topology, copy.rank) == instanceOf(topology, rank); });
    }

    // True if the copies of an expert without the one on `rank` are on enough instances.
    bool canDropCopy(const std::vector<ExpertCopy>& copies, uint32_t rank, const RankTopology& topology)
    {
        std::set<uint32_t> instances;
        for (const ExpertCopy& copy : copies)
            if (copy.rank != rank)
                instances.insert(instanceOf(topology, copy.rank));
        return instances.size() >= std::max(1U, topology.minCopies);
    }

    // Number of copies of each expert: at least minCopies. Each spare slot goes to the expert with the
    // most tokens per copy.
    std::vector<uint32_t> chooseCopyCounts(std::span<const double> loads, const RankTopology& topology)
    {
        std::vector<uint32_t> counts(loads.size(), std::max(1U, topology.minCopies));
        uint32_t used = static_cast<uint32_t>(loads.size()) * counts.front();
        for (; used < topology.ranks * topology.slotsPerRank; ++used) {
            size_t hottest = loads.size();
            for (size_t i = 0; i < loads.size(); ++i)
                if (counts[i] < topology.ranks && (hottest == loads.size() || loads[i] / counts[i] > loads[hottest] / counts[hottest]))
                    hottest = i;
            if (hottest == loads.size())
                break;
            ++counts[hottest];
        }
        return counts;
    }

    // Redistributes the tokens of one expert among its copies by water-filling: the least loaded ranks
    // are filled up to a common load.
    void waterFill(std::vector<ExpertCopy>& copies, double load, std::vector<double>& ranks)
    {
        for (const ExpertCopy& copy : copies)
            ranks[copy.rank] -= copy.share * load;
        std::sort(copies.begin(), copies.end(), [&](const ExpertCopy& a, const ExpertCopy& b) { return ranks[a.rank] < ranks[b.rank]; });
        double totalLoad = load;
        double commonLoad = 0;
        size_t used = 0;
        while (used < copies.size() && (!used || ranks[copies[used].rank] < commonLoad)) {
            totalLoad += ranks[copies[used].rank];
            commonLoad = totalLoad / static_cast<double>(++used);
        }
        for (size_t i = 0; i < copies.size(); ++i) {
            copies[i].share = i < used ? (commonLoad - ranks[copies[i].rank]) / load : 0;
            ranks[copies[i].rank] += copies[i].share * load;
        }
    }

    void balanceShares(Placement& placement, std::span<const double> loads, std::vector<double>& ranks, int sweeps)
    {
        double before = *std::max_element(ranks.begin(), ranks.end());
        for (int sweep = 0; sweep < sweeps; ++sweep) {
            for (size_t expert = 0; expert < loads.size(); ++expert)
                if (placement.copies[expert].size() > 1 && loads[expert] > 0)
                    waterFill(placement.copies[expert], loads[expert], ranks);
            const double after = *std::max_element(ranks.begin(), ranks.end());
            if (after > before * (1 - splitTolerance))
                break;
            before = after;
        }
    }

    struct HotExpert {
        double load = 0;
        uint32_t expert = 0;
    };

    // The experts with the largest loads on the given rank, the largest first.
    std::vector<HotExpert> hottestExperts(const Placement& placement, std::span<const double> loads, uint32_t rank)
    {
        std::vector<HotExpert> hot;
        for (uint32_t expert = 0; expert < loads.size(); ++expert)
            for (const ExpertCopy& copy : placement.copies[expert])
                if (copy.rank == rank && copy.share > 0)
                    hot.push_back({ copy.share * loads[expert], expert });
        std::sort(hot.begin(), hot.end(), [](const HotExpert& a, const HotExpert& b) { return a.load > b.load; });
        hot.resize(std::min(hot.size(), maxExpertsTried));
        return hot;
    }

    // A copy that could be replaced by one of a hot expert, with the largest resulting load of the ranks
    // involved. Assumes that its tokens go to the least loaded of the expert's other copies.
    struct Eviction {
        double largestLoad = 0;
        uint32_t expert = 0;
        uint32_t rank = 0;
    };

    double loadAfterEviction(const std::vector<ExpertCopy>& copies, const ExpertCopy& evicted, double load, const std::vector<double>& ranks)
    {
        std::optional<double> lowestLoad;
        for (const ExpertCopy& copy : copies)
            if (copy.rank != evicted.rank && (!lowestLoad || ranks[copy.rank] < *lowestLoad))
                lowestLoad = ranks[copy.rank];
        return lowestLoad.value_or(0) + evicted.share * load;
    }

    // The evictions with the lowest resulting loads for a new copy of `hot`, the lowest first.
    std::vector<Eviction> bestEvictions(const Placement& placement, std::span<const double> loads, const RankTopology& topology,
        const std::vector<double>& ranks, uint32_t hot)
    {
        const auto& hotCopies = placement.copies[hot];
        const double loadPerCopy = loads[hot] / static_cast<double>(hotCopies.size() + 1);
        std::vector<Eviction> evictions;
        for (uint32_t expert = 0; expert < loads.size(); ++expert) {
            if (expert == hot || placement.copies[expert].size() < 2)
                continue;
            for (const ExpertCopy& copy : placement.copies[expert]) {
                if (hasCopyOnRank(hotCopies, copy.rank) || !canDropCopy(placement.copies[expert], copy.rank, topology))
                    continue;
                const double loadHere = ranks[copy.rank] - copy.share * loads[expert] + loadPerCopy;
                const double loadElsewhere = loadAfterEviction(placement.copies[expert], copy, loads[expert], ranks);
                evictions.push_back({ std::max(loadHere, loadElsewhere), expert, copy.rank });
            }
        }
        const size_t count = std::min(evictions.size(), maxEvictionsTried);
        std::partial_sort(evictions.begin(), evictions.begin() + static_cast<ptrdiff_t>(count), evictions.end(),
            [](const Eviction& a, const Eviction& b) { return a.largestLoad < b.largestLoad; });
        evictions.resize(count);
        return evictions;
    }

    double unevennessOf(const std::vector<double>& ranks)
    {
        constexpr double exponent = 16;
        const double mean = std::accumulate(ranks.begin(), ranks.end(), 0.0) / static_cast<double>(ranks.size());
        double sum = 0;
        for (const double load : ranks)
            sum += std::pow(load / mean, exponent);
        return std::pow(sum / static_cast<double>(ranks.size()), 1 / exponent);
    }

    void applyMove(Placement& placement, const CopyMove& move)
    {
        auto& evicted = placement.copies[move.evicted];
        const auto copy = std::find_if(evicted.begin(), evicted.end(), [&](const ExpertCopy& item) { return item.rank == move.rank; });
        const double share = copy->share;
        evicted.erase(copy);
        evicted.front().share += share;
        placement.copies[move.expert].push_back({ move.rank, 0 });
    }

} // namespace detail

bool isFeasible(uint32_t experts, const RankTopology& topology, std::string& reason)
{
    const uint32_t slots = topology.ranks * topology.slotsPerRank;
    const uint32_t copies = std::max(1U, topology.minCopies);
    if (experts * copies > slots) {
        reason = std::to_string(experts) + " experts with " + std::to_string(copies) + " copies need " + std::to_string(experts * copies)
            + " slots, the group has " + std::to_string(slots);
        return false;
    }
    const uint32_t instances = detail::instanceCount(topology);
    if (copies > instances) {
        reason = std::to_string(copies) + " copies of an expert need as many instances, the group has " + std::to_string(instances);
        return false;
    }
    return true;
}

std::optional<Placement> placeGreedily(std::span<const double> loads, const RankTopology& topology, std::string& reason)
{
    if (!isFeasible(static_cast<uint32_t>(loads.size()), topology, reason))
        return std::nullopt;
    const std::vector<uint32_t> counts = detail::chooseCopyCounts(loads, topology);
    std::vector<uint32_t> order(loads.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](uint32_t a, uint32_t b) { return loads[a] / counts[a] > loads[b] / counts[b]; });
    Placement placement;
    placement.copies.resize(loads.size());
    std::vector<double> ranks(topology.ranks);
    std::vector<uint32_t> freeSlots(topology.ranks, topology.slotsPerRank);
    const uint32_t needed = std::max(1U, topology.minCopies);
    // Required copies are placed first, so that additional copies cannot take their slots.
    for (const bool spare : { false, true }) {
        for (const uint32_t expert : order) {
            auto& copies = placement.copies[expert];
            const uint32_t wanted = spare ? counts[expert] : needed;
            while (copies.size() < wanted) {
                std::optional<uint32_t> target;
                for (uint32_t rank = 0; rank < topology.ranks; ++rank) {
                    const bool taken = spare ? detail::hasCopyOnRank(copies, rank) : detail::hasCopyOnInstanceOf(copies, rank, topology);
                    if (freeSlots[rank] && !taken && (!target || ranks[rank] < ranks[*target]))
                        target = rank;
                }
                if (!target)
                    break;
                copies.push_back({ *target, 1.0 / counts[expert] });
                ranks[*target] += loads[expert] / counts[expert];
                --freeSlots[*target];
            }
            if (copies.empty() || (!spare && copies.size() < needed)) {
                reason = "no free slot on another instance for expert " + std::to_string(expert);
                return std::nullopt;
            }
        }
    }
    for (auto& copies : placement.copies)
        for (ExpertCopy& copy : copies)
            copy.share = 1.0 / static_cast<double>(copies.size());
    splitShares(placement, loads, topology);
    return placement;
}

void splitShares(Placement& placement, std::span<const double> loads, const RankTopology& topology)
{
    std::vector<double> ranks = rankLoads(placement, loads, topology);
    detail::balanceShares(placement, loads, ranks, detail::maxSplitSweeps);
}

std::vector<double> rankLoads(const Placement& placement, std::span<const double> loads, const RankTopology& topology)
{
    std::vector<double> ranks(topology.ranks);
    for (size_t expert = 0; expert < loads.size(); ++expert)
        for (const ExpertCopy& copy : placement.copies[expert])
            ranks[copy.rank] += copy.share * loads[expert];
    return ranks;
}

double largestRankLoad(const Placement& placement, std::span<const double> loads, const RankTopology& topology)
{
    const std::vector<double> ranks = rankLoads(placement, loads, topology);
    return *std::max_element(ranks.begin(), ranks.end());
}

double largestRankLoadLowerBound(std::span<const double> loads, const RankTopology& topology)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    const double hottest = *std::max_element(loads.begin(), loads.end());
    const auto experts = static_cast<uint32_t>(loads.size());
    const uint32_t others = (experts - 1) * std::max(1U, topology.minCopies);
    const uint32_t copies = std::min(topology.ranks, topology.ranks * topology.slotsPerRank - others);
    return std::max(total / topology.ranks, hottest / copies);
}

double unevenness(const Placement& placement, std::span<const double> loads, const RankTopology& topology)
{
    return detail::unevennessOf(rankLoads(placement, loads, topology));
}

uint32_t countMoves(const Placement& before, const Placement& after)
{
    uint32_t moves = 0;
    for (size_t expert = 0; expert < after.copies.size(); ++expert)
        for (const ExpertCopy& copy : after.copies[expert])
            moves += detail::hasCopyOnRank(before.copies[expert], copy.rank) ? 0 : 1;
    return moves;
}

std::optional<CopyMove> findBestMove(const Placement& placement, std::span<const double> loads, const RankTopology& topology, Placement& after)
{
    const std::vector<double> ranks = rankLoads(placement, loads, topology);
    const auto mostLoaded = static_cast<uint32_t>(std::max_element(ranks.begin(), ranks.end()) - ranks.begin());
    double lowestUnevenness = detail::unevennessOf(ranks);
    std::optional<CopyMove> found;
    for (const detail::HotExpert& hot : detail::hottestExperts(placement, loads, mostLoaded)) {
        for (const detail::Eviction& eviction : detail::bestEvictions(placement, loads, topology, ranks, hot.expert)) {
            const CopyMove move { hot.expert, eviction.expert, eviction.rank };
            Placement tried = placement;
            detail::applyMove(tried, move);
            std::vector<double> triedRankLoads = rankLoads(tried, loads, topology);
            detail::balanceShares(tried, loads, triedRankLoads, detail::maxSplitSweeps / 3);
            const double triedUnevenness = detail::unevennessOf(triedRankLoads);
            if (triedUnevenness >= lowestUnevenness)
                continue;
            lowestUnevenness = triedUnevenness;
            found = move;
            after = std::move(tried);
        }
    }
    return found;
}

} // namespace orioletrail
