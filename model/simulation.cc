#include "model/simulation.h"

#include "model/group.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace orioletrail::model {

namespace detail {

    // One-way delay between an entry and an engine, or between a caller and an entry.
    constexpr Millis networkDelay { 1 };
    constexpr double windowSeconds = 2;
    // Entries go on exchanging their status for this long after the last caller has arrived, so
    // that all answers end under normal conditions.
    constexpr double drainSeconds = 10;
    // Value of a late answer to its caller relative to one on time.
    constexpr double lateAnswerValue = 0.5;

    class Simulation {
    public:
        Simulation(const Scenario& scenario, const Policy& policy, uint64_t seed)
            : m_scenario(scenario)
            , m_policy(policy)
            , m_random(seed)
            , m_group(m_scenario.engine, { [this](uint64_t stream) { onEvent(stream); }, [this](uint64_t stream) { onFinished(stream); } })
        {
            const DirectorySnapshot snapshot = makeSnapshot();
            m_route = snapshot.catalog->findRoute("model.example", "/");
            m_catalog = snapshot.catalog;
            for (uint32_t entry = 0; entry < scenario.entries; ++entry) {
                m_entries.push_back(std::make_unique<Dispatcher>("zone", policy.rules, "entry-" + std::to_string(entry)));
                m_entries.back()->setSnapshot(snapshot);
                m_entries.back()->setPartRetention(toMillis(scenario.engine.keepPartsMs));
            }
            m_result.series.resize(static_cast<size_t>(std::ceil(scenario.seconds / windowSeconds)));
        }

        SimulationResult run()
        {
            schedule(Millis(0), [this] { exchangeStatus(); });
            scheduleArrival();
            while (!m_events.empty()) {
                const auto next = m_events.extract(m_events.begin());
                m_now = next.key().first;
                next.mapped()();
            }
            m_result.tokensRead = m_group.tokensRead();
            m_result.peakLoad = m_peakLoads ? m_peakLoadSum / static_cast<double>(m_peakLoads) : 0;
            std::sort(m_result.firstEventMs.begin(), m_result.firstEventMs.end());
            return std::move(m_result);
        }

    private:
        // A caller with its current request.
        struct Caller {
            DispatchRequest request;
            TimePoint started;
            uint32_t entry = 0;
            uint32_t retries = 0;
            double promptTokens = 0;
            uint32_t events = 0;
            // The current stream.
            std::string endpoint;
            TimePoint sent;
            TimePoint lastEvent;
            uint32_t received = 0;
            bool isLate = false;
            bool isFirstEventLate = false;
            std::optional<WaitQueue::Ticket> ticket;
            // Incremented whenever the caller's state changes, to invalidate timers set before.
            uint64_t generation = 0;
        };

        static constexpr TimePoint start { std::chrono::hours(1) };

        double seconds() const { return std::chrono::duration<double>(m_now - start).count(); }

        void schedule(Clock::duration delay, std::function<void()> run)
        {
            m_events.emplace(std::pair(m_now + delay, m_nextEvent++), std::move(run));
        }

        static Clock::duration toDuration(double value)
        {
            return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(value));
        }

        static Millis toMillis(double value) { return Millis(static_cast<Millis::rep>(value)); }

        double logNormal(double mean, double spread, double max)
        {
            std::lognormal_distribution<double> distribution(std::log(mean) - spread * spread / 2, spread);
            return std::clamp(distribution(m_random), 1.0, max);
        }

        static std::string rankName(uint32_t rank)
        {
            // The offset makes names sort in the order of the ranks.
            constexpr uint32_t offset = 1000;
            return "rank-" + std::to_string(offset + rank);
        }

        DirectorySnapshot makeSnapshot() const
        {
            const EngineModel& engine = m_scenario.engine;
            Route route;
            route.name = "stream";
            route.host = "model.example";
            route.pathPrefix = "/";
            route.streaming = true;
            route.objective = toMillis(m_scenario.callers.objectiveMs);
            route.gapObjective = toMillis(m_scenario.callers.gapObjectiveMs);
            route.timeout = toMillis(m_scenario.callers.timeoutMs);
            route.targets = { { "model", 1 } };
            ServiceProfile service;
            service.name = "model";
            EngineProfile profile;
            profile.slots = engine.slots;
            profile.stepsPerPass = engine.stride;
            profile.stepMs = engine.stepMs;
            profile.perSequenceMs = engine.perSequenceMs;
            profile.expertShare = engine.expertShare;
            profile.promptTokensPerMs = engine.promptTokensPerMs;
            profile.promptChunk = static_cast<uint32_t>(engine.chunk);
            service.engine = profile;
            CatalogBuilder builder;
            builder.version(1).route(route).service(service);
            DirectorySnapshot snapshot;
            snapshot.catalog = std::make_shared<const Catalog>(std::move(builder).build());
            for (uint32_t rank = 0; rank < engine.ranks; ++rank) {
                EndpointRecord record;
                record.id = rankName(rank);
                record.service = "model";
                record.zone = "zone";
                record.slots = engine.slots;
                snapshot.endpoints.emplace(record.id, record);
            }
            return snapshot;
        }

