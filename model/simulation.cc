#include "model/simulation.h"

#include "model/group.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace orioletrail::model {

namespace detail {

    // Between callers, entries and engines.
    constexpr Millis hop { 1 };
    constexpr double windowSeconds = 2;
    // Callers are asked to stop before the end, so that all answers end within the play.
    constexpr double settleSeconds = 10;
    constexpr double lateValue = 0.5;

    class Play {
    public:
        Play(const Scenario& scenario, const Policy& policy, uint64_t seed)
            : m_scenario(scenario)
            , m_policy(policy)
            , m_random(seed)
            , m_group(m_scenario.engine, { [this](uint64_t stream) { onEvent(stream); }, [this](uint64_t stream) { onFinished(stream); } })
        {
            const BeliefSnapshot beliefs = makeBeliefs();
            m_route = beliefs.catalog->findRoute("model.example", "/");
            m_catalog = beliefs.catalog;
            for (uint32_t entry = 0; entry < scenario.entries; ++entry) {
                m_entries.push_back(std::make_unique<Dispatcher>("zone", policy.rules));
                m_entries.back()->setBeliefs(beliefs);
            }
            m_result.series.resize(static_cast<size_t>(std::ceil(scenario.seconds / windowSeconds)));
        }

        PlayResult run()
        {
            after(Millis(0), [this] { tellStatus(); });
            scheduleArrival();
            while (!m_events.empty()) {
                const auto next = m_events.extract(m_events.begin());
                m_now = next.key().first;
                next.mapped()();
            }
            std::sort(m_result.firstEventMs.begin(), m_result.firstEventMs.end());
            return std::move(m_result);
        }

    private:
        // One caller with all its attempts.
        struct Caller {
            DispatchRequest request;
            TimePoint asked;
            uint32_t entry = 0;
            uint32_t returns = 0;
            double promptTokens = 0;
            uint32_t events = 0;
            // The stream under way.
            std::string endpoint;
            TimePoint sent;
            TimePoint lastEvent;
            uint32_t received = 0;
            bool isLate = false;
            bool isFirstLate = false;
            std::optional<WaitQueue::Ticket> ticket;
            // Rises with each thing that happens, so that older timers do nothing.
            uint64_t state = 0;
        };

        static constexpr TimePoint start { std::chrono::hours(1) };

        double seconds() const { return std::chrono::duration<double>(m_now - start).count(); }

        void after(Clock::duration delay, std::function<void()> run)
        {
            m_events.emplace(std::pair(m_now + delay, m_nextEvent++), std::move(run));
        }

        static Clock::duration millis(double value)
        {
            return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(value));
        }

        static Millis wholeMillis(double value) { return Millis(static_cast<Millis::rep>(value)); }

        double logNormal(double mean, double spread, double most)
        {
            std::lognormal_distribution<double> distribution(std::log(mean) - spread * spread / 2, spread);
            return std::clamp(distribution(m_random), 1.0, most);
        }

        static std::string rankName(uint32_t rank)
        {
            // Names sort as ranks do.
            constexpr uint32_t width = 1000;
            return "rank-" + std::to_string(width + rank);
        }

        BeliefSnapshot makeBeliefs() const
        {
            const EngineModel& engine = m_scenario.engine;
            Route route;
            route.name = "stream";
            route.host = "model.example";
            route.pathPrefix = "/";
            route.streaming = true;
            route.objective = wholeMillis(m_scenario.callers.objectiveMs);
            route.gapObjective = wholeMillis(m_scenario.callers.gapObjectiveMs);
            route.timeout = wholeMillis(m_scenario.callers.timeoutMs);
            route.targets = { { "model", 1 } };
            ServiceProfile service;
            service.name = "model";
            EngineProfile profile;
            profile.slots = engine.slots;
            profile.stride = engine.stride;
            profile.stepMs = engine.stepMs;
            profile.perSequenceMs = engine.perSequenceMs;
            profile.expertShare = engine.expertShare;
            service.engine = profile;
            CatalogBuilder builder;
            builder.version(1).route(route).service(service);
            BeliefSnapshot beliefs;
            beliefs.catalog = std::make_shared<const Catalog>(std::move(builder).build());
            for (uint32_t rank = 0; rank < engine.ranks; ++rank) {
                EndpointRecord record;
                record.id = rankName(rank);
                record.service = "model";
                record.zone = "zone";
                record.slots = engine.slots;
                beliefs.endpoints.emplace(record.id, record);
            }
            return beliefs;
        }

