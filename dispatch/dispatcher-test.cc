#include "dispatch/dispatcher.h"

#include <doctest/doctest.h>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

// A service "model" of engines and a service "plain", each with the given number of endpoints.
DirectorySnapshot makeSnapshot(size_t endpoints, uint32_t slots)
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
    lookup.idempotency = Idempotency::Idempotent;
    lookup.targets = { { "plain", 1 } };
    ServiceProfile model;
    model.name = "model";
    EngineProfile engine;
    engine.stepsPerPass = 4;
    engine.stepMs = 4.55;
    engine.perSequenceMs = 0.905;
    engine.expertShare = 0.85;
    engine.memoryTokens = 16'000;
    model.engine = engine;
    ServiceProfile plain;
    plain.name = "plain";
    DirectorySnapshot snapshot;
    CatalogBuilder builder;
    builder.version(1).route(stream).route(lookup).service(model).service(plain);
    snapshot.catalog = std::make_shared<const Catalog>(std::move(builder).build());
    for (const char* service : { "model", "plain" })
        for (size_t number = 0; number < endpoints; ++number) {
            EndpointRecord record;
            record.id = service + std::to_string(number);
            record.service = service;
            record.zone = "z1";
            record.slots = slots;
            snapshot.endpoints.emplace(record.id, record);
        }
    return snapshot;
}

DispatchRequest requestFor(const DirectorySnapshot& snapshot, const std::string& path, TimePoint now = start)
{
    DispatchRequest request;
    request.route = snapshot.catalog->findRoute("app.example", path);
    request.service = request.route->targets[0].service;
    request.received = now;
    return request;
}

} // namespace

