// An endpoint's registration in the platform's store.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// An endpoint as it last registered itself in the platform's store.
struct EndpointRecord {
    std::string id;
    std::string service;
    std::string host;
    uint16_t port = 0;
    std::string zone;
    uint32_t slots = 1;
    // The endpoint is draining and gets no new requests.
    bool leaving = false;
    // The endpoint is cold until then, and limited to ServiceProfile::coldPerSecond.
    TimePoint coldUntil;
    // Start of its process as Unix time in milliseconds, 0 if unknown. A record with the same
    // identifier and another start time belongs to a new process, which has no state of the old one.
    uint64_t processStartMs = 0;
    // The start lay in the future when the record was first read, by more than clocks differ.
    bool startsInFuture = false;
};

// Identifies the process of an endpoint: a hash of its identifier and the start of its process.
uint64_t processOf(const EndpointRecord&);

// Registrations by the endpoint's identifier.
using EndpointRecords = std::map<std::string, EndpointRecord, std::less<>>;

} // namespace orioletrail
