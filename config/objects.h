// The system's own kinds of objects, as kept in the platform's object API under "config/".
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletrail {

// Prefix of every configuration object's key: "config/KIND/NAME".
inline constexpr std::string_view configPrefix = "config/";

// An availability zone. Endpoints of a zone that is out get no new work.
struct Zone {
    std::string name;
    bool out = false;
};

// A client account, found by the SHA-256 of its bearer token.
struct Account {
    std::string name;
    std::string tokenDigest;
    // Requests in flight allowed over all entries together.
    uint32_t maxInFlight = 64;
};

// What endpoints of a service speak.
enum class ServiceKind : uint8_t {
    Model,
    Plain
};

// A model or a plain service that callers address by name.
struct Service {
    std::string name;
    ServiceKind kind = ServiceKind::Plain;
};

// Says which requests of a service are idempotent. The longest matching path wins.
struct Rule {
    std::string name;
    std::string service;
    // "*" stands for any method.
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;
    // Refuse a request that has no Idempotency-Key.
    bool requireKey = false;
};

// A model replica or a service replica, reached only through its sidecar.
struct Endpoint {
    std::string name;
    std::string service;
    std::string zone;
    // Address of its sidecar, "IP:PORT".
    std::string sidecar;
    // Operators set it on an endpoint that is about to go.
    bool leaving = false;
};

// An entry instance, as the platform's lagging list has it.
struct Instance {
    std::string name;
    std::string zone;
    // Where it answers other entries, "IP:PORT".
    std::string gossip;
    bool leaving = false;
};

// A group of ranks that run in lock-step on an expert map.
struct Group {
    std::string name;
    // Operators hold the map in force as it is.
    bool frozen = false;
};

// Everything that is in force at one revision, indexed for lookups. Immutable once published.
struct ConfigView {
    uint64_t revision = 0;
    std::map<std::string, Zone, std::less<>> zones;
    std::map<std::string, Account, std::less<>> accountsByToken;
    std::map<std::string, Service, std::less<>> services;
    std::vector<Rule> rules;
    std::map<std::string, Endpoint, std::less<>> endpoints;
    std::map<std::string, Instance, std::less<>> instances;
    std::map<std::string, Group, std::less<>> groups;

    // True if the zone is known to be taken out. An unknown zone counts as in.
    bool isZoneOut(std::string_view zone) const;

    // The rule for a request, or null, in which case the request is non-idempotent.
    const Rule* findRule(std::string_view service, std::string_view method, std::string_view path) const;
};

// Checks one object and adds it to the view. Returns false and sets `reason`, which names
// the key and the field, if the object is malformed.
bool addObject(ConfigView&, std::string_view key, std::string_view json, std::string& reason);

} // namespace orioletrail
