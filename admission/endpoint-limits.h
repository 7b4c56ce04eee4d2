// Keeps the request rates that endpoints in need name in their answers.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// The rate that an endpoint has named, as instances tell each other.
struct NamedLimit {
    // Hash of the endpoint and the start of its process, for which alone the limit holds.
    uint64_t process = 0;
    // Requests per second from all instances together; 0 if the endpoint names no limit any more.
    double perSecond = 0;
    // In messages: time since the answer that said so.
    Millis age { 0 };
};

using NamedLimits = std::map<std::string, NamedLimit, std::less<>>;

// A limit holds from the answer that names it until one names another or none. The later answer counts,
// whichever instance got it.
class EndpointLimits {
public:
    // Returns whether the limit has changed. `perSecond` is 0 if the answer names none.
    bool onAnswer(std::string_view endpoint, uint64_t process, double perSecond, TimePoint);

    // Merges what another instance knows. Returns whether a limit has changed.
    bool merge(const NamedLimits&, TimePoint);

    // The limits that are in force and those that ended recently, for other instances.
    NamedLimits report(TimePoint) const;

    // The limit of the endpoint's process in requests per second, 0 if it has none.
    double limitOf(std::string_view endpoint, uint64_t process) const;

    // Drops the limit of an endpoint that is gone.
    void removeEndpoint(std::string_view endpoint);

private:
    struct Record {
        uint64_t process = 0;
        double perSecond = 0;
        TimePoint observed;
    };

    std::map<std::string, Record, std::less<>> m_limits;
};

} // namespace orioletrail
