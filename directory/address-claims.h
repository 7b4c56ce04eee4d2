// Which endpoints have ended because a later process has registered at their address.
#pragma once

#include "directory/endpoint.h"

#include <functional>
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
// at one address only the one that started last is alive. Records that name no replica to use say nothing about others:
// those of services that the configuration does not name, and starts in the future, which no process can have.
class AddressClaims {
public:
    using ServiceFilter = std::function<bool(std::string_view service)>;

    // Compares the starts of all records; `isNamed` tells whether the configuration names a service. Returns the processes
    // that turned out to be superseded since the last call. They stay so until their record is forgotten, whatever
    // becomes of their successor and its service.
    std::vector<SupersededProcess> update(const EndpointRecords&, const ServiceFilter& isNamed);

    // The record was removed: if it comes back, its process is alive.
    void forget(std::string_view id);

    bool isSuperseded(const EndpointRecord&) const;

private:
    // Start of the superseded process by the endpoint's identifier.
    std::map<std::string, uint64_t, std::less<>> m_superseded;
};

} // namespace orioletrail
