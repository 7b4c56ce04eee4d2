// What entries tell each other about waiting requests, claims and places that they pass on.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// Position of a request in the order of its service; requests with a lower value are served first. See
// urgencyOf().
using Urgency = uint32_t;

// Priorities that are told apart; less urgent ones count as the last of them.
constexpr int lowestPriority = 9;
// Urgencies of each priority: callers that come back at a named time, others, and the same two of accounts
// that use more than their share.
constexpr Urgency urgenciesPerPriority = 4;
constexpr Urgency urgencyCount = (lowestPriority + 1) * urgenciesPerPriority;

int clampPriority(int priority);
Urgency urgencyOf(int priority, bool isExcess, bool hasClaim);
int priorityOf(Urgency);

// Requests of one urgency that wait at an entry.
struct WaitingRow {
    uint32_t count = 0;
    // How long the oldest has waited.
    Millis oldest { 0 };

    bool operator==(const WaitingRow&) const = default;
};

// Requests per second at an entry: new ones by priority, and completed ones.
struct DemandRates {
    std::map<int, double> arrivals;
    double completions = 0;

    bool operator==(const DemandRates&) const = default;
};

// Callers of a priority that an entry has told to come back `in` from now, less those that came back to it.
struct ClaimRow {
    int priority = 0;
    Millis in { 0 };
    int32_t count = 0;

    bool operator==(const ClaimRow&) const = default;
};

// Report of one entry on one service.
struct ServiceOrderReport {
    std::map<Urgency, WaitingRow> waiting;
    DemandRates rates;
    std::vector<ClaimRow> claims;

    bool operator==(const ServiceOrderReport&) const = default;
};

// By service.
using OrderReport = std::map<std::string, ServiceOrderReport, std::less<>>;

enum class GrantKind : uint8_t {
    // The receiver may use the place.
    Offer,
    // Answers of the receiver: a request uses the place, or none can.
    Used,
    Returned
};

// Passes a place that has become free at an endpoint to an entry with a more urgent request.
struct Grant {
    GrantKind kind = GrantKind::Offer;
    // Number of the grant at the entry that made the offer.
    uint64_t id = 0;
    std::string service;
    std::string endpoint;

    bool operator==(const Grant&) const = default;
};

// A grant and the entry that it goes to.
struct AddressedGrant {
    std::string peer;
    Grant grant;
};

} // namespace orioletrail
