#include "group/shares.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <numeric>

namespace orioletrail {

namespace detail {

    // Streams of the group with which a pass takes `passMs`.
    double streamsForPass(const GroupPass& group, double passMs)
    {
        if (group.perStreamMs <= 0)
            return passMs >= group.fixedMs ? group.capacity : 0;
        return std::clamp((passMs - group.fixedMs) / group.perStreamMs * group.endpoints, 0.0, group.capacity);
    }

} // namespace detail

std::vector<double> groupShares(std::span<const GroupPass> groups, double streams)
{
    std::vector<double> shares;
    double capacity = 0;
    double shortest = std::numeric_limits<double>::max();
    double longest = 0;
    for (const GroupPass& group : groups) {
        shares.push_back(std::max(0.0, group.capacity));
        capacity += shares.back();
        if (group.capacity <= 0)
            continue;
        shortest = std::min(shortest, group.fixedMs);
        longest = std::max(longest, group.fixedMs + group.perStreamMs * group.capacity / std::max(1.0, group.endpoints));
    }
    // Halves the range of lengths until it is below a millionth of it.
    constexpr int iterations = 20;
    for (int i = 0; streams < capacity && i < iterations; ++i) {
        const double middle = (shortest + longest) / 2;
        double filled = 0;
        for (const GroupPass& group : groups)
            filled += detail::streamsForPass(group, middle);
        (filled < streams ? shortest : longest) = middle;
    }
    if (streams < capacity)
        for (size_t index = 0; index < groups.size(); ++index)
            shares[index] = detail::streamsForPass(groups[index], longest);
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double& share : shares)
        share = sum > 0 ? share / sum : 0;
    return shares;
}

} // namespace orioletrail
