// Limits the requests in flight of client accounts at one entry.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// A request to admit, with the limits that apply to it.
struct FairShareRequest {
    std::string_view account;
    std::string_view service;
    // Limit of the account's requests in flight, over all entries and services.
    uint32_t maxInFlight = 0;
    // Number of entries that share the limit.
    uint32_t liveEntries = 1;
    // Number of requests for the service that this entry can have in flight now.
    uint32_t capacity = 0;
};

// Counts requests in flight by account. An account may use up to its limit divided by the number of
// live entries. When the capacity of a service is used up, an account that already holds an equal
// share of it among the accounts that use the service is refused. Accounts that hold less are still
// admitted and may have to wait. The share does not apply to an account that uses a service alone.
class FairShare {
public:
    // Returns None and counts the request as in flight if it is admitted, otherwise AccountLimit or
    // FairShare.
    Reason admit(const FairShareRequest&);

    // An admitted request has ended.
    void finish(std::string_view account, std::string_view service);

    // Requests of the account in flight at this entry, over all services.
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
