// Limits for client accounts at one entry.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// One request that asks to be admitted.
struct FairShareRequest {
    std::string_view account;
    std::string_view service;
    // The account's limit over all entries and services.
    uint32_t maxInFlight = 0;
    uint32_t liveEntries = 1;
    // What this entry can have in flight now for the service.
    uint32_t capacity = 0;
};

// Counts requests in flight by account. An account may use up to its limit divided among the
// live entries. While the service has room, that is all; when it has none, an account that has
// an equal share among those that use the service gets no more, and the others may wait.
class FairShare {
public:
    // Decides on one request and counts it as in flight if the result is None.
    Reason admit(const FairShareRequest&);

    void finish(std::string_view account, std::string_view service);

    // Requests of an account in flight, over all services.
    uint32_t inFlight(std::string_view account) const;

private:
    using Counts = std::map<std::string, uint32_t, std::less<>>;

    struct ServiceUse {
        Counts byAccount;
        uint32_t total = 0;
    };

    static uint32_t countOf(const Counts&, std::string_view account);
    bool exceedsShare(const FairShareRequest&) const;

    Counts m_inFlight;
    std::map<std::string, ServiceUse, std::less<>> m_services;
};

} // namespace orioletrail
