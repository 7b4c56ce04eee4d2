// Passes the lead of the expert maps from an instance that stops to one other process.
#pragma once

#include "base/types.h"

#include <functional>
#include <optional>
#include <string>

namespace orioletrail {

// The right to lead, as the numbers that fences and versions may be taken from. Whoever takes the
// lead in the store gets higher ones than all before.
struct MapLead {
    // Numbers above this one are free.
    uint64_t base = 0;
    uint64_t end = 0;

    bool operator==(const MapLead&) const = default;
};

// A process of an instance. An instance that starts again is another process and must not take
// what was meant for the earlier one, which may have used it.
struct InstanceRun {
    std::string instance;
    // Drawn at random when the process starts.
    uint64_t run = 0;

    bool operator==(const InstanceRun&) const = default;
};

struct LeadOffer {
    InstanceRun successor;
    MapLead lead;

    bool operator==(const LeadOffer&) const = default;
};

// Each lead may be used by one process only, or two leaders would use the same numbers for
// different maps. An offer is repeated until its maker has gone, so it is made once and taken once.
class LeadHandover {
public:
    explicit LeadHandover(InstanceRun own)
        : m_own(std::move(own))
    {
    }

    // The offer of this instance's lead. Goes to the process that `successor` names the first time
    // that it names one, and to no other after that.
    const std::optional<LeadOffer>& offer(const MapLead&, const std::function<std::optional<InstanceRun>()>& successor);

    // The lead of an offer that is meant for this process and that it has not taken yet.
    std::optional<MapLead> take(const LeadOffer&);

    const InstanceRun& own() const { return m_own; }

private:
    InstanceRun m_own;
    std::optional<LeadOffer> m_offer;
    // End of the latest lead that was taken.
    uint64_t m_takenEnd = 0;
};

} // namespace orioletrail
