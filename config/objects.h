// The kinds of configuration objects that the platform's object API stores under "config/".
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

// An availability zone. While operators have taken it out, its endpoints get no new requests.
struct Zone {
    std::string name;
    bool out = false;
};

// A client account, identified by the SHA-256 digest of its bearer token.
struct Account {
    std::string name;
    std::string tokenDigest;
    // Limit of requests in flight, for all entries together.
    uint32_t maxInFlight = 64;
};

// How callers address a service.
enum class ServiceKind : uint8_t {
    // By model name, in the body of a completion request.
    Model,
    // By service name, in the path.
    Plain
};

// A model or another service, with any number of endpoints.
struct Service {
    std::string name;
    ServiceKind kind = ServiceKind::Plain;
};

// Determines whether requests of a service are idempotent. Of the matching rules, the one with the
// longest path prefix applies.
struct Rule {
    std::string name;
    std::string service;
    // "*" matches any method.
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;
    // Refuse requests without an Idempotency-Key header.
    bool requireKey = false;
};

// A replica of a model or another service. Requests reach it only through its sidecar.
struct Endpoint {
    std::string name;
    std::string service;
    std::string zone;
    // Address of the sidecar, "IP:PORT".
    std::string sidecar;
    // Set by operators before they remove the endpoint. It gets no new requests.
    bool leaving = false;
};

// An entry instance, as listed by the platform. The list may lag behind.
struct Instance {
    std::string name;
    std::string zone;
    // Address on which it answers gossip requests, "IP:PORT".
    std::string gossip;
    bool leaving = false;
};

// A group of engine ranks that run in lock-step and share an expert map.
struct Group {
    std::string name;
    // Operators have frozen the group's expert map: it does not change.
    bool frozen = false;
};

// The whole configuration at one revision, indexed for lookups. Immutable once published.
struct ConfigView {
    uint64_t revision = 0;
    std::map<std::string, Zone, std::less<>> zones;
    // By token digest.
    std::map<std::string, Account, std::less<>> accountsByToken;
    std::map<std::string, Service, std::less<>> services;
    std::vector<Rule> rules;
    std::map<std::string, Endpoint, std::less<>> endpoints;
    std::map<std::string, Instance, std::less<>> instances;
    std::map<std::string, Group, std::less<>> groups;

    // True if operators have taken the zone out. False for an unknown zone.
    bool isZoneOut(std::string_view zone) const;

    // Returns the rule for a request, or null if none matches. The request is then non-idempotent.
    const Rule* findRule(std::string_view service, std::string_view method, std::string_view path) const;
};

// Parses one object and adds it to the view. If the object is malformed, returns false, leaves the
// view unchanged and sets `reason` to a message that names the key and the problem.
bool addObject(ConfigView&, std::string_view key, std::string_view json, std::string& reason);

} // namespace orioletrail