TEST_CASE("requests fill all endpoints evenly, then queue, and proceed when capacity becomes free")
{
    const DirectorySnapshot snapshot = makeSnapshot(3, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    const DispatchRequest request = requestFor(snapshot, "/stream/1");
    for (int number = 0; number < 12; ++number)
        REQUIRE(dispatcher.dispatch(request, start).kind == DispatchKind::Placed);
    for (const auto& [endpoint, inFlight] : dispatcher.loads().ownCounts())
        CHECK(inFlight == 4);
    // No completion has been measured yet: the assumed rate of one per second is too low to meet
    // the objective.
    const DispatchDecision refused = dispatcher.dispatch(request, start);
    CHECK(refused.kind == DispatchKind::Refused);
    CHECK(refused.reason == Reason::QueueTooLong);
    CHECK(refused.retryAfter > Millis(0));
    for (int number = 0; number < 50; ++number)
        dispatcher.onAnswered("model", Millis(1000), 24);
    const DispatchDecision decision = dispatcher.dispatch(request, start);
    REQUIRE(decision.kind == DispatchKind::Wait);
    CHECK(decision.longestWait <= Millis(500));
    std::optional<std::string> reserved;
    const auto ticket = dispatcher.enqueue(request, start, [&] { reserved = dispatcher.reserve(request, start); });
    dispatcher.wakeWaiting(start);
    CHECK_FALSE(reserved);
    dispatcher.onEnded("model", "model1", start);
    dispatcher.wakeWaiting("model", start);
    CHECK(reserved == "model1");
    CHECK(dispatcher.queueLength("model") == 0);
    dispatcher.removeFromQueue("model", ticket);
}

TEST_CASE("a slow engine gets fewer requests, and one that stopped reporting none while others can take them")
{
    const DirectorySnapshot snapshot = makeSnapshot(3, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    dispatcher.setSlowness({ { "model0", 4 }, { "model1", unreportedSlowness } }, start);
    const DispatchRequest request = requestFor(snapshot, "/stream/1");
    for (int number = 0; number < 5; ++number)
        REQUIRE(dispatcher.dispatch(request, start).kind == DispatchKind::Placed);
    CHECK(dispatcher.loads().ownCount("model0") == 1);
    CHECK(dispatcher.loads().ownCount("model1") == 0);
    CHECK(dispatcher.loads().ownCount("model2") == 4);
    // Slowness factors that are not renewed expire.
    const TimePoint later = start + std::chrono::seconds(2);
    for (int number = 0; number < 7; ++number)
        CHECK(dispatcher.dispatch(request, later).kind == DispatchKind::Placed);
}

TEST_CASE("a request is not retried after all endpoints were tried, and is refused at once if none is open")
{
    DirectorySnapshot snapshot = makeSnapshot(2, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    DispatchRequest request = requestFor(snapshot, "/lookup/1");
    CHECK(dispatcher.hasUntriedEndpoint(request, start));
    request.tried = { "plain0", "plain1" };
    CHECK_FALSE(dispatcher.hasUntriedEndpoint(request, start));
    for (auto& [id, record] : snapshot.endpoints)
        record.leaving = true;
    dispatcher.setSnapshot(snapshot);
    const DispatchDecision decision = dispatcher.dispatch(request, start);
    CHECK(decision.kind == DispatchKind::Refused);
    CHECK(decision.reason == Reason::NoEndpoint);
    CHECK(decision.retryAfter == Millis(1000));
}

TEST_CASE("a silent endpoint gets no non-idempotent request until its process has been replaced")
{
    const DirectorySnapshot snapshot = makeSnapshot(2, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    dispatcher.health().onSilent("plain0", start);
    DispatchRequest order = requestFor(snapshot, "/lookup/1");
    Route nonIdempotent = *order.route;
    nonIdempotent.idempotency = Idempotency::NonIdempotent;
    order.route = &nonIdempotent;
    const TimePoint later = start + std::chrono::seconds(3);
    for (int number = 0; number < 4; ++number)
        CHECK(dispatcher.dispatch(order, later).endpoint == "plain1");
    CHECK(dispatcher.dispatch(requestFor(snapshot, "/lookup/1"), later).endpoint == "plain0");
    // A new process at the same address is not avoided.
    DirectorySnapshot restarted = snapshot;
    restarted.endpoints.at("plain0").processStartMs = 7;
    dispatcher.setSnapshot(restarted);
    CHECK(dispatcher.dispatch(order, later).endpoint == "plain0");
}

TEST_CASE("instances that do not hear each other keep to the rate of a cold endpoint")
{
    constexpr size_t instances = 16;
    constexpr double coldPerSecond = 28;
    DirectorySnapshot snapshot = makeSnapshot(1, 200);
    ServiceProfile plain;
    plain.name = "plain";
    plain.coldPerSecond = coldPerSecond;
    CatalogBuilder builder;
    Route lookup = *snapshot.catalog->findRoute("app.example", "/lookup/1");
    builder.version(2).route(lookup).service(plain);
    snapshot.catalog = std::make_shared<const Catalog>(std::move(builder).build());
    snapshot.endpoints.at("plain0").coldUntil = start + Millis(60'000);
    size_t sent = 0;
    for (size_t instance = 0; instance < instances; ++instance) {
        Dispatcher dispatcher("z1");
        dispatcher.setSnapshot(snapshot);
        dispatcher.setKnownInstances(instances);
        while (dispatcher.reserve(requestFor(snapshot, "/lookup/1"), start))
            ++sent;
    }
    CHECK(sent >= instances);
    CHECK(static_cast<double>(sent) <= coldPerSecond);
}

TEST_CASE("53 instances that have all just started keep to the rate of a cold endpoint")
{
    constexpr size_t instances = 53;
    constexpr double coldPerSecond = 15;
    constexpr double allowed = 1.5 * coldPerSecond + 5;
    DirectorySnapshot snapshot = makeSnapshot(1, 200);
    ServiceProfile plain;
    plain.name = "plain";
    plain.coldPerSecond = coldPerSecond;
    CatalogBuilder builder;
    Route lookup = *snapshot.catalog->findRoute("app.example", "/lookup/1");
    builder.version(2).route(lookup).service(plain);
    snapshot.catalog = std::make_shared<const Catalog>(std::move(builder).build());
    snapshot.endpoints.at("plain0").coldUntil = start + Millis(60'000);
    size_t sent = 0;
    for (size_t instance = 0; instance < instances; ++instance) {
        Dispatcher dispatcher("z1", {}, "entry-" + std::to_string(instance));
        dispatcher.setSnapshot(snapshot);
        dispatcher.setKnownInstances(instances);
        for (size_t other = 0; other < instances; ++other)
            dispatcher.addInstance("entry-" + std::to_string(other));
        while (dispatcher.reserve(requestFor(snapshot, "/lookup/1"), start))
            ++sent;
    }
    CHECK(static_cast<double>(sent) <= allowed);
    CHECK(static_cast<double>(sent) >= coldPerSecond);
}

TEST_CASE("a request waits for the end of a short pause, and is refused at once before a long one")
{
    DirectorySnapshot snapshot = makeSnapshot(2, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    const DispatchRequest request = requestFor(snapshot, "/lookup/1");
    dispatcher.onAnswered("plain", Millis(20), 0);
    dispatcher.onPause("plain0", Millis(5000), start);
    for (int i = 0; i < 3; ++i) {
        const DispatchDecision decision = dispatcher.dispatch(request, start);
        CHECK(decision.kind == DispatchKind::Placed);
        CHECK(decision.endpoint == "plain1");
    }
    dispatcher.onPause("plain1", Millis(3000), start);
    const DispatchDecision refused = dispatcher.dispatch(request, start);
    CHECK(refused.kind == DispatchKind::Refused);
    CHECK(refused.retryAfter == Millis(3000));
    DispatchRequest later = request;
    later.received = start + Millis(2900);
    CHECK(dispatcher.dispatch(later, start + Millis(2900)).kind == DispatchKind::Wait);
    CHECK(dispatcher.dispatch(later, start + Millis(3000)).endpoint == "plain1");
}

TEST_CASE("an endpoint that says that it is leaving gets no request until another process has its id")
{
    DirectorySnapshot snapshot = makeSnapshot(2, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    const DispatchRequest request = requestFor(snapshot, "/lookup/1");
    CHECK(dispatcher.onLeaving("plain0"));
    for (int i = 0; i < 4; ++i)
        CHECK(dispatcher.dispatch(request, start).endpoint == "plain1");
    CHECK(dispatcher.onLeaving("plain1"));
    CHECK(dispatcher.dispatch(request, start).kind == DispatchKind::Refused);
    dispatcher.setSnapshot(snapshot);
    CHECK(dispatcher.dispatch(request, start).kind == DispatchKind::Refused);
    snapshot.endpoints.at("plain0").processStartMs = 7;
    dispatcher.setSnapshot(snapshot);
    CHECK(dispatcher.dispatch(request, start).endpoint == "plain0");
}

TEST_CASE("with one known group, or after ten seconds without a leader, a service is treated as a whole")
{
    const DirectorySnapshot snapshot = makeSnapshot(6, 4);
    const DispatchRequest request = requestFor(snapshot, "/stream/1");
    GroupReport one { "a", "model", 1, GroupState::Forming, 0, {} };
    for (int number = 0; number < 3; ++number)
        one.members.push_back({ "model" + std::to_string(number), 0 });
    Dispatcher without("z1", {}, "entry-1");
    without.setSnapshot(snapshot);
    Dispatcher single("z1", {}, "entry-1");
    single.setSnapshot(snapshot);
    single.setGroups({ one }, start);
    Dispatcher expired("z1", {}, "entry-1");
    expired.setSnapshot(snapshot);
    GroupReport other = one;
    other.name = "b";
    other.members = { { "model3", 0 }, { "model4", 0 }, { "model5", 0 } };
    expired.setGroups({ one, other }, start - GroupTable::validity - Millis(1));
    for (Dispatcher* dispatcher : { &without, &single, &expired })
        dispatcher->updatePaceProfile("model", *request.route, start);
    for (int number = 0; number < 40; ++number) {
        const DispatchDecision expected = without.dispatch(request, start);
        for (Dispatcher* dispatcher : { &single, &expired }) {
            const DispatchDecision decision = dispatcher->dispatch(request, start);
            CHECK(decision.kind == expected.kind);
            CHECK(decision.endpoint == expected.endpoint);
            dispatcher->onEventGap("model", "model0", Millis(60), start + Millis(number));
        }
        without.onEventGap("model", "model0", Millis(60), start + Millis(number));
    }
}

TEST_CASE("a group that is forming and an endpoint that has restarted get requests only if no other group has room")
{
    DirectorySnapshot snapshot = makeSnapshot(6, 2);
    for (auto& [id, record] : snapshot.endpoints)
        record.processStartMs = 1;
    snapshot.endpoints.at("model5").processStartMs = 2;
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    dispatcher.setGroups({ { "a", "model", 1, GroupState::Forming, 0, { { "model0", 1 }, { "model1", 1 } } },
                             { "b", "model", 1, GroupState::Open, 0, { { "model2", 1 }, { "model3", 1 }, { "model4", 1 }, { "model5", 1 } } } },
        start);
    const DispatchRequest request = requestFor(snapshot, "/stream/1");
    for (int number = 0; number < 8; ++number)
        REQUIRE(dispatcher.dispatch(request, start).kind == DispatchKind::Placed);
    CHECK(dispatcher.loads().ownCount("model2") == 2);
    CHECK(dispatcher.loads().ownCount("model5") == 2);
    CHECK(dispatcher.loads().ownCount("model0") == 0);
    CHECK(dispatcher.dispatch(request, start).kind != DispatchKind::Placed);
    // The leader has restarted and reports both groups as open.
    dispatcher.setGroups({ { "a", "model", 2, GroupState::Open, 0, { { "model0", 1 }, { "model1", 1 } } } }, start);
    CHECK(dispatcher.dispatch(request, start).endpoint == "model0");
    // An attempt that failed at one group goes to an endpoint that was not tried, in whichever group.
    DispatchRequest again = request;
    again.tried = { "model0", "model1" };
    again.attempts = 2;
    dispatcher.onEnded("model", "model3", start);
    CHECK(dispatcher.dispatch(again, start).endpoint == "model3");
}

TEST_CASE("a group whose rank has ended attracts no requests until one that tries it is answered")
{
    const DirectorySnapshot snapshot = makeSnapshot(6, 20);
    Dispatcher dispatcher("z1", {}, "entry-1");
    dispatcher.setSnapshot(snapshot);
    dispatcher.setGroups({ { "a", "model", 1, GroupState::Open, 0, { { "model0", 0 }, { "model1", 0 }, { "model2", 0 } } },
                             { "b", "model", 1, GroupState::Open, 0, { { "model3", 0 }, { "model4", 0 }, { "model5", 0 } } } },
        start);
    const DispatchRequest request = requestFor(snapshot, "/stream/1");
    const auto isInGroupA = [](const std::string& endpoint) { return endpoint < "model3"; };
    CHECK(dispatcher.onRankEnded("model1", start, start));
    for (int number = 0; number < 20; ++number)
        CHECK_FALSE(isInGroupA(dispatcher.dispatch(request, start + Millis(10 * number)).endpoint));
    const TimePoint later = start + Millis(300);
    const std::string tried = dispatcher.dispatch(request, later).endpoint;
    CHECK(isInGroupA(tried));
    CHECK_FALSE(isInGroupA(dispatcher.dispatch(request, later).endpoint));
    CHECK(dispatcher.onGroupServed(tried, later, later + Millis(100)));
    CHECK(isInGroupA(dispatcher.dispatch(request, later + Millis(101)).endpoint));
    // With one group nothing else could serve its requests.
    Dispatcher single("z1", {}, "entry-1");
    single.setSnapshot(snapshot);
    single.setGroups({ { "a", "model", 1, GroupState::Open, 0, { { "model0", 0 }, { "model1", 0 } } } }, start);
    CHECK_FALSE(single.onRankEnded("model1", start, start));
}

TEST_CASE("a request that no endpoint's memory can hold is refused at once and not told to come back")
{
    const DirectorySnapshot snapshot = makeSnapshot(2, 4);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    DispatchRequest request = requestFor(snapshot, "/stream/1");
    request.size = { 16'000, 100, 50 };
    const DispatchDecision refused = dispatcher.dispatch(request, start);
    CHECK(refused.kind == DispatchKind::Refused);
    CHECK(refused.reason == Reason::NoCapacity);
    CHECK(refused.retryAfter == Millis(0));
    request.size.promptTokens = 15'999;
    CHECK(dispatcher.dispatch(request, start).kind == DispatchKind::Placed);
}
