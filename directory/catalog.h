// The configuration that operators publish: routes, services, client accounts and limits.
#pragma once

#include "base/types.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>

namespace orioletrail {

// Whether a request of a route may be run more than once, for instance after a lost answer.
enum class Idempotency : uint8_t {
    // A request may run any number of times.
    Idempotent,
    // A request runs at most once each time its caller sends it.
    NonIdempotent
};

// A service that gets a share of a route's requests, in proportion to its weight.
struct RouteTarget {
    std::string service;
    double weight = 1;
};

// Selects requests by host and path, and says how they are handled.
struct Route {
    std::string name;
    std::string host;
    // Starts and ends with a slash.
    std::string pathPrefix;
    Idempotency idempotency = Idempotency::NonIdempotent;
    // Responses are event streams.
    bool streaming = false;
    // A broken stream may be resumed at another endpoint after the last event that the caller received.
    bool resumable = false;
    // Callers need no API key.
    bool isPublic = false;
    // Time limit of a request, up to the end of its response.
    Millis timeout { 30'000 };
    // Latency objective: a response, or the first event of a stream, counts as on time within it.
    Millis objective { 1000 };
    // Latency objective for the pause between two events of a stream; 0 if there is none.
    Millis gapObjective { 0 };
    // 0 is the highest priority.
    int priority = 5;
    uint32_t maxAttempts = 1;
    std::vector<RouteTarget> targets;
};

// Cost model of a model engine, as its operators publish it.
struct EngineProfile {
    // Sequences that an engine runs at once.
    uint32_t slots = 1;
    // Decode steps of one pass, if any sequence is generating tokens.
    uint32_t stepsPerPass = 1;
    // A decode step takes stepMs, plus perSequenceMs for each sequence that is generating tokens, in
    // milliseconds.
    double stepMs = 0;
    double perSequenceMs = 0;
    // Milliseconds that each thousand tokens of context of a sequence that is generating tokens add to a step.
    double contextMsPerThousand = 0;
    // Prompt tokens that an engine reads in a millisecond, 0 if unknown, and the most that it reads in a step.
    double promptTokensPerMs = 0;
    uint32_t promptChunk = 0;
    // Milliseconds added for each million pairs of a prompt token and an earlier one.
    double pairsMsPerMillion = 0;
    // Tokens of prompts and answers that an engine's memory holds, 0 if unknown.
    uint32_t memoryTokens = 0;
    // Mean number of tokens of a prompt and of an answer, 0 if unknown.
    double usualPromptTokens = 0;
    double usualOutputTokens = 0;
    // Age of an engine's status reports when other machines get them.
    Millis reportLag { 0 };
    // Share of the per-token work that is done by experts, from 0 to 1.
    double expertShare = 0;
    // Number of layer sets that have an expert map each; 0 if the engine has no expert maps.
    uint32_t expertSets = 0;
    // Experts of each set.
    uint32_t experts = 0;
    // Experts of a set that a rank can hold, and how many of them may be new to it in one change of
    // the map.
    uint32_t expertsPerRank = 0;
    uint32_t newExpertsPerChange = 0;
    // Time that a rank takes to copy one expert.
    Millis expertCopyTime { 0 };
};

// Settings of one service.
struct ServiceProfile {
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0;
    // How long an endpoint is cold after its start.
    Millis coldFor { 0 };
    // Requests per second that a cold endpoint can handle; 0 if there is no limit.
    double coldPerSecond = 0;
    std::optional<EngineProfile> engine;
};

// Settings of one client account.
struct AccountProfile {
    std::string name;
    // Priority of its requests; overrides that of the route.
    std::optional<int> priority;
};

// Limits on the requests of all callers.
struct CallerLimits {
    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = 4 * 1024 * 1024;
    Millis headerTimeout { 3000 };
    Millis idleTimeout { 15'000 };
};

// One version of the configuration. Immutable; made by CatalogBuilder.
class Catalog {
public:
    uint64_t version() const { return m_version; }
    const CallerLimits& limits() const { return m_limits; }

    // The text that this version was read from; empty if it was not read from any.
    std::string_view source() const { return m_source ? std::string_view(*m_source) : std::string_view(); }

    // Returns the host's route with the longest prefix that matches the path, or null.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // Returns null if this version has no such service.
    const ServiceProfile* findService(std::string_view name) const;

    // True if this version has the service, or a route that leads to it.
    bool namesService(std::string_view name) const;

    // Returns the account that the API key belongs to, or null.
    const AccountProfile* findAccount(std::string_view key) const;
    // Returns an API key of the account of this name, or an empty view.
    std::string_view findAccountKey(std::string_view name) const;

    // True if routes that lead to the service have different priorities.
    bool hasRoutePriorities(std::string_view service) const;
    // The same, or an account has another priority than one of these routes.
    bool hasPriorities(std::string_view service) const;

    // True if the configuration has accounts. Callers then need an API key on routes that are not public.
    bool hasAccounts() const { return m_hasAccounts; }

    size_t routeCount() const;

private:
    friend class CatalogBuilder;

    // Routes by host, longest prefix first.
    using RoutesByHost = std::map<std::string, std::vector<Route>, std::less<>>;

    uint64_t m_version = 0;
    bool m_hasAccounts = false;
    CallerLimits m_limits;
    std::shared_ptr<const std::string> m_source;
    RoutesByHost m_routes;
    std::map<std::string, ServiceProfile, std::less<>> m_services;
    std::map<std::string, AccountProfile, std::less<>> m_accountsByKey;
    // Priorities of the routes that lead to each service, and of all accounts that have one.
    std::map<std::string, std::set<int>, std::less<>> m_routePriorities;
    std::set<int> m_accountPriorities;
};

// Collects the parts of a catalog.
class CatalogBuilder {
public:
    CatalogBuilder& version(uint64_t);
    CatalogBuilder& limits(const CallerLimits&);
    CatalogBuilder& source(std::string);
    CatalogBuilder& route(Route);
    CatalogBuilder& service(ServiceProfile);
    // Adds an account that callers identify by one of the API keys.
    CatalogBuilder& account(const AccountProfile&, std::span<const std::string> keys);
    Catalog build() &&;

private:
    Catalog m_catalog;
};

} // namespace orioletrail