        void tellStatus()
        {
            std::map<std::string, double, std::less<>> slowness;
            const double reported = seconds() - m_scenario.engine.reportLagMs / 1000;
            for (uint32_t rank = 0; rank < m_scenario.engine.ranks; ++rank)
                if (const double factor = m_group.slownessAt(rank, reported); factor > 1)
                    slowness.emplace(rankName(rank), factor);
            for (size_t to = 0; to < m_entries.size(); ++to) {
                m_entries[to]->setSlowness(slowness, m_now);
                for (size_t from = 0; m_policy.sharesCounts && from < m_entries.size(); ++from)
                    if (from != to)
                        m_entries[to]->loads().onPeerCounts(std::to_string(from), m_entries[from]->loads().ownCounts(), m_now);
                m_entries[to]->wakeWaiting(m_now);
            }
            if (seconds() < m_scenario.seconds + settleSeconds)
                after(millis(m_scenario.statusIntervalMs), [this] { tellStatus(); });
        }

        void scheduleArrival()
        {
            const double rate = valueAt(m_scenario.callers.perSecond, seconds());
            std::exponential_distribution<double> pause(std::max(rate, 1e-3));
            after(millis(1000 * pause(m_random)), [this] {
                if (seconds() >= m_scenario.seconds)
                    return;
                arrive();
                scheduleArrival();
            });
        }

        void arrive()
        {
            const uint64_t number = m_nextCaller++;
            Caller& caller = m_callers[number];
            caller.asked = m_now;
            caller.promptTokens = logNormal(m_scenario.callers.promptTokens, m_scenario.callers.promptSpread, m_scenario.callers.mostPromptTokens);
            caller.events = static_cast<uint32_t>(std::lround(logNormal(m_scenario.callers.events, m_scenario.callers.eventsSpread, m_scenario.callers.mostEvents)));
            caller.request.service = "model";
            caller.request.route = m_route;
            ask(number);
        }

        // The caller's attempt reaches an entry, chosen at random.
        void ask(uint64_t number)
        {
            Caller& caller = m_callers.at(number);
            caller.entry = std::uniform_int_distribution<uint32_t>(0, m_scenario.entries - 1)(m_random);
            caller.request.received = m_now;
            caller.request.timeLeft = std::chrono::duration_cast<Millis>(caller.asked + wholeMillis(m_scenario.callers.timeoutMs) - m_now);
            if (*caller.request.timeLeft <= Millis(0)) {
                end(number, &Tally::failed);
                return;
            }
            Dispatcher& entry = *m_entries[caller.entry];
            entry.onStreamAsked("model", *m_route, m_now);
            const DispatchDecision decision = entry.ask(caller.request, m_now);
            const uint64_t state = ++caller.state;
            switch (decision.kind) {
            case DispatchKind::Placed:
                send(number, decision.endpoint);
                break;
            case DispatchKind::Refused:
                refuse(number, decision.retryAfter);
                break;
            case DispatchKind::Wait:
                caller.ticket = entry.wait(caller.request, m_now, [this, number] { wake(number); });
                after(decision.longestWait, [this, number, state] { endWait(number, state); });
                break;
            }
        }

        void wake(uint64_t number)
        {
            Caller& caller = m_callers.at(number);
            if (const auto endpoint = m_entries[caller.entry]->reserve(caller.request, m_now)) {
                caller.ticket.reset();
                ++caller.state;
                send(number, *endpoint);
            }
        }

        void endWait(uint64_t number, uint64_t state)
        {
            const auto found = m_callers.find(number);
            if (found == m_callers.end() || found->second.state != state)
                return;
            Caller& caller = found->second;
            m_entries[caller.entry]->endWait("model", *caller.ticket);
            caller.ticket.reset();
            refuse(number, m_entries[caller.entry]->retryAfter(caller.request, m_now));
        }

        void refuse(uint64_t number, Millis retryAfter)
        {
            Caller& caller = m_callers.at(number);
            ++caller.state;
            if (caller.returns >= m_scenario.callers.returns) {
                end(number, &Tally::refused);
                return;
            }
            ++caller.returns;
            after(retryAfter + 2 * hop, [this, number] { ask(number); });
        }

        void send(uint64_t number, const std::string& endpoint)
        {
            Caller& caller = m_callers.at(number);
            caller.endpoint = endpoint;
            caller.sent = m_now;
            caller.lastEvent = m_now;
            const uint64_t state = caller.state;
            after(hop, [this, number, state] {
                const auto found = m_callers.find(number);
                if (found == m_callers.end() || found->second.state != state)
                    return;
                const Caller& sent = found->second;
                const auto rank = static_cast<uint32_t>(std::stoul(sent.endpoint.substr(sent.endpoint.find('-') + 1)) - 1000);
                m_group.add(number, rank, sent.promptTokens, sent.events);
                startPass();
            });
            after(caller.asked + wholeMillis(m_scenario.callers.timeoutMs) - m_now, [this, number, state] { leaveIfStill(number, state, std::nullopt); });
            watchPatience(number, state, 0);
        }

