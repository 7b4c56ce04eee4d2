// Leader election for a group: a lease stored in the platform, whose fencing token rises each time
// another process takes it.
#pragma once

#include "base/types.h"

namespace orioletrail {

// The stored value of a lease.
struct LeaseRecord {
    uint64_t token = 0;
    // Random start number of the process that holds the lease.
    uint64_t holder = 0;

    bool operator==(const LeaseRecord&) const = default;
};

std::string toJson(const LeaseRecord&);

// Returns nothing and sets `reason` if the text is not a lease record.
std::optional<LeaseRecord> parseLeaseRecord(std::string_view, std::string& reason);

struct LeaseSettings {
    // Minimum time between reads of the lease.
    Millis readInterval { 500 };
    // A candidate takes the lease if it has not heard from the leader for this time, by its own clock.
    Millis timeout { 2000 };
};

// A conditional write of the lease.
struct LeaseWrite {
    LeaseRecord record;
    // Revision that the lease must have for the write to succeed; 0 if it must not exist.
    uint64_t expectedRevision = 0;
};

// Calls to the platform that the driver has to make.
struct LeaseActions {
    bool read = false;
    std::optional<LeaseWrite> write;
};

// State machine of a process that can become the leader. It never compares clocks of different
// processes. Leases are not renewed, so a group with a live leader makes no calls to the platform.
// Holding the lease alone grants nothing: the ranks check the fencing token that comes with it.
class LeaseCandidate {
public:
    LeaseCandidate(uint64_t self, const LeaseSettings& settings = {})
        : m_self(self)
        , m_settings(settings)
    {
    }

    // This rank has received a message from the leader of the group.
    void onLeaderHeard(TimePoint now) { m_leaderHeardAt = now; }

    // Starts a read if the lease is not known or the leader has timed out. At most one call is in
    // progress.
    LeaseActions tick(TimePoint);

    // Takes in the result of a read. A revision of 0 means that there is no lease yet.
    LeaseActions onRead(const LeaseRecord&, uint64_t revision, TimePoint);

    // The write succeeded; the lease has the given revision now.
    void onWritten(uint64_t revision, TimePoint);

    // The read failed, or the write was refused or its result is unknown. Reads the lease next.
    void onUnresolved(TimePoint);

    // The fencing token if this process holds the lease, as far as it knows.
    std::optional<uint64_t> token() const;

    // The token in the lease as last read or written, whoever holds it.
    uint64_t highestToken() const { return m_record.token; }

    // True once the lease has been read.
    bool isKnown() const { return m_known; }

private:
    LeaseActions write(const LeaseRecord&);

    // Start number of this process.
    uint64_t m_self;
    LeaseSettings m_settings;
    LeaseRecord m_record;
    std::optional<LeaseRecord> m_recordBeingWritten;
    uint64_t m_revision = 0;
    bool m_known = false;
    bool m_isHolder = false;
    bool m_callInProgress = false;
    bool m_mustRead = true;
    TimePoint m_nextRead;
    // When the leader was last heard from; at first, the time of the first tick.
    std::optional<TimePoint> m_leaderHeardAt;
};

} // namespace orioletrail
