// Which endpoints have ended because a later process has registered at their address.
#pragma once

#include "directory/endpoint.h"

#include <vector>

namespace orioletrail {

// A process of an endpoint whose address another one has taken over.
struct SupersededProcess {
    std::string id;
    uint64_t processStartMs = 0;
    // The record of the later process.
    std::string successor;
    std::string successorService;
};

// Addresses are reused, and the store keeps the record of a process that has ended for some heartbeats. Of the processes
// at one address only the one that started last is alive.
class AddressClaims {
public:
    // Compares the starts of all records. Returns the processes that turned out to be superseded since the last call.
    std::vector<SupersededProcess> update(const EndpointRecords&);

    bool isSuperseded(const EndpointRecord&) const;

private:
    // Start of the superseded process by the endpoint's identifier.
    std::map<std::string, uint64_t, std::less<>> m_superseded;
};

} // namespace orioletrail
