#include "expertmap/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace orioletrail {

namespace detail {

    constexpr int splitSweeps = 30;
    constexpr double splitTolerance = 1e-4;
    // Experts on the fullest rank, and evictions for a copy of each, that are tried for a move.
    constexpr size_t expertsTried = 4;
    constexpr size_t evictionsTried = 8;

    uint32_t instanceOf(const RankTopology& topology, uint32_t rank)
    {
        return topology.instanceOf.empty() ? rank : topology.instanceOf[rank];
    }

    uint32_t instanceCount(const RankTopology& topology)
    {
        if (topology.instanceOf.empty())
            return topology.ranks;
        return static_cast<uint32_t>(std::set<uint32_t>(topology.instanceOf.begin(), topology.instanceOf.end()).size());
    }

    bool holds(const std::vector<ExpertCopy>& copies, uint32_t rank)
    {
        return std::any_of(copies.begin(), copies.end(), [&](const ExpertCopy& copy) { return copy.rank == rank; });
    }

    bool holdsOnInstance(const std::vector<ExpertCopy>& copies, uint32_t rank, const RankTopology& topology)
    {
        return std::any_of(copies.begin(), copies.end(),
            [&](const ExpertCopy& copy) { return instanceOf(topology, copy.rank) == instanceOf(topology, rank); });
    }

    // True if the expert keeps enough copies without the one on `rank`.
    bool canLose(const std::vector<ExpertCopy>& copies, uint32_t rank, const RankTopology& topology)
    {
        std::set<uint32_t> instances;
        for (const ExpertCopy& copy : copies)
            if (copy.rank != rank)
                instances.insert(instanceOf(topology, copy.rank));
        return instances.size() >= std::max(1U, topology.minCopies);
    }

    // How many copies each expert gets: minCopies, and spare slots to the hottest per copy.
    std::vector<uint32_t> chooseCounts(std::span<const double> loads, const RankTopology& topology)
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

    // Re-splits one expert among its copies: fills the least loaded ranks up to one level.
    void levelExpert(std::vector<ExpertCopy>& copies, double load, std::vector<double>& ranks)
    {
        for (const ExpertCopy& copy : copies)
            ranks[copy.rank] -= copy.share * load;
        std::sort(copies.begin(), copies.end(), [&](const ExpertCopy& a, const ExpertCopy& b) { return ranks[a.rank] < ranks[b.rank]; });
        double sum = load;
        double level = 0;
        size_t used = 0;
        while (used < copies.size() && (!used || ranks[copies[used].rank] < level)) {
            sum += ranks[copies[used].rank];
            level = sum / static_cast<double>(++used);
        }
        for (size_t i = 0; i < copies.size(); ++i) {
            copies[i].share = i < used ? (level - ranks[copies[i].rank]) / load : 0;
            ranks[copies[i].rank] += copies[i].share * load;
        }
    }

    void splitFrom(Placement& placement, std::span<const double> loads, std::vector<double>& ranks, int sweeps)
    {
        double before = *std::max_element(ranks.begin(), ranks.end());
        for (int sweep = 0; sweep < sweeps; ++sweep) {
            for (size_t expert = 0; expert < loads.size(); ++expert)
                if (placement.copies[expert].size() > 1 && loads[expert] > 0)
                    levelExpert(placement.copies[expert], loads[expert], ranks);
            const double after = *std::max_element(ranks.begin(), ranks.end());
            if (after > before * (1 - splitTolerance))
                break;
            before = after;
        }
    }

    struct Hot {
        double load = 0;
        uint32_t index = 0;
    };

    // The largest parts of the fullest rank's load, by expert.
    std::vector<Hot> hottestOn(const Placement& placement, std::span<const double> loads, uint32_t rank)
    {
        std::vector<Hot> hot;
        for (uint32_t expert = 0; expert < loads.size(); ++expert)
            for (const ExpertCopy& copy : placement.copies[expert])
                if (copy.rank == rank && copy.share > 0)
                    hot.push_back({ copy.share * loads[expert], expert });
        std::sort(hot.begin(), hot.end(), [](const Hot& a, const Hot& b) { return a.load > b.load; });
        hot.resize(std::min(hot.size(), expertsTried));
        return hot;
    }

    // A copy that could make room for one of a hot expert, and the largest load that would follow
    // on the ranks concerned if its tokens went to the least loaded of the other copies.
    struct Eviction {
        double largest = 0;
        uint32_t expert = 0;
        uint32_t rank = 0;
    };

    double loadAfterLoss(const std::vector<ExpertCopy>& copies, const ExpertCopy& lost, double load, const std::vector<double>& ranks)
    {
        std::optional<double> least;
        for (const ExpertCopy& copy : copies)
            if (copy.rank != lost.rank && (!least || ranks[copy.rank] < *least))
                least = ranks[copy.rank];
        return least.value_or(0) + lost.share * load;
    }

