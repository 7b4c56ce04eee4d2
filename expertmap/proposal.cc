#include "expertmap/proposal.h"

#include <algorithm>
#include <array>

namespace orioletrail {

namespace detail {

    // Factor by which passes take longer while ranks copy weights.
    constexpr double copySlowdown = 1.15;
    // Limits on the experts added to each rank; one change is computed for each limit.
    constexpr std::array<uint32_t, 6> maxAddedTried = { 1, 2, 4, 7, 12, 32 };

    double secondsOf(Millis time)
    {
        return std::chrono::duration<double>(time).count();
    }

} // namespace detail

std::optional<MapProposal> proposeMap(const ExpertMap& map, const ExpertCounts& counts, const RankSlowness& slowness, const MapLimits& limits, Millis copyTime, const ProposalSettings& settings)
{
    const double before = mapUnevenness(map, counts, slowness);
    const size_t ranks = map.experts.empty() ? 1 : std::max<size_t>(1, map.experts.front().size());
    const double costPerCopy = settings.copyCost * detail::secondsOf(copyTime) / static_cast<double>(ranks);
    std::optional<MapProposal> best;
    double bestEarlyGain = 0;
    for (const uint32_t maxAdded : detail::maxAddedTried) {
        MapProposal proposal;
        proposal.map = improveMap(map, counts, { limits.slotsPerRank, limits.maxAddedPerSet, maxAdded }, slowness);
        proposal.unevenness = mapUnevenness(proposal.map, counts, slowness);
        uint32_t maxCopies = 0;
        for (const uint32_t copies : countAddedExperts(map, proposal.map)) {
            proposal.copies += copies;
            maxCopies = std::max(maxCopies, copies);
        }
        proposal.copyTime = maxCopies * copyTime;
        const auto gainOver = [&](Millis time) {
            const double total = detail::secondsOf(time);
            const double copying = std::min(detail::secondsOf(proposal.copyTime), total);
            return (before - proposal.unevenness) * (total - copying) - (detail::copySlowdown - 1) * before * copying - costPerCopy * proposal.copies;
        };
        proposal.gain = gainOver(settings.horizon);
        const double earlyGain = gainOver(settings.changeInterval);
        if (proposal.gain < settings.minGain || earlyGain <= bestEarlyGain)
            continue;
        bestEarlyGain = earlyGain;
        best = std::move(proposal);
    }
    return best;
}

} // namespace orioletrail
