#include "dispatch/dispatcher.h"

#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

DirectorySnapshot makeSnapshot(size_t endpoints, uint32_t slots)
{
    Route stream;
    stream.name = "stream";
    stream.host = "app.example";
    stream.pathPrefix = "/";
    stream.streaming = true;
    stream.objective = Millis(500);
    stream.gapObjective = Millis(120);
    stream.timeout = Millis(8000);
    stream.targets = { { "model", 1 } };
    ServiceProfile model;
    model.name = "model";
    EngineProfile engine;
    engine.stepsPerPass = 4;
    engine.stepMs = 4.55;
    engine.perSequenceMs = 0.905;
    engine.promptTokensPerMs = 61.4;
    model.engine = engine;
    model.coldPerSecond = 2;
    DirectorySnapshot snapshot;
    CatalogBuilder builder;
    builder.version(1).route(stream).service(model);
    snapshot.catalog = std::make_shared<const Catalog>(std::move(builder).build());
    for (size_t number = 0; number < endpoints; ++number) {
        EndpointRecord record;
        record.id = "e" + std::to_string(number);
        record.service = "model";
        record.zone = number % 2 ? "z1" : "z2";
        record.slots = slots;
        snapshot.endpoints.emplace(record.id, record);
    }
    return snapshot;
}

DispatchRequest requestFor(const DirectorySnapshot& snapshot, std::vector<PromptPart> parts, TimePoint now = start)
{
    DispatchRequest request;
    request.route = snapshot.catalog->findRoute("app.example", "/");
    request.service = "model";
    request.received = now;
    request.size = { 700, 400, 200 };
    request.promptParts = std::move(parts);
    return request;
}

// Places requests with and without parts, some of which end, and returns the endpoints in order.
std::vector<std::string> placeMany(Dispatcher& dispatcher, const DirectorySnapshot& snapshot, const std::function<void(const DispatchRequest&, TimePoint)>& beforeEach)
{
    std::mt19937_64 random(5);
    std::vector<std::string> placed;
    std::vector<std::pair<DispatchRequest, std::string>> running;
    TimePoint now = start;
    for (int round = 0; round < 400; ++round) {
        now += Millis(10);
        const DispatchRequest request = requestFor(snapshot, { { random() % 4, 400 } }, now);
        beforeEach(request, now);
        const DispatchDecision decision = dispatcher.dispatch(request, now);
        placed.push_back(decision.endpoint + ' ' + std::string(reasonName(decision.reason)) + ' ' + std::to_string(decision.retryAfter.count()));
        if (decision.kind == DispatchKind::Placed) {
            dispatcher.onPromptRead(request, decision.endpoint, now);
            running.emplace_back(request, decision.endpoint);
        }
        if (running.size() < 16)
            continue;
        const auto ended = running.begin() + static_cast<std::ptrdiff_t>(random() % running.size());
        dispatcher.onEnded("model", ended->second, now);
        dispatcher.onPromptEnded(ended->first, ended->second, now);
        dispatcher.onAnswered("model", Millis(160), 24);
        running.erase(ended);
    }
    return placed;
}

} // namespace

TEST_CASE("a request goes to an equally loaded endpoint that holds the beginning of its prompt")
{
    const DirectorySnapshot snapshot = makeSnapshot(4, 8);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    const DispatchRequest shared = requestFor(snapshot, { { 1, 200 } });
    const std::string first = dispatcher.dispatch(shared, start).endpoint;
    dispatcher.onPromptRead(shared, first, start);
    for (int number = 0; number < 3; ++number)
        REQUIRE(dispatcher.dispatch(requestFor(snapshot, {}), start).kind == DispatchKind::Placed);
    CHECK_FALSE(dispatcher.lastPartDecision().wasWeighed);
    CHECK(dispatcher.dispatch(shared, start).endpoint == first);
    CHECK(dispatcher.lastPartDecision().savedTokens == 200);
    // It has one request more now, which costs more than 200 tokens.
    CHECK(dispatcher.dispatch(shared, start).endpoint != first);
    CHECK(dispatcher.lastPartDecision().savedTokens == 0);
}

