// Keeps an instance's beliefs in a CAF actor, and publishes each change.
#pragma once

#include "directory/beliefs.h"

#include <variant>

namespace orioletrail {

struct CatalogNews {
    std::shared_ptr<const Catalog> catalog;
};

struct EndpointListNews {
    std::vector<EndpointRecord> endpoints;
};

struct EndpointNews {
    EndpointRecord endpoint;
};

struct EndpointGoneNews {
    std::string id;
};

struct ClosedZonesNews {
    std::set<std::string, std::less<>> zones;
};

// The store stopped or began to answer.
struct StoreNews {
    bool answers = false;
};

// Time has passed.
struct TickNews { };

using BeliefNews = std::variant<CatalogNews, EndpointListNews, EndpointNews, EndpointGoneNews, ClosedZonesNews, StoreNews, TickNews>;

// Owns the beliefs. Any thread may tell it news; work happens on the actor's thread.
class BeliefKeeper {
public:
    // Gets a copy after each change, on the actor's thread, once the beliefs are complete.
    explicit BeliefKeeper(std::function<void(BeliefSnapshot)> published);
    ~BeliefKeeper();

    void tell(BeliefNews);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace orioletrail
