#include "dispatch/dispatcher.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

// A service "model" of engines and a service "plain", each with so many endpoints of some slots.
BeliefSnapshot beliefsOf(size_t endpoints, uint32_t slots)
{
    Route stream;
    stream.name = "stream";
    stream.host = "app.example";
    stream.pathPrefix = "/stream/";
    stream.streaming = true;
    stream.objective = Millis(500);
    stream.gapObjective = Millis(120);
    stream.timeout = Millis(8000);
    stream.targets = { { "model", 1 } };
    Route lookup = stream;
    lookup.name = "lookup";
    lookup.pathPrefix = "/lookup/";
    lookup.streaming = false;
    lookup.repeat = RepeatRule::Idempotent;
    lookup.targets = { { "plain", 1 } };
    ServiceProfile model;
    model.name = "model";
    EngineProfile engine;
    engine.stride = 4;
    engine.stepMs = 4.55;
    engine.perSequenceMs = 0.905;
    engine.expertShare = 0.85;
    model.engine = engine;
    ServiceProfile plain;
    plain.name = "plain";
    BeliefSnapshot beliefs;
    CatalogBuilder builder;
    builder.version(1).route(stream).route(lookup).service(model).service(plain);
    beliefs.catalog = std::make_shared<const Catalog>(std::move(builder).build());
    for (const char* service : { "model", "plain" })
        for (size_t number = 0; number < endpoints; ++number) {
            EndpointRecord record;
            record.id = service + std::to_string(number);
            record.service = service;
            record.zone = "z1";
            record.slots = slots;
            beliefs.endpoints.emplace(record.id, record);
        }
    return beliefs;
}

DispatchRequest requestFor(const BeliefSnapshot& beliefs, const std::string& path, TimePoint now = start)
{
    DispatchRequest request;
    request.route = beliefs.catalog->findRoute("app.example", path);
    request.service = request.route->targets[0].service;
    request.received = now;
    return request;
}

} // namespace

TEST_CASE("requests fill all endpoints evenly, then wait, and go on when places become free")
{
    const BeliefSnapshot beliefs = beliefsOf(3, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setBeliefs(beliefs);
    const DispatchRequest request = requestFor(beliefs, "/stream/1");
    for (int number = 0; number < 12; ++number)
        REQUIRE(dispatcher.ask(request, start).kind == DispatchKind::Placed);
    for (const auto& [endpoint, held] : dispatcher.loads().ownCounts())
        CHECK(held == 4);
    // Nothing is known of how fast places become free: one a second, too late for the objective.
    const DispatchDecision refused = dispatcher.ask(request, start);
    CHECK(refused.kind == DispatchKind::Refused);
    CHECK(refused.reason == Reason::QueueTooLong);
    CHECK(refused.retryAfter > Millis(0));
    for (int number = 0; number < 50; ++number)
        dispatcher.onAnswered("model", Millis(1000), 24);
    const DispatchDecision decision = dispatcher.ask(request, start);
    REQUIRE(decision.kind == DispatchKind::Wait);
    CHECK(decision.longestWait <= Millis(500));
    std::optional<std::string> reserved;
    const auto ticket = dispatcher.wait(request, start, [&] { reserved = dispatcher.reserve(request, start); });
    dispatcher.wakeWaiting(start);
    CHECK_FALSE(reserved);
    dispatcher.onEnded("model", "model1", start);
    dispatcher.wakeWaiting("model", start);
    CHECK(reserved == "model1");
    CHECK(dispatcher.waiting("model") == 0);
    dispatcher.endWait("model", ticket);
}

TEST_CASE("a slow engine holds fewer requests, and a silent one none while others are open")
{
    const BeliefSnapshot beliefs = beliefsOf(3, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setBeliefs(beliefs);
    dispatcher.setSlowness({ { "model0", 4 }, { "model1", silentSlowness } }, start);
    const DispatchRequest request = requestFor(beliefs, "/stream/1");
    for (int number = 0; number < 5; ++number)
        REQUIRE(dispatcher.ask(request, start).kind == DispatchKind::Placed);
    CHECK(dispatcher.loads().own("model0") == 1);
    CHECK(dispatcher.loads().own("model1") == 0);
    CHECK(dispatcher.loads().own("model2") == 4);
    // What was told of them counts for a short time only.
    const TimePoint later = start + std::chrono::seconds(2);
    for (int number = 0; number < 7; ++number)
        CHECK(dispatcher.ask(request, later).kind == DispatchKind::Placed);
}

TEST_CASE("a service without open endpoints is refused at once, and so is a request that tried all it may")
{
    BeliefSnapshot beliefs = beliefsOf(2, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setBeliefs(beliefs);
    DispatchRequest request = requestFor(beliefs, "/lookup/1");
    CHECK(dispatcher.mayAskAnother(request, start));
    request.tried = { "plain0", "plain1" };
    CHECK_FALSE(dispatcher.mayAskAnother(request, start));
    for (auto& [id, record] : beliefs.endpoints)
        record.leaving = true;
    dispatcher.setBeliefs(beliefs);
    const DispatchDecision decision = dispatcher.ask(request, start);
    CHECK(decision.kind == DispatchKind::Refused);
    CHECK(decision.reason == Reason::NoEndpoint);
    CHECK(decision.retryAfter == Millis(1000));
}

TEST_CASE("a silent endpoint gets no request that may not be repeated")
{
    const BeliefSnapshot beliefs = beliefsOf(2, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setBeliefs(beliefs);
    dispatcher.health().onSilent("plain0", start);
    DispatchRequest order = requestFor(beliefs, "/lookup/1");
    Route notRepeatable = *order.route;
    notRepeatable.repeat = RepeatRule::NonIdempotent;
    order.route = &notRepeatable;
    const TimePoint later = start + std::chrono::seconds(3);
    for (int number = 0; number < 4; ++number)
        CHECK(dispatcher.ask(order, later).endpoint == "plain1");
    CHECK(dispatcher.ask(requestFor(beliefs, "/lookup/1"), later).endpoint == "plain0");
    // The next process at the address starts with a clean record.
    BeliefSnapshot restarted = beliefs;
    restarted.endpoints.at("plain0").born = 7;
    dispatcher.setBeliefs(restarted);
    CHECK(dispatcher.ask(order, later).endpoint == "plain0");
}
