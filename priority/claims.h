// Times that refused callers were told to come back at, as counts in slots of time.
#pragma once

#include "priority/report.h"

#include <map>

namespace orioletrail {

// A refused caller's request for a time.
struct ClaimRequest {
    int priority = 0;
    // When there is room for it by what waits already, from now.
    Millis earliest { 0 };
    // Callers that can be served per second besides more urgent ones.
    double perSecond = 1;
    // Longest delay that the caller accepts.
    Millis longest { 0 };
};

// Claims on one service. A claim belongs to no particular caller: a caller that comes back at any entry, within
// the time of a claim of its priority, has one.
class Claims {
public:
    // The delay to name to the caller, with a part that spreads callers of the same slot evenly. `isMade` is set
    // if a claim was counted: there is room within the longest delay.
    Millis name(const ClaimRequest&, TimePoint, bool& isMade);

    // A caller of the priority came back. True if a claim of the priority is due, which is used up then.
    bool redeem(int priority, TimePoint);

    // Claims of this priority and more urgent ones that fall due within the next slot or were due in the last.
    double due(int priority, TimePoint) const;

    // Claims that were made here, less those redeemed here.
    std::vector<ClaimRow> report(TimePoint) const;
    // Replaces the claims of another entry.
    void onPeer(std::string_view peer, const std::vector<ClaimRow>&, TimePoint);

    uint64_t made() const { return m_made; }
    uint64_t honoured() const { return m_honoured; }

private:
    // Slots are numbered by this entry's clock.
    using Slot = int64_t;
    using Counts = std::map<std::pair<Slot, int>, int32_t>;

    struct Peer {
        Counts counts;
        TimePoint received;
    };

    int32_t own(Slot, int priority) const;
    int32_t total(Slot, int priority, TimePoint) const;
    void forget(TimePoint);

    Counts m_own;
    std::map<std::string, Peer, std::less<>> m_peers;
    uint64_t m_made = 0;
    uint64_t m_honoured = 0;
    // Number of names so far, for the spread within a slot.
    uint32_t m_named = 0;
};

} // namespace orioletrail