    // The evictions that look best for a copy of `hot`, best first.
    std::vector<Eviction> rankEvictions(const Placement& placement, std::span<const double> loads, const RankTopology& topology,
        const std::vector<double>& ranks, uint32_t hot)
    {
        const auto& hotCopies = placement.copies[hot];
        const double part = loads[hot] / static_cast<double>(hotCopies.size() + 1);
        std::vector<Eviction> evictions;
        for (uint32_t expert = 0; expert < loads.size(); ++expert) {
            if (expert == hot || placement.copies[expert].size() < 2)
                continue;
            for (const ExpertCopy& copy : placement.copies[expert]) {
                if (holds(hotCopies, copy.rank) || !canLose(placement.copies[expert], copy.rank, topology))
                    continue;
                const double here = ranks[copy.rank] - copy.share * loads[expert] + part;
                const double there = loadAfterLoss(placement.copies[expert], copy, loads[expert], ranks);
                evictions.push_back({ std::max(here, there), expert, copy.rank });
            }
        }
        const size_t count = std::min(evictions.size(), evictionsTried);
        std::partial_sort(evictions.begin(), evictions.begin() + static_cast<ptrdiff_t>(count), evictions.end(),
            [](const Eviction& a, const Eviction& b) { return a.largest < b.largest; });
        evictions.resize(count);
        return evictions;
    }

    double unevennessOf(const std::vector<double>& ranks)
    {
        constexpr double power = 16;
        const double mean = std::accumulate(ranks.begin(), ranks.end(), 0.0) / static_cast<double>(ranks.size());
        double sum = 0;
        for (const double load : ranks)
            sum += std::pow(load / mean, power);
        return std::pow(sum / static_cast<double>(ranks.size()), 1 / power);
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
    const std::vector<uint32_t> counts = detail::chooseCounts(loads, topology);
    std::vector<uint32_t> order(loads.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](uint32_t a, uint32_t b) { return loads[a] / counts[a] > loads[b] / counts[b]; });
    Placement placement;
    placement.copies.resize(loads.size());
    std::vector<double> ranks(topology.ranks);
    std::vector<uint32_t> free(topology.ranks, topology.slotsPerRank);
    const uint32_t needed = std::max(1U, topology.minCopies);
    // The copies that must exist come first, so that spare ones cannot take their places.
    for (const bool spare : { false, true }) {
        for (const uint32_t expert : order) {
            auto& copies = placement.copies[expert];
            const uint32_t wanted = spare ? counts[expert] : needed;
            while (copies.size() < wanted) {
                std::optional<uint32_t> best;
                for (uint32_t rank = 0; rank < topology.ranks; ++rank) {
                    const bool taken = spare ? detail::holds(copies, rank) : detail::holdsOnInstance(copies, rank, topology);
                    if (free[rank] && !taken && (!best || ranks[rank] < ranks[*best]))
                        best = rank;
                }
                if (!best)
                    break;
                copies.push_back({ *best, 1.0 / counts[expert] });
                ranks[*best] += loads[expert] / counts[expert];
                --free[*best];
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
    detail::splitFrom(placement, loads, ranks, detail::splitSweeps);
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

double largestLoadBound(std::span<const double> loads, const RankTopology& topology)
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
            moves += detail::holds(before.copies[expert], copy.rank) ? 0 : 1;
    return moves;
}

std::optional<CopyMove> findMove(const Placement& placement, std::span<const double> loads, const RankTopology& topology, Placement& after)
{
    const std::vector<double> ranks = rankLoads(placement, loads, topology);
    const auto fullest = static_cast<uint32_t>(std::max_element(ranks.begin(), ranks.end()) - ranks.begin());
    double best = detail::unevennessOf(ranks);
    std::optional<CopyMove> found;
    for (const detail::Hot& hot : detail::hottestOn(placement, loads, fullest)) {
        for (const detail::Eviction& eviction : detail::rankEvictions(placement, loads, topology, ranks, hot.index)) {
            const CopyMove move { hot.index, eviction.expert, eviction.rank };
            Placement tried = placement;
            detail::applyMove(tried, move);
            std::vector<double> triedRanks = rankLoads(tried, loads, topology);
            detail::splitFrom(tried, loads, triedRanks, detail::splitSweeps / 3);
            const double uneven = detail::unevennessOf(triedRanks);
            if (uneven >= best)
                continue;
            best = uneven;
            found = move;
            after = std::move(tried);
        }
    }
    return found;
}

} // namespace orioletrail
