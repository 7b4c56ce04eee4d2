// Who leads a group: a lease in the platform whose fencing token rises with each change.
#pragma once

#include "base/types.h"

namespace orioletrail {

// The stored value of a lease.
struct LeaseRecord {
    uint64_t token = 0;
    // Random start number of the process that holds it.
    uint64_t holder = 0;

    bool operator==(const LeaseRecord&) const = default;
};

std::string toJson(const LeaseRecord&);

// Nothing, with `reason` set, if the text is not a lease record.
std::optional<LeaseRecord> parseLeaseRecord(std::string_view, std::string& reason);

struct LeaseSettings {
    // Between two calls to the platform.
    Millis interval { 500 };
    // A leader of which nothing was heard for this long, by the observer's own clock, is replaced.
    Millis timeout { 2000 };
};

struct LeaseWrite {
    LeaseRecord record;
    uint64_t expected = 0;
};

struct LeaseActions {
    bool read = false;
    std::optional<LeaseWrite> write;
};

// One process that would lead. A pure state machine: it compares no clocks of different
// processes, and nobody renews a lease, so that a group that is well makes no calls. Holding a
// lease permits nothing by itself: ranks check the token that came with it.
class LeaseCandidate {
public:
    LeaseCandidate(uint64_t self, const LeaseSettings& settings = {})
        : m_self(self)
        , m_settings(settings)
    {
    }

    // The group's leader was heard of, by its messages to this rank.
    void onLeaderHeard(TimePoint now) { m_heard = now; }

    // Looks at the lease if it is not known or nothing was heard of its holder. At most one call is under way.
    LeaseActions tick(TimePoint);

    // The reply to a read; a revision of 0 means that there is no lease yet.
    LeaseActions onRead(const LeaseRecord&, uint64_t revision, TimePoint);

    void onWritten(uint64_t revision, TimePoint);

    // A read that failed, or a write that was refused or of which nothing is known: read next.
    void onUnresolved(TimePoint);

    // The token held by this process, as far as it knows.
    std::optional<uint64_t> token() const;

    // Highest token seen, whoever holds it.
    uint64_t highestToken() const { return m_record.token; }

    // True once the lease has been read.
    bool isKnown() const { return m_known; }

private:
    LeaseActions write(const LeaseRecord&);

    uint64_t m_self;
    LeaseSettings m_settings;
    LeaseRecord m_record;
    std::optional<LeaseRecord> m_writing;
    uint64_t m_revision = 0;
    bool m_known = false;
    bool m_held = false;
    bool m_busy = false;
    bool m_mustRead = true;
    TimePoint m_next;
    // When the leader was last heard of; at first, when this process began to listen.
    std::optional<TimePoint> m_heard;
};

} // namespace orioletrail
