#include "expertmap/engine-map.h"

#include <algorithm>
#include <numeric>

namespace orioletrail {

namespace detail {

    using RankExperts = std::vector<std::vector<uint32_t>>;

    // Limits of the search: improvements of one layer set, and the experts, target ranks and
    // evictions that are tried for each improvement.
    constexpr int maxImprovements = 64;
    constexpr size_t maxExpertsTried = 4;
    constexpr size_t maxRanksTried = 5;
    constexpr size_t maxEvictionsTried = 3;
    // Minimum relative reduction of the cost for a change to be applied.
    constexpr double minCostReduction = 0.002;

    bool holds(const std::vector<uint32_t>& experts, uint32_t expert)
    {
        return std::binary_search(experts.begin(), experts.end(), expert);
    }

    // Greedy local search over the assignment of one layer set.
    class SetOptimizer {
    public:
        // `budgets` holds the number of experts that each rank may still add, and is shared by all
        // layer sets.
        SetOptimizer(const RankExperts& ranks, std::span<const double> counts, const MapLimits& limits, const RankSlowness& slowness, std::vector<uint32_t>& budgets)
            : m_original(ranks)
            , m_ranks(ranks)
            , m_counts(counts)
            , m_limits(limits)
            , m_slowness(slowness)
            , m_budgets(budgets)
            , m_copyCounts(counts.size())
            , m_added(ranks.size())
        {
            for (const auto& experts : m_ranks)
                for (const uint32_t expert : experts)
                    ++m_copyCounts[expert];
            m_loads.resize(m_ranks.size());
            for (uint32_t rank = 0; rank < m_ranks.size(); ++rank)
                for (const uint32_t expert : m_ranks[rank])
                    m_loads[rank] += loadPerCopy(expert);
            m_meanLoad = std::accumulate(m_loads.begin(), m_loads.end(), 0.0) / static_cast<double>(m_loads.size());
        }

        const RankExperts& ranks() const { return m_ranks; }

        // Processing time of the slowest rank over that of a rank at normal speed with the mean load.
        // Nothing if there is no load or no further improvement was found.
        std::optional<double> slowestRelativeTime() const
        {
            if (m_meanLoad <= 0 || m_finished)
                return std::nullopt;
            return processingTime(m_loads, slowestRank(m_loads)) / m_meanLoad;
        }

        void improve()
        {
            m_finished = ++m_improvements > maxImprovements || !improveOnce();
        }

    private:
        // Adds a copy of an expert to a rank. May drop the copy on the slowest rank, and may evict
        // another expert from the target rank.
        struct Change {
            uint32_t expert = 0;
            uint32_t to = 0;
            bool dropsFromSlowest = false;
            std::optional<uint32_t> evicted;
        };

        double loadPerCopy(uint32_t expert) const { return m_counts[expert] / m_copyCounts[expert]; }

        double processingTime(const std::vector<double>& loads, uint32_t rank) const
        {
            return loads[rank] * (m_slowness.empty() ? 1 : m_slowness[rank]);
        }

        // The rank with the longest processing time.
        uint32_t slowestRank(const std::vector<double>& loads) const
        {
            uint32_t found = 0;
            for (uint32_t rank = 1; rank < loads.size(); ++rank)
                if (processingTime(loads, rank) > processingTime(loads, found))
                    found = rank;
            return found;
        }

        // Sum of the 16th powers of the processing times. The longest time dominates it, and unlike a
        // maximum it also falls when only one of several equally slow ranks improves.
        double costOf(const std::vector<double>& loads) const
        {
            double sum = 0;
            for (uint32_t rank = 0; rank < loads.size(); ++rank) {
                const double time = processingTime(loads, rank) / m_meanLoad;
                const double square = time * time;
                const double fourth = square * square;
                const double eighth = fourth * fourth;
                sum += eighth * eighth;
            }
            return sum;
        }

        // Adds `change` to the load of each rank that holds the expert.
        void addToHolders(std::vector<double>& loads, uint32_t expert, double change) const
        {
            for (uint32_t rank = 0; rank < m_ranks.size(); ++rank)
                if (holds(m_ranks[rank], expert))
                    loads[rank] += change;
        }

