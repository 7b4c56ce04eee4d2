// Divides the concurrency limit of an endpoint among the entries that send to it, as credits. A
// credit allows one attempt.
#pragma once

#include "base/types.h"

#include <deque>
#include <map>
#include <vector>

namespace orioletrail {

// A message to send on one connection: a positive number grants credits, a negative one recalls
// them.
struct CreditChange {
    uint64_t connection = 0;
    int32_t credits = 0;
};

// Keeps the sum of credits held by entries and attempts in flight at or below the limit.
// Credits granted before the limit fell may exceed it; tryOpen() refuses them.
class CreditPool {
public:
    // Sets the number of attempts that the endpoint may run at once.
    void setLimit(uint32_t limit) { m_limit = limit; }

    // Adds a connection that holds no credits.
    void connect(uint64_t connection);

    // Frees the credits that the connection holds; its attempts in flight continue.
    void disconnect(uint64_t connection);

    // The demand of a connection is the number of its attempts in flight and waiting.
    void setDemand(uint64_t connection, uint32_t credits);

    // Takes back credits that the connection returned unused, at most as many as it holds. Each call
    // answers the oldest recall that has had no answer, even if fewer credits come back than were recalled.
    void returnCredits(uint64_t connection, uint32_t credits);

    // Spends one credit of the connection to start an attempt. Returns None if it may run, NoCredit
    // if the connection holds no credit, OverLimit if the limit has fallen since the credit was
    // granted; in the last case the credit is spent too.
    Reason tryOpen(uint64_t connection);

    // Ends one attempt in flight.
    void finish();

    // Grants free credits, first to equal shares, then to demand beyond them, and recalls
    // credits that lie idle while others want some.
    std::vector<CreditChange> rebalance();

    uint32_t inFlight() const { return m_inFlight; }
    uint32_t limit() const { return m_limit; }
    // Credits held by all connections.
    uint32_t held() const { return m_held; }
    // Credits held by one connection.
    uint32_t held(uint64_t connection) const;

private:
    struct Holder {
        uint32_t held = 0;
        uint32_t demand = 0;
        // Sizes of the recalls without an answer, in the order of sending, and their sum.
        std::deque<uint32_t> recalls;
        uint32_t recalled = 0;
    };

    uint32_t freeCredits() const;
    // Grants free credits to each connection that holds fewer than `share`.
    void grantUpTo(uint32_t share, std::map<uint64_t, int32_t>& changes);
    // Grants free credits one at a time, in turn, to connections that hold fewer than their demand.
    void grantDemand(std::map<uint64_t, int32_t>& changes);
    // Recalls credits beyond the holders' demand, as many as other connections lack plus as many as
    // exceed the limit.
    void recallIdle(std::map<uint64_t, int32_t>& changes);

    std::map<uint64_t, Holder> m_holders;
    uint32_t m_limit = 0;
    uint32_t m_inFlight = 0;
    uint32_t m_held = 0;
    // The connection that was granted a credit last. The next round starts after it, so that no
    // connection is favoured.
    uint64_t m_lastGranted = 0;
};

} // namespace orioletrail