TEST_CASE("knowledge of parts is lost with the entry, the endpoint's process or a part of its group")
{
    DirectorySnapshot snapshot = makeSnapshot(4, 8);
    const DispatchRequest shared = requestFor(snapshot, { { 1, 40 } });
    const auto prepare = [&](Dispatcher& dispatcher) {
        dispatcher.setSnapshot(snapshot);
        dispatcher.setPartRetention(Millis(60'000));
        dispatcher.onPromptRead(shared, "e1", start);
        dispatcher.onPromptRead(shared, "e3", start);
        REQUIRE(dispatcher.parts().size() == 2);
    };
    Dispatcher entry("z1");
    prepare(entry);
    // A restarted entry places requests as one without parts.
    Dispatcher restarted("z1");
    restarted.setSnapshot(snapshot);
    Dispatcher without("z1", { true, true, true, false });
    without.setSnapshot(snapshot);
    for (int number = 0; number < 8; ++number)
        CHECK(restarted.dispatch(shared, start).endpoint == without.dispatch(shared, start).endpoint);
    // The request of before the restart ends at the endpoint; the new process did not begin it.
    restarted.onPromptEnded(shared, "e1", start);
    CHECK(restarted.parts().size() == 0);
    // The group forms anew without the endpoint that ended: the others have lost their parts as well.
    entry.onPartsLost("e3");
    CHECK(entry.parts().size() == 0);
    Dispatcher other("z1");
    prepare(other);
    DirectorySnapshot replaced = snapshot;
    replaced.endpoints.at("e1").processStartMs = 9;
    other.setSnapshot(replaced);
    CHECK(other.parts().size() == 0);
}

TEST_CASE("a part that a quarter of the requests have makes no endpoint hot")
{
    constexpr size_t entries = 16;
    constexpr size_t endpoints = 32;
    const DirectorySnapshot snapshot = makeSnapshot(endpoints, 10);
    // Returns the mean over time of the largest load over the mean load. With `losesReports`, no entry hears of
    // the others for one second in three.
    const auto play = [&](bool useParts, bool losesReports) {
        std::vector<std::unique_ptr<Dispatcher>> dispatchers;
        for (size_t entry = 0; entry < entries; ++entry) {
            dispatchers.push_back(std::make_unique<Dispatcher>("z1", DispatchRules { true, true, true, useParts }, "entry-" + std::to_string(entry)));
            dispatchers.back()->setSnapshot(snapshot);
            dispatchers.back()->setPartRetention(Millis(60'000));
        }
        struct Running {
            size_t entry;
            std::string endpoint;
            DispatchRequest request;
            TimePoint begins;
            TimePoint ends;
            bool hasBegun;
        };
        std::vector<Running> running;
        std::mt19937_64 random(3);
        TimePoint now = start;
        double peaks = 0;
        int samples = 0;
        for (int step = 0; step < 6000; ++step) {
            now += Millis(5);
            const bool isLost = losesReports && step % 600 < 200;
            if (step % 20 == 0 && !isLost)
                for (size_t from = 0; from < entries; ++from)
                    for (size_t to = 0; to < entries; ++to)
                        if (from != to)
                            dispatchers[to]->loads().onPeerCounts(std::to_string(from), dispatchers[from]->loads().ownCounts(), now);
            std::erase_if(running, [&](Running& job) {
                if (!job.hasBegun && job.begins <= now) {
                    job.hasBegun = true;
                    dispatchers[job.entry]->onPromptRead(job.request, job.endpoint, now);
                }
                if (job.ends > now)
                    return false;
                dispatchers[job.entry]->onEnded("model", job.endpoint, now);
                dispatchers[job.entry]->onPromptEnded(job.request, job.endpoint, now);
                return true;
            });
            const size_t entry = random() % entries;
            const uint64_t part = random() % 4 ? 100 + random() % 50 : 1;
            const DispatchRequest request = requestFor(snapshot, { { part, 500 } }, now);
            const DispatchDecision decision = dispatchers[entry]->dispatch(request, now);
            if (decision.kind == DispatchKind::Placed)
                running.push_back({ entry, decision.endpoint, request, now + Millis(100), now + Millis(600 + random() % 600), false });
            if (step % 20 || step < 600)
                continue;
            std::map<std::string, double> loads;
            double most = 0;
            for (const Running& job : running)
                most = std::max(most, ++loads[job.endpoint]);
            peaks += most * endpoints / static_cast<double>(running.size());
            ++samples;
        }
        return peaks / samples;
    };
    for (const bool losesReports : { false, true }) {
        const double without = play(false, losesReports);
        const double with = play(true, losesReports);
        MESSAGE("largest load over the mean without and with parts: ", without, " and ", with);
        // The bound of a saving: a quarter more load than the mean.
        CHECK(with <= 1.25 * without);
    }
}

TEST_CASE("a thousand explanations change no later decision and tell the same as it")
{
    DirectorySnapshot snapshot = makeSnapshot(4, 4);
    snapshot.endpoints.at("e0").coldUntil = start + std::chrono::hours(1);
    Dispatcher plain("z1", {}, "entry");
    plain.setSnapshot(snapshot);
    plain.onPause("e1", Millis(1500), start);
    // A copy, since each dispatcher draws other random numbers.
    Dispatcher explained(plain);
    size_t explanations = 0;
    std::string expected;
    const auto without = placeMany(plain, snapshot, [](const DispatchRequest&, TimePoint) {});
    std::vector<std::string> told;
    const auto with = placeMany(explained, snapshot, [&](const DispatchRequest& request, TimePoint now) {
        for (int number = 0; number < 3; ++number, ++explanations) {
            const Explanation explanation = std::as_const(explained).explain(request, now);
            expected = explanation.endpoint + ' ' + std::string(reasonName(explanation.reason)) + ' ' + std::to_string(explanation.decision == "refused" ? explanation.retryAfter.count() : 0);
        }
        told.push_back(expected);
    });
    CHECK(explanations >= 1000);
    CHECK(with == without);
    CHECK(told == with);
}

TEST_CASE("an explanation names why endpoints are closed, cold, paused, full, avoided or slow")
{
    DirectorySnapshot snapshot = makeSnapshot(7, 4);
    snapshot.endpoints.at("e0").leaving = true;
    snapshot.endpoints.at("e1").coldUntil = start + Millis(1500);
    Dispatcher dispatcher("z1");
    dispatcher.setSnapshot(snapshot);
    dispatcher.onPause("e2", Millis(700), start);
    dispatcher.health().onUnreachable("e3", start);
    dispatcher.setSlowness({ { "e5", 3 } }, start);
    dispatcher.loads().onPeerCounts("peer", { { "e6", 2 } }, start - Millis(80));
    const DispatchRequest shared = requestFor(snapshot, { { 1, 40 } });
    dispatcher.onPromptRead(shared, "e6", start);
    const Explanation explanation = dispatcher.explain(shared, start);
    std::map<std::string, std::string> obstacles;
    for (const ExplainedCandidate& candidate : explanation.candidates) {
        obstacles[candidate.endpoint] = "";
        for (const std::string& obstacle : candidate.obstacles)
            obstacles[candidate.endpoint] += obstacle + ';';
        if (candidate.endpoint == "e6") {
            CHECK(candidate.load == 2);
            CHECK(candidate.heldTokens == 40);
        }
    }
    CHECK(obstacles["e0"] == "closed: leaving;");
    CHECK(obstacles["e1"] == "cold for 1500 ms, 2.0 requests/s;");
    CHECK(obstacles["e2"] == "paused for 700 ms at its request;");
    CHECK(obstacles["e3"] == "avoided: it was unreachable or silent;");
    CHECK(obstacles["e5"] == "slow: 3.0 times the normal time;");
    CHECK(obstacles["e6"].empty());
    CHECK(explanation.countsAge == Millis(80));
    CHECK(explanation.decision == "placed");
    CHECK(explanation.candidates.front().endpoint == explanation.endpoint);
}
