#include "priority/report.h"

#include <algorithm>

namespace orioletrail {

int clampPriority(int priority)
{
    return std::clamp(priority, 0, lowestPriority);
}

Urgency urgencyOf(int priority, bool isExcess, bool hasClaim)
{
    return static_cast<Urgency>(clampPriority(priority)) * urgenciesPerPriority + (isExcess ? 2 : 0) + (hasClaim ? 0 : 1);
}

int priorityOf(Urgency urgency)
{
    return static_cast<int>(urgency / urgenciesPerPriority);
}

} // namespace orioletrail