        void exchangeStatus()
        {
            observePeakLoad();
            std::map<std::string, double, std::less<>> slowness;
            const double reportTime = seconds() - m_scenario.engine.reportLagMs / 1000;
            for (uint32_t rank = 0; rank < m_scenario.engine.ranks; ++rank)
                if (const double factor = m_group.slownessAt(rank, reportTime); factor > 1)
                    slowness.emplace(rankName(rank), factor);
            for (size_t to = 0; to < m_entries.size(); ++to) {
                m_entries[to]->setSlowness(slowness, m_now);
                for (size_t from = 0; m_policy.sharesCounts && from < m_entries.size(); ++from)
                    if (from != to)
                        m_entries[to]->loads().onPeerCounts(std::to_string(from), m_entries[from]->loads().ownCounts(), m_now);
                m_entries[to]->wakeWaiting(m_now);
            }
            if (seconds() < m_scenario.seconds + drainSeconds)
                schedule(toDuration(m_scenario.statusIntervalMs), [this] { exchangeStatus(); });
        }

        void observePeakLoad()
        {
            std::map<std::string, double, std::less<>> loads;
            double total = 0;
            for (const auto& entry : m_entries)
                for (const auto& [endpoint, count] : entry->loads().ownCounts()) {
                    loads[endpoint] += count;
                    total += count;
                }
            if (total <= 0)
                return;
            double peak = 0;
            for (const auto& [endpoint, load] : loads)
                peak = std::max(peak, load);
            m_peakLoadSum += peak * m_scenario.engine.ranks / total;
            ++m_peakLoads;
        }

        void scheduleArrival()
        {
            const double rate = valueAt(m_scenario.callers.perSecond, seconds());
            std::exponential_distribution<double> interval(std::max(rate, 1e-3));
            schedule(toDuration(1000 * interval(m_random)), [this] {
                if (seconds() >= m_scenario.seconds)
                    return;
                startCaller();
                scheduleArrival();
            });
        }

        void startCaller()
        {
            const uint64_t callerId = m_nextCallerId++;
            Caller& caller = m_callers[callerId];
            caller.started = m_now;
            caller.promptTokens = logNormal(m_scenario.callers.promptTokens, m_scenario.callers.promptSpread, m_scenario.callers.mostPromptTokens);
            caller.events = static_cast<uint32_t>(std::lround(logNormal(m_scenario.callers.events, m_scenario.callers.eventsSpread, m_scenario.callers.mostEvents)));
            if (m_scenario.callers.sharedTokens > 0) {
                constexpr double firstPartShare = 0.25;
                const uint32_t parts = m_scenario.callers.sharedParts;
                const bool isFirst = parts == 1 || std::uniform_real_distribution<double>(0, 1)(m_random) < firstPartShare;
                const uint32_t part = isFirst ? 0 : std::uniform_int_distribution<uint32_t>(1, parts - 1)(m_random);
                caller.request.promptParts = { { part + uint64_t { 1 }, static_cast<uint32_t>(m_scenario.callers.sharedTokens) } };
            }
            caller.request.service = "model";
            caller.request.route = m_route;
            sendRequest(callerId);
        }

        // The caller's request arrives at an entry that is chosen at random.
        void sendRequest(uint64_t callerId)
        {
            Caller& caller = m_callers.at(callerId);
            caller.entry = std::uniform_int_distribution<uint32_t>(0, m_scenario.entries - 1)(m_random);
            caller.request.received = m_now;
            caller.request.timeLeft = std::chrono::duration_cast<Millis>(caller.started + toMillis(m_scenario.callers.timeoutMs) - m_now);
            if (*caller.request.timeLeft <= Millis(0)) {
                finishCaller(callerId, &OutcomeCounts::failed);
                return;
            }
            Dispatcher& entry = *m_entries[caller.entry];
            entry.updatePaceProfile("model", *m_route, m_now);
            const DispatchDecision decision = entry.dispatch(caller.request, m_now);
            const uint64_t generation = ++caller.generation;
            switch (decision.kind) {
            case DispatchKind::Placed:
                send(callerId, decision.endpoint);
                break;
            case DispatchKind::Refused:
                onRefused(callerId, decision.retryAfter);
                break;
            case DispatchKind::Wait:
                caller.ticket = entry.enqueue(caller.request, m_now, [this, callerId] { onWoken(callerId); });
                schedule(decision.longestWait, [this, callerId, generation] { onWaitTimeout(callerId, generation); });
                break;
            }
        }

