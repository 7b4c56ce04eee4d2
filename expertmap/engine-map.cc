#include "expertmap/engine-map.h"

#include <algorithm>
#include <numeric>

namespace orioletrail {

namespace detail {

    using RankExperts = std::vector<std::vector<uint32_t>>;

    // Steps of improvement of one set, and how many experts, ranks and evictions each one tries.
    constexpr int mostSteps = 64;
    constexpr size_t expertsTried = 4;
    constexpr size_t ranksTried = 5;
    constexpr size_t evictionsTried = 3;
    // A step must lower the cost by this share to be taken.
    constexpr double leastGain = 0.002;

    bool holds(const std::vector<uint32_t>& experts, uint32_t expert)
    {
        return std::binary_search(experts.begin(), experts.end(), expert);
    }

    // One set while it is being improved.
    class SetPlan {
    public:
        // `budgets` are the experts that each rank may still add, over all sets.
        SetPlan(const RankExperts& ranks, std::span<const double> counts, const MapLimits& limits, const RankSlowness& slowness, std::vector<uint32_t>& budgets)
            : m_before(ranks)
            , m_ranks(ranks)
            , m_counts(counts)
            , m_limits(limits)
            , m_slowness(slowness)
            , m_budgets(budgets)
            , m_copies(counts.size())
            , m_added(ranks.size())
        {
            for (const auto& experts : m_ranks)
                for (const uint32_t expert : experts)
                    ++m_copies[expert];
            m_loads.resize(m_ranks.size());
            for (uint32_t rank = 0; rank < m_ranks.size(); ++rank)
                for (const uint32_t expert : m_ranks[rank])
                    m_loads[rank] += part(expert);
            m_mean = std::accumulate(m_loads.begin(), m_loads.end(), 0.0) / static_cast<double>(m_loads.size());
        }

        const RankExperts& ranks() const { return m_ranks; }

        // Largest rank load over the mean, or nothing if no more can be gained.
        std::optional<double> largest() const
        {
            if (m_mean <= 0 || m_finished)
                return std::nullopt;
            return timeOf(m_loads, slowest(m_loads)) / m_mean;
        }

        void improve()
        {
            m_finished = ++m_steps > mostSteps || !improveOnce();
        }

    private:
        // An expert that gets a copy on a rank, perhaps instead of the one on the fullest rank or
        // of another expert there.
        struct Change {
            uint32_t expert = 0;
            uint32_t to = 0;
            bool leavesFullest = false;
            std::optional<uint32_t> evicted;
        };

        double part(uint32_t expert) const { return m_counts[expert] / m_copies[expert]; }

        double timeOf(const std::vector<double>& loads, uint32_t rank) const
        {
            return loads[rank] * (m_slowness.empty() ? 1 : m_slowness[rank]);
        }

        // The rank that takes the longest.
        uint32_t slowest(const std::vector<double>& loads) const
        {
            uint32_t found = 0;
            for (uint32_t rank = 1; rank < loads.size(); ++rank)
                if (timeOf(loads, rank) > timeOf(loads, found))
                    found = rank;
            return found;
        }

        // Follows the longest time, and falls too when one of several equally long ones does.
        double costOf(const std::vector<double>& loads) const
        {
            double sum = 0;
            for (uint32_t rank = 0; rank < loads.size(); ++rank) {
                const double time = timeOf(loads, rank) / m_mean;
                const double second = time * time;
                const double fourth = second * second;
                const double eighth = fourth * fourth;
                sum += eighth * eighth;
            }
            return sum;
        }

        // Loads after the number of an expert's copies changes, over the ranks that hold it.
        void rescale(std::vector<double>& loads, uint32_t expert, double change) const
        {
            for (uint32_t rank = 0; rank < m_ranks.size(); ++rank)
                if (holds(m_ranks[rank], expert))
                    loads[rank] += change;
        }

        std::vector<double> loadsAfter(const Change& change, uint32_t fullest) const
        {
            std::vector<double> loads = m_loads;
            const double copies = m_copies[change.expert];
            if (change.leavesFullest) {
                loads[fullest] -= part(change.expert);
                loads[change.to] += part(change.expert);
            } else {
                const double after = m_counts[change.expert] / (copies + 1);
                rescale(loads, change.expert, after - part(change.expert));
                loads[change.to] += after;
            }
            if (change.evicted) {
                const double after = m_counts[*change.evicted] / (m_copies[*change.evicted] - 1);
                rescale(loads, *change.evicted, after - part(*change.evicted));
                loads[change.to] -= after;
            }
            return loads;
        }

        std::vector<uint32_t> hottestOn(uint32_t rank) const
        {
            std::vector<uint32_t> experts = m_ranks[rank];
            std::sort(experts.begin(), experts.end(), [&](uint32_t a, uint32_t b) { return part(a) > part(b); });
            experts.resize(std::min(experts.size(), expertsTried));
            return experts;
        }

        std::vector<uint32_t> leastLoaded(uint32_t expert) const
        {
            std::vector<uint32_t> ranks;
            for (uint32_t rank = 0; rank < m_ranks.size(); ++rank) {
                const bool isNew = !holds(m_before[rank], expert);
                if (!holds(m_ranks[rank], expert) && (!isNew || (m_added[rank] < m_limits.newPerChange && m_budgets[rank])))
                    ranks.push_back(rank);
            }
            std::sort(ranks.begin(), ranks.end(), [&](uint32_t a, uint32_t b) { return timeOf(m_loads, a) < timeOf(m_loads, b); });
            ranks.resize(std::min(ranks.size(), ranksTried));
            return ranks;
        }

