// The configuration that operators put in force: routes, services, client accounts and limits.
#pragma once

#include "base/types.h"

#include <functional>
#include <map>
#include <span>

namespace orioletrail {

// How often a request of a route may run.
enum class RepeatRule : uint8_t {
    // Any number of times.
    Idempotent,
    // At most once for each attempt by its caller.
    NonIdempotent
};

// One of the services that share a route's requests, by weight.
struct RouteTarget {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RepeatRule repeat = RepeatRule::NonIdempotent;
    // Answers are event streams.
    bool streaming = false;
    // A broken stream may go on at another endpoint after the last event that the caller has.
    bool resumable = false;
    // Needs no key.
    bool open = false;
    // Longest time that a request may be kept waiting for its whole answer.
    Millis timeout { 30'000 };
    // Time within which an answer, or a stream's first event, is of full use to its caller.
    Millis objective { 1000 };
    // Longest pause between two events of a stream that is still on time.
    Millis gapObjective { 0 };
    // 0 is the most urgent.
    int priority = 5;
    uint32_t maxAttempts = 1;
    std::vector<RouteTarget> targets;
};

// Cost model of a model engine, as its operators publish it. Times are in milliseconds.
struct EngineProfile {
    uint32_t slots = 1;
    // Steps that one pass with writers executes.
    uint32_t stride = 1;
    double stepMs = 0;
    double perSequenceMs = 0;
    // Age of what an engine reports of itself to other machines.
    Millis reportLag { 0 };
    // Share of the work for tokens that experts do.
    double expertShare = 0;
    // Sets of layers, experts of each, experts of a set that a rank holds and that may be new to
    // it in one change of the map; 0 if there are no expert maps.
    uint32_t expertSets = 0;
    uint32_t experts = 0;
    uint32_t expertPlaces = 0;
    uint32_t expertsPerChange = 0;
    // Time for a rank to copy one expert.
    Millis expertCopyTime { 0 };
};

struct ServiceProfile {
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0;
    // How long an endpoint stays cold after its start.
    Millis coldFor { 0 };
    // Requests a second that a cold endpoint bears; 0 if its endpoints have no such limit.
    double coldPerSecond = 0;
    std::optional<EngineProfile> engine;
};

struct AccountProfile {
    std::string name;
    std::optional<int> priority;
};

// What a caller may send, and how long it may take.
struct CallerLimits {
    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = 4 * 1024 * 1024;
    Millis headerTimeout { 3000 };
    Millis idleTimeout { 15'000 };
};

// One version of the configuration. Built once, then only read.
class Catalog {
public:
    uint64_t version() const { return m_version; }
    const CallerLimits& limits() const { return m_limits; }

    // The route of the host whose prefix is the longest that begins the path, or null.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // Null for a service that this version does not name.
    const ServiceProfile* findService(std::string_view name) const;

    // The account that holds the key, or null.
    const AccountProfile* findAccount(std::string_view key) const;

    // True if callers must identify themselves on routes that are not open.
    bool hasAccounts() const { return m_hasAccounts; }

    size_t routeCount() const;

private:
    friend class CatalogBuilder;

    // Routes by host, the longest prefix first.
    using RoutesByHost = std::map<std::string, std::vector<Route>, std::less<>>;

    uint64_t m_version = 0;
    bool m_hasAccounts = false;
    CallerLimits m_limits;
    RoutesByHost m_routes;
    std::map<std::string, ServiceProfile, std::less<>> m_services;
    std::map<std::string, AccountProfile, std::less<>> m_accountsByKey;
};

class CatalogBuilder {
public:
    CatalogBuilder& version(uint64_t);
    CatalogBuilder& limits(const CallerLimits&);
    CatalogBuilder& route(Route);
    CatalogBuilder& service(ServiceProfile);
    CatalogBuilder& account(const AccountProfile&, std::span<const std::string> keys);
    Catalog build() &&;

private:
    Catalog m_catalog;
};

} // namespace orioletrail