        // The caller leaves if no event comes for the length of its patience.
        void watchPatience(uint64_t number, uint64_t state, uint32_t received)
        {
            after(millis(m_scenario.callers.patienceMs), [this, number, state, received] { leaveIfStill(number, state, received); });
        }

        void leaveIfStill(uint64_t number, uint64_t state, std::optional<uint32_t> received)
        {
            const auto found = m_callers.find(number);
            if (found == m_callers.end() || found->second.state != state || (received && found->second.received != *received))
                return;
            m_group.remove(number);
            release(found->second);
            end(number, &Tally::failed);
        }

        void startPass()
        {
            if (m_passUnderWay || m_group.isIdle())
                return;
            m_passUnderWay = true;
            after(millis(m_group.beginPass(seconds())), [this] {
                m_passUnderWay = false;
                m_group.endPass();
                startPass();
            });
        }

        void onEvent(uint64_t number)
        {
            Caller& caller = m_callers.at(number);
            Dispatcher& entry = *m_entries[caller.entry];
            if (!caller.received) {
                entry.onFirstEvent("model", m_now - caller.sent);
                const double waited = std::chrono::duration<double, std::milli>(m_now - caller.asked).count();
                m_result.firstEventMs.push_back(waited);
                caller.isFirstLate = waited > m_scenario.callers.objectiveMs;
                caller.isLate = caller.isFirstLate;
            } else {
                entry.onPause("model", m_now - caller.lastEvent, m_now);
                caller.isLate = caller.isLate || m_now - caller.lastEvent > millis(m_scenario.callers.gapObjectiveMs);
            }
            caller.lastEvent = m_now;
            ++caller.received;
            watchPatience(number, caller.state, caller.received);
        }

        void onFinished(uint64_t number)
        {
            Caller& caller = m_callers.at(number);
            m_entries[caller.entry]->onAnswered("model", m_now - caller.sent, caller.received);
            const bool isLate = caller.isLate;
            release(caller);
            end(number, isLate ? &Tally::late : &Tally::inTime);
        }

        void release(const Caller& caller)
        {
            Dispatcher& entry = *m_entries[caller.entry];
            entry.onEnded("model", caller.endpoint, m_now);
            entry.wakeWaiting("model", m_now);
        }

        void end(uint64_t number, uint64_t Tally::*outcome)
        {
            const Caller& caller = m_callers.at(number);
            const double asked = std::chrono::duration<double>(caller.asked - start).count();
            const size_t window = std::min(m_result.series.size() - 1, static_cast<size_t>(asked / windowSeconds));
            const auto count = [&](Tally& tally) {
                ++tally.asked;
                ++(tally.*outcome);
                tally.lateByPause += outcome == &Tally::late && !caller.isFirstLate;
            };
            count(m_result.whole);
            count(m_result.series[window]);
            if (caller.promptTokens > m_scenario.callers.promptTokens)
                count(m_result.longPrompts);
            m_callers.erase(number);
        }

        const Scenario& m_scenario;
        const Policy& m_policy;
        std::mt19937_64 m_random;
        EngineGroup m_group;
        TimePoint m_now = start;
        // By time, and in the order in which they were made.
        std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> m_events;
        uint64_t m_nextEvent = 0;
        uint64_t m_nextCaller = 0;
        bool m_passUnderWay = false;
        std::shared_ptr<const Catalog> m_catalog;
        const Route* m_route = nullptr;
        std::vector<std::unique_ptr<Dispatcher>> m_entries;
        std::map<uint64_t, Caller> m_callers;
        PlayResult m_result;
    };

} // namespace detail

double Tally::value() const
{
    return asked ? (static_cast<double>(inTime) + detail::lateValue * static_cast<double>(late)) / static_cast<double>(asked) : 0;
}

double PlayResult::firstEventQuantile(double share) const
{
    if (firstEventMs.empty())
        return 0;
    return firstEventMs[std::min(firstEventMs.size() - 1, static_cast<size_t>(share * static_cast<double>(firstEventMs.size())))];
}

std::vector<Policy> allPolicies()
{
    Policy product;
    product.name = "product";
    Policy noPace = product;
    noPace.name = "without pace limit";
    noPace.rules.limitPace = false;
    Policy noWaiting = product;
    noWaiting.name = "without waiting";
    noWaiting.rules.allowWaiting = false;
    Policy noSlowness = product;
    noSlowness.name = "without slowness";
    noSlowness.rules.weighSlowness = false;
    Policy alone = product;
    alone.name = "without peers' counts";
    alone.sharesCounts = false;
    return { product, noPace, noWaiting, noSlowness, alone };
}

PlayResult play(const Scenario& scenario, const Policy& policy, uint64_t seed)
{
    return detail::Play(scenario, policy, seed).run();
}

} // namespace orioletrail::model