        void onWoken(uint64_t callerId)
        {
            Caller& caller = m_callers.at(callerId);
            if (const auto endpoint = m_entries[caller.entry]->reserve(caller.request, m_now)) {
                caller.ticket.reset();
                ++caller.generation;
                send(callerId, *endpoint);
            }
        }

        void onWaitTimeout(uint64_t callerId, uint64_t generation)
        {
            const auto found = m_callers.find(callerId);
            if (found == m_callers.end() || found->second.generation != generation)
                return;
            Caller& caller = found->second;
            m_entries[caller.entry]->removeFromQueue("model", *caller.ticket);
            caller.ticket.reset();
            onRefused(callerId, m_entries[caller.entry]->retryAfter(caller.request, m_now));
        }

        void onRefused(uint64_t callerId, Millis retryAfter)
        {
            Caller& caller = m_callers.at(callerId);
            ++caller.generation;
            if (caller.retries >= m_scenario.callers.returns) {
                finishCaller(callerId, &OutcomeCounts::refused);
                return;
            }
            ++caller.retries;
            schedule(retryAfter + 2 * networkDelay, [this, callerId] { sendRequest(callerId); });
        }

        void send(uint64_t callerId, const std::string& endpoint)
        {
            Caller& caller = m_callers.at(callerId);
            caller.endpoint = endpoint;
            const PartDecision& parts = m_entries[caller.entry]->lastPartDecision();
            m_result.tokensSaved += parts.savedTokens;
            m_result.moved += parts.wasMoved;
            caller.sent = m_now;
            caller.lastEvent = m_now;
            const uint64_t generation = caller.generation;
            schedule(networkDelay, [this, callerId, generation] {
                const auto found = m_callers.find(callerId);
                if (found == m_callers.end() || found->second.generation != generation)
                    return;
                const Caller& sent = found->second;
                const auto rank = static_cast<uint32_t>(std::stoul(sent.endpoint.substr(sent.endpoint.find('-') + 1)) - 1000);
                const std::vector<PromptPart>& parts = sent.request.promptParts;
                m_group.add(callerId, rank, sent.promptTokens, sent.events, parts.empty() ? 0 : parts[0].hash, m_scenario.callers.sharedTokens);
                startPass();
            });
            schedule(caller.started + toMillis(m_scenario.callers.timeoutMs) - m_now, [this, callerId, generation] { abandonIfUnchanged(callerId, generation, std::nullopt); });
            schedulePatienceTimeout(callerId, generation, 0);
        }

        // The caller gives up if no event arrives for `patienceMs`.
        void schedulePatienceTimeout(uint64_t callerId, uint64_t generation, uint32_t received)
        {
            schedule(toDuration(m_scenario.callers.patienceMs), [this, callerId, generation, received] { abandonIfUnchanged(callerId, generation, received); });
        }

        // The caller gives up unless its state has changed since the timer was set or, if
        // `received` is given, more events have arrived.
        void abandonIfUnchanged(uint64_t callerId, uint64_t generation, std::optional<uint32_t> received)
        {
            const auto found = m_callers.find(callerId);
            if (found == m_callers.end() || found->second.generation != generation || (received && found->second.received != *received))
                return;
            m_group.remove(callerId);
            releaseEndpoint(found->second);
            finishCaller(callerId, &OutcomeCounts::failed);
        }

        void startPass()
        {
            if (m_isPassRunning || m_group.isIdle())
                return;
            m_isPassRunning = true;
            schedule(toDuration(m_group.beginPass(seconds())), [this] {
                m_isPassRunning = false;
                m_group.endPass();
                startPass();
            });
        }

        void onEvent(uint64_t callerId)
        {
            Caller& caller = m_callers.at(callerId);
            Dispatcher& entry = *m_entries[caller.entry];
            if (!caller.received) {
                for (Dispatcher* knowing : entriesThatLearn(caller))
                    knowing->onPromptRead(caller.request, caller.endpoint, m_now);
                entry.onFirstEvent("model", m_now - caller.sent);
                const double firstEventDelayMs = std::chrono::duration<double, std::milli>(m_now - caller.started).count();
                m_result.firstEventMs.push_back(firstEventDelayMs);
                caller.isFirstEventLate = firstEventDelayMs > m_scenario.callers.objectiveMs;
                caller.isLate = caller.isFirstEventLate;
            } else {
                entry.onEventGap("model", caller.endpoint, m_now - caller.lastEvent, m_now);
                caller.isLate = caller.isLate || m_now - caller.lastEvent > toDuration(m_scenario.callers.gapObjectiveMs);
            }
            caller.lastEvent = m_now;
            ++caller.received;
            schedulePatienceTimeout(callerId, caller.generation, caller.received);
        }

