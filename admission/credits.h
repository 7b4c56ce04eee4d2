// Divides what an endpoint can bear among the entries that send to it.
#pragma once

#include "base/types.h"

#include <map>
#include <vector>

namespace orioletrail {

// A change to tell one connection: a positive number grants credits, a negative recalls them.
struct CreditChange {
    uint64_t connection = 0;
    int32_t credits = 0;
};

// Keeps the sum of credits held by entries and attempts in flight at or below the limit.
// Credits granted before the limit fell may exceed it; tryOpen() refuses them.
class CreditPool {
public:
    // Sets how many attempts the endpoint can bear at once.
    void setLimit(uint32_t limit) { m_limit = limit; }

    void connect(uint64_t connection);

    // Forgets the credits that the connection holds; its attempts in flight go on.
    void disconnect(uint64_t connection);

    // The connection's demand: attempts in flight and waiting.
    void want(uint64_t connection, uint32_t credits);

    void giveBack(uint64_t connection, uint32_t credits);

    // Takes one credit of the connection for an attempt. NoCredit or OverLimit if refused;
    // a credit that was presented is spent either way.
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

private:
    struct Holder {
        uint32_t held = 0;
        uint32_t wanted = 0;
        uint32_t recalled = 0;
    };

    uint32_t freeCredits() const;
    void grantUpTo(uint32_t share, std::map<uint64_t, int32_t>& changes);
    void grantDemand(std::map<uint64_t, int32_t>& changes);
    void recallIdle(std::map<uint64_t, int32_t>& changes);

    std::map<uint64_t, Holder> m_holders;
    uint32_t m_limit = 0;
    uint32_t m_inFlight = 0;
    uint32_t m_held = 0;
    // The connection after which the next round of grants starts, so that none is favoured.
    uint64_t m_lastGranted = 0;
};

} // namespace orioletrail