        std::vector<double> loadsAfter(const Change& change, uint32_t slowest) const
        {
            std::vector<double> loads = m_loads;
            const double copies = m_copyCounts[change.expert];
            if (change.dropsFromSlowest) {
                loads[slowest] -= loadPerCopy(change.expert);
                loads[change.to] += loadPerCopy(change.expert);
            } else {
                const double after = m_counts[change.expert] / (copies + 1);
                addToHolders(loads, change.expert, after - loadPerCopy(change.expert));
                loads[change.to] += after;
            }
            if (change.evicted) {
                const double after = m_counts[*change.evicted] / (m_copyCounts[*change.evicted] - 1);
                addToHolders(loads, *change.evicted, after - loadPerCopy(*change.evicted));
                loads[change.to] -= after;
            }
            return loads;
        }

        std::vector<uint32_t> hottestExperts(uint32_t rank) const
        {
            std::vector<uint32_t> experts = m_ranks[rank];
            std::sort(experts.begin(), experts.end(), [&](uint32_t a, uint32_t b) { return loadPerCopy(a) > loadPerCopy(b); });
            experts.resize(std::min(experts.size(), maxExpertsTried));
            return experts;
        }

        std::vector<uint32_t> targetRanks(uint32_t expert) const
        {
            std::vector<uint32_t> ranks;
            for (uint32_t rank = 0; rank < m_ranks.size(); ++rank) {
                const bool isNew = !holds(m_original[rank], expert);
                if (!holds(m_ranks[rank], expert) && (!isNew || (m_added[rank] < m_limits.maxAddedPerSet && m_budgets[rank])))
                    ranks.push_back(rank);
            }
            std::sort(ranks.begin(), ranks.end(), [&](uint32_t a, uint32_t b) { return processingTime(m_loads, a) < processingTime(m_loads, b); });
            ranks.resize(std::min(ranks.size(), maxRanksTried));
            return ranks;
        }

        // Experts of a rank that also have a copy elsewhere, the least loaded first.
        std::vector<uint32_t> evictionCandidates(uint32_t rank) const
        {
            std::vector<uint32_t> experts;
            for (const uint32_t expert : m_ranks[rank])
                if (m_copyCounts[expert] > 1)
                    experts.push_back(expert);
            std::sort(experts.begin(), experts.end(), [&](uint32_t a, uint32_t b) { return loadPerCopy(a) < loadPerCopy(b); });
            experts.resize(std::min(experts.size(), maxEvictionsTried));
            return experts;
        }

        bool improveOnce()
        {
            const uint32_t slowest = slowestRank(m_loads);
            double bestCost = costOf(m_loads) * (1 - minCostReduction);
            std::optional<Change> best;
            const auto tryChange = [&](const Change& change) {
                const double cost = costOf(loadsAfter(change, slowest));
                if (cost >= bestCost)
                    return;
                bestCost = cost;
                best = change;
            };
            for (const uint32_t expert : hottestExperts(slowest)) {
                for (const uint32_t to : targetRanks(expert)) {
                    if (m_ranks[to].size() < m_limits.slotsPerRank) {
                        tryChange({ expert, to, false, std::nullopt });
                        tryChange({ expert, to, true, std::nullopt });
                        continue;
                    }
                    for (const uint32_t evicted : evictionCandidates(to)) {
                        tryChange({ expert, to, false, evicted });
                        tryChange({ expert, to, true, evicted });
                    }
                }
            }
            if (best)
                apply(*best, slowest);
            return best.has_value();
        }

        void apply(const Change& change, uint32_t slowest)
        {
            m_loads = loadsAfter(change, slowest);
            if (change.dropsFromSlowest)
                remove(slowest, change.expert);
            if (change.evicted)
                remove(change.to, *change.evicted);
            add(change.to, change.expert);
        }

        void add(uint32_t rank, uint32_t expert)
        {
            auto& experts = m_ranks[rank];
            experts.insert(std::lower_bound(experts.begin(), experts.end(), expert), expert);
            ++m_copyCounts[expert];
            if (holds(m_original[rank], expert))
                return;
            ++m_added[rank];
            --m_budgets[rank];
        }