        void onFinished(uint64_t callerId)
        {
            Caller& caller = m_callers.at(callerId);
            m_entries[caller.entry]->onAnswered("model", m_now - caller.sent, caller.received);
            const bool isLate = caller.isLate;
            releaseEndpoint(caller);
            finishCaller(callerId, isLate ? &OutcomeCounts::late : &OutcomeCounts::inTime);
        }

        // The entries that learn which parts the caller's endpoint holds.
        std::vector<Dispatcher*> entriesThatLearn(const Caller& caller) const
        {
            std::vector<Dispatcher*> entries;
            for (size_t entry = 0; entry < m_entries.size(); ++entry)
                if (entry == caller.entry || m_policy.sharesParts)
                    entries.push_back(m_entries[entry].get());
            return entries;
        }

        void releaseEndpoint(const Caller& caller)
        {
            Dispatcher& entry = *m_entries[caller.entry];
            entry.onEnded("model", caller.endpoint, m_now);
            for (Dispatcher* knowing : entriesThatLearn(caller))
                if (caller.received)
                    knowing->onPromptEnded(caller.request, caller.endpoint, m_now);
            entry.wakeWaiting("model", m_now);
        }

        void finishCaller(uint64_t callerId, uint64_t OutcomeCounts::*outcome)
        {
            const Caller& caller = m_callers.at(callerId);
            const double started = std::chrono::duration<double>(caller.started - start).count();
            const size_t window = std::min(m_result.series.size() - 1, static_cast<size_t>(started / windowSeconds));
            const auto count = [&](OutcomeCounts& counts) {
                ++counts.asked;
                ++(counts.*outcome);
                counts.lateByPause += outcome == &OutcomeCounts::late && !caller.isFirstEventLate;
            };
            count(m_result.total);
            count(m_result.series[window]);
            if (caller.promptTokens > m_scenario.callers.promptTokens)
                count(m_result.longPrompts);
            m_callers.erase(callerId);
        }

        const Scenario& m_scenario;
        const Policy& m_policy;
        std::mt19937_64 m_random;
        EngineGroup m_group;
        TimePoint m_now = start;
        // Scheduled callbacks by time, then in the order in which they were scheduled.
        std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> m_events;
        uint64_t m_nextEvent = 0;
        uint64_t m_nextCallerId = 0;
        bool m_isPassRunning = false;
        std::shared_ptr<const Catalog> m_catalog;
        const Route* m_route = nullptr;
        std::vector<std::unique_ptr<Dispatcher>> m_entries;
        std::map<uint64_t, Caller> m_callers;
        double m_peakLoadSum = 0;
        uint64_t m_peakLoads = 0;
        SimulationResult m_result;
    };

} // namespace detail

double OutcomeCounts::value() const
{
    return asked ? (static_cast<double>(inTime) + detail::lateAnswerValue * static_cast<double>(late)) / static_cast<double>(asked) : 0;
}

double SimulationResult::firstEventQuantile(double share) const
{
    if (firstEventMs.empty())
        return 0;
    return firstEventMs[std::min(firstEventMs.size() - 1, static_cast<size_t>(share * static_cast<double>(firstEventMs.size())))];
}

std::vector<Policy> allPolicies()
{
    Policy product;
    product.name = "product";
    Policy withoutPaceLimit = product;
    withoutPaceLimit.name = "without pace limit";
    withoutPaceLimit.rules.limitPace = false;
    Policy withoutWaiting = product;
    withoutWaiting.name = "without waiting";
    withoutWaiting.rules.allowWaiting = false;
    Policy withoutSlowness = product;
    withoutSlowness.name = "without slowness";
    withoutSlowness.rules.useSlowness = false;
    Policy withoutPeerCounts = product;
    withoutPeerCounts.name = "without peers' counts";
    withoutPeerCounts.sharesCounts = false;
    Policy withoutParts = product;
    withoutParts.name = "without prompt parts";
    withoutParts.rules.useParts = false;
    Policy withSharedParts = product;
    withSharedParts.name = "parts known to all";
    withSharedParts.sharesParts = true;
    return { product, withoutPaceLimit, withoutWaiting, withoutSlowness, withoutPeerCounts, withoutParts, withSharedParts };
}

SimulationResult simulate(const Scenario& scenario, const Policy& policy, uint64_t seed)
{
    return detail::Simulation(scenario, policy, seed).run();
}

} // namespace orioletrail::model