        // Experts of a rank that can go, the least loaded first.
        std::vector<uint32_t> evictable(uint32_t rank) const
        {
            std::vector<uint32_t> experts;
            for (const uint32_t expert : m_ranks[rank])
                if (m_copies[expert] > 1)
                    experts.push_back(expert);
            std::sort(experts.begin(), experts.end(), [&](uint32_t a, uint32_t b) { return part(a) < part(b); });
            experts.resize(std::min(experts.size(), evictionsTried));
            return experts;
        }

        bool improveOnce()
        {
            const uint32_t fullest = slowest(m_loads);
            double bestCost = costOf(m_loads) * (1 - leastGain);
            std::optional<Change> best;
            const auto tryChange = [&](const Change& change) {
                const double cost = costOf(loadsAfter(change, fullest));
                if (cost >= bestCost)
                    return;
                bestCost = cost;
                best = change;
            };
            for (const uint32_t expert : hottestOn(fullest)) {
                for (const uint32_t to : leastLoaded(expert)) {
                    if (m_ranks[to].size() < m_limits.places) {
                        tryChange({ expert, to, false, std::nullopt });
                        tryChange({ expert, to, true, std::nullopt });
                        continue;
                    }
                    for (const uint32_t evicted : evictable(to)) {
                        tryChange({ expert, to, false, evicted });
                        tryChange({ expert, to, true, evicted });
                    }
                }
            }
            if (best)
                apply(*best, fullest);
            return best.has_value();
        }

        void apply(const Change& change, uint32_t fullest)
        {
            m_loads = loadsAfter(change, fullest);
            if (change.leavesFullest)
                remove(fullest, change.expert);
            if (change.evicted)
                remove(change.to, *change.evicted);
            add(change.to, change.expert);
        }

        void add(uint32_t rank, uint32_t expert)
        {
            auto& experts = m_ranks[rank];
            experts.insert(std::lower_bound(experts.begin(), experts.end(), expert), expert);
            ++m_copies[expert];
            if (holds(m_before[rank], expert))
                return;
            ++m_added[rank];
            --m_budgets[rank];
        }

        void remove(uint32_t rank, uint32_t expert)
        {
            auto& experts = m_ranks[rank];
            experts.erase(std::lower_bound(experts.begin(), experts.end(), expert));
            --m_copies[expert];
            if (holds(m_before[rank], expert))
                return;
            --m_added[rank];
            ++m_budgets[rank];
        }

        const RankExperts& m_before;
        RankExperts m_ranks;
        std::span<const double> m_counts;
        MapLimits m_limits;
        const RankSlowness& m_slowness;
        std::vector<uint32_t>& m_budgets;
        std::vector<uint32_t> m_copies;
        // Experts that the change adds, by rank.
        std::vector<uint32_t> m_added;
        std::vector<double> m_loads;
        double m_mean = 0;
        int m_steps = 0;
        bool m_finished = false;
    };

} // namespace detail

ExpertMap startingMap(uint32_t sets, uint32_t experts, uint32_t ranks)
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
        const detail::SetPlan plan(map.experts[set], counts[set], {}, slowness, none);
        sum += plan.largest().value_or(1);
    }
    return map.experts.empty() ? 1 : sum / static_cast<double>(map.experts.size());
}

std::vector<uint32_t> countCopies(const ExpertMap& before, const ExpertMap& after)
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
    std::vector<uint32_t> budgets(map.experts.empty() ? 0 : map.experts.front().size(), limits.newPerRank);
    std::vector<detail::SetPlan> plans;
    for (size_t set = 0; set < map.experts.size(); ++set)
        plans.emplace_back(map.experts[set], counts[set], limits, slowness, budgets);
    // The most uneven set first, since the ranks' budgets are shared.
    while (true) {
        detail::SetPlan* worst = nullptr;
        for (detail::SetPlan& plan : plans)
            if (plan.largest() && (!worst || *plan.largest() > *worst->largest()))
                worst = &plan;
        if (!worst)
            break;
        worst->improve();
    }
    ExpertMap improved;
    for (const detail::SetPlan& plan : plans)
        improved.experts.push_back(plan.ranks());
    return improved;
}

bool isValidMap(const ExpertMap& map, uint32_t experts, const MapLimits& limits, std::string& reason)
{
    for (size_t set = 0; set < map.experts.size(); ++set) {
        std::vector<bool> held(experts);
        for (const auto& rank : map.experts[set]) {
            if (rank.size() > limits.places) {
                reason = "a rank holds " + std::to_string(rank.size()) + " experts of set " + std::to_string(set) + ", and has " + std::to_string(limits.places) + " places";
                return false;
            }
            for (const uint32_t expert : rank)
                if (expert < experts)
                    held[expert] = true;
        }
        const auto missing = std::find(held.begin(), held.end(), false);
        if (missing != held.end()) {
            reason = "expert " + std::to_string(missing - held.begin()) + " of set " + std::to_string(set) + " is on no rank";
            return false;
        }
    }
    return true;
}

} // namespace orioletrail