        void remove(uint32_t rank, uint32_t expert)
        {
            auto& experts = m_ranks[rank];
            experts.erase(std::lower_bound(experts.begin(), experts.end(), expert));
            --m_copyCounts[expert];
            if (holds(m_original[rank], expert))
                return;
            --m_added[rank];
            ++m_budgets[rank];
        }

        const RankExperts& m_original;
        RankExperts m_ranks;
        std::span<const double> m_counts;
        MapLimits m_limits;
        const RankSlowness& m_slowness;
        std::vector<uint32_t>& m_budgets;
        std::vector<uint32_t> m_copyCounts;
        // Experts added to each rank since the search began.
        std::vector<uint32_t> m_added;
        std::vector<double> m_loads;
        double m_meanLoad = 0;
        int m_improvements = 0;
        bool m_finished = false;
    };

} // namespace detail

ExpertMap initialMap(uint32_t sets, uint32_t experts, uint32_t ranks)
{
    ExpertMap map;
    map.experts.assign(sets, std::vector<std::vector<uint32_t>>(ranks));
    for (auto& set : map.experts)
        for (uint32_t expert = 0; expert < experts; ++expert)
            set[expert % ranks].push_back(expert);
    return map;
}

double mapUnevenness(const ExpertMap& map, const ExpertCounts& counts, const RankSlowness& slowness)
{
    double sum = 0;
    for (size_t set = 0; set < map.experts.size(); ++set) {
        std::vector<uint32_t> none;
        const detail::SetOptimizer optimizer(map.experts[set], counts[set], {}, slowness, none);
        sum += optimizer.slowestRelativeTime().value_or(1);
    }
    return map.experts.empty() ? 1 : sum / static_cast<double>(map.experts.size());
}

std::vector<uint32_t> countAddedExperts(const ExpertMap& before, const ExpertMap& after)
{
    std::vector<uint32_t> copies;
    for (size_t set = 0; set < after.experts.size(); ++set) {
        copies.resize(std::max(copies.size(), after.experts[set].size()));
        for (size_t rank = 0; rank < after.experts[set].size(); ++rank)
            for (const uint32_t expert : after.experts[set][rank])
                copies[rank] += detail::holds(before.experts[set][rank], expert) ? 0 : 1;
    }
    return copies;
}

ExpertMap improveMap(const ExpertMap& map, const ExpertCounts& counts, const MapLimits& limits, const RankSlowness& slowness)
{
    std::vector<uint32_t> budgets(map.experts.empty() ? 0 : map.experts.front().size(), limits.maxAddedPerRank);
    std::vector<detail::SetOptimizer> optimizers;
    for (size_t set = 0; set < map.experts.size(); ++set)
        optimizers.emplace_back(map.experts[set], counts[set], limits, slowness, budgets);
    // Always improves the most uneven layer set next, since the layer sets share the ranks' budgets.
    while (true) {
        detail::SetOptimizer* worst = nullptr;
        for (detail::SetOptimizer& optimizer : optimizers)
            if (optimizer.slowestRelativeTime() && (!worst || *optimizer.slowestRelativeTime() > *worst->slowestRelativeTime()))
                worst = &optimizer;
        if (!worst)
            break;
        worst->improve();
    }
    ExpertMap improved;
    for (const detail::SetOptimizer& optimizer : optimizers)
        improved.experts.push_back(optimizer.ranks());
    return improved;
}

bool isValidMap(const ExpertMap& map, uint32_t experts, const MapLimits& limits, std::string& reason)
{
    for (size_t set = 0; set < map.experts.size(); ++set) {
        std::vector<bool> held(experts);
        for (const auto& rank : map.experts[set]) {
            if (rank.size() > limits.slotsPerRank) {
                reason = "a rank holds " + std::to_string(rank.size()) + " experts of layer set " + std::to_string(set) + ", but has " + std::to_string(limits.slotsPerRank) + " places";
                return false;
            }
            for (const uint32_t expert : rank)
                if (expert < experts)
                    held[expert] = true;
        }
        const auto missing = std::find(held.begin(), held.end(), false);
        if (missing != held.end()) {
            reason = "expert " + std::to_string(missing - held.begin()) + " of layer set " + std::to_string(set) + " is on no rank";
            return false;
        }
    }
    return true;
}

} // namespace orioletrail
