// Hands the leadership of the expert maps over from an instance that stops to one other process.
#pragma once

#include "base/types.h"

#include <functional>
#include <optional>
#include <string>

namespace orioletrail {

// Leadership of the expert maps, with the range of numbers that the leader may use as fencing
// tokens and map versions. Each leadership acquired from the store has a range above all earlier
// ones.
struct MapLeadership {
    // The range is above `base`, up to `end`.
    uint64_t base = 0;
    uint64_t end = 0;

    bool operator==(const MapLeadership&) const = default;
};

// One process of an instance. A restarted instance is a different process: it must not accept what
// was offered to the earlier one, which may have used it already.
struct InstanceProcess {
    std::string instance;
    // Random number drawn when the process starts.
    uint64_t incarnation = 0;

    bool operator==(const InstanceProcess&) const = default;
};

// A leadership that a stopping instance offers to its successor.
struct LeadershipOffer {
    InstanceProcess successor;
    MapLeadership leadership;

    bool operator==(const LeadershipOffer&) const = default;
};

// Makes and accepts offers such that each leadership passes to one process only: two leaders with
// the same range would use the same numbers for different maps. An offer is sent repeatedly until
// the stopping process exits, so it never changes once made, and is accepted only once.
class LeadershipHandover {
public:
    explicit LeadershipHandover(InstanceProcess self)
        : m_self(std::move(self))
    {
    }

    // Returns the offer of this instance's leadership, or nothing while there is no successor. The
    // first process that `findSuccessor` returns gets the offer; later calls return the same one.
    const std::optional<LeadershipOffer>& offer(const MapLeadership&, const std::function<std::optional<InstanceProcess>()>& findSuccessor);

    // Returns the offered leadership if the offer is addressed to this process and was not accepted
    // before.
    std::optional<MapLeadership> accept(const LeadershipOffer&);

    const InstanceProcess& self() const { return m_self; }

private:
    InstanceProcess m_self;
    std::optional<LeadershipOffer> m_offer;
    // End of the range that was accepted last.
    uint64_t m_acceptedEnd = 0;
};

} // namespace orioletrail
