#include "model/group-split.h"

#include "dispatch/dispatcher.h"
#include "model/group.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <random>

namespace orioletrail::model {

namespace detail {

    double quantile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[std::min(values.size() - 1, static_cast<size_t>(share * static_cast<double>(values.size())))];
    }

    class SplitSimulation {
    public:
        SplitSimulation(const SplitScenario& scenario, uint64_t seed)
            : m_scenario(scenario)
            , m_random(seed)
        {
            makeSnapshot();
            for (size_t group = 0; group < scenario.groups.size(); ++group) {
                m_engines.push_back(std::make_unique<Engine>(scenario.groups[group], GroupCallbacks { [this](uint64_t stream) { onEvent(stream); }, [this](uint64_t stream) { onFinished(stream); } }));
                m_exact.emplace_back(scenario.groups[group].ranks, 0);
            }
            for (uint32_t entry = 0; entry < scenario.entries; ++entry) {
                m_entries.push_back(std::make_unique<Dispatcher>("zone", DispatchRules {}, "entry-" + std::to_string(entry)));
                m_entries.back()->setSnapshot(m_snapshot);
                const double offset = scenario.statusIntervalMs * entry / scenario.entries;
                schedule(offset, [this, entry] { sendStatus(entry); });
            }
        }

        SplitResult run()
        {
            reportGroups();
            sampleLoads();
            schedule(0, [this] { arrive(); });
            while (!m_events.empty()) {
                const auto next = m_events.extract(m_events.begin());
                m_now = next.key().first;
                next.mapped()();
            }
            m_result.gapP50Ms = quantile(m_gaps, 0.5);
            m_result.gapP95Ms = quantile(m_gaps, 0.95);
            m_result.firstEventP95Ms = quantile(m_firstEvents, 0.95);
            finishLoads();
            return m_result;
        }

    private:
        struct Engine {
            Engine(const EngineModel& model, GroupCallbacks callbacks)
                : group(model, std::move(callbacks))
            {
            }
            EngineGroup group;
            bool isPassRunning = false;
        };

        struct Stream {
            uint32_t entry = 0;
            size_t group = 0;
            uint32_t rank = 0;
            TimePoint sent;
            TimePoint lastEvent;
            uint32_t received = 0;
        };

        static constexpr TimePoint start { std::chrono::hours(1) };

        double seconds() const { return std::chrono::duration<double>(m_now - start).count(); }
        bool isMeasured() const { return seconds() >= m_scenario.warmUpSeconds && seconds() < m_scenario.seconds; }
        bool isForming() const { return seconds() >= m_scenario.formingFrom && seconds() < m_scenario.formingTo; }

        void schedule(double delayMs, std::function<void()> run)
        {
            const auto delay = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(delayMs));
            m_events.emplace(std::pair(m_now + delay, m_nextEvent++), std::move(run));
        }

        static std::string rankName(size_t group, uint32_t rank) { return "rank-" + std::to_string(100 + group) + '-' + std::to_string(1000 + rank); }

        void makeSnapshot()
        {
            const EngineModel& engine = m_scenario.groups.front();
            Route route;
            route.name = "stream";
            route.host = "model.example";
            route.pathPrefix = "/";
            route.streaming = true;
            route.objective = Millis(static_cast<Millis::rep>(m_scenario.callers.objectiveMs));
            route.gapObjective = Millis(static_cast<Millis::rep>(m_scenario.callers.gapObjectiveMs));
            route.timeout = Millis(static_cast<Millis::rep>(m_scenario.callers.timeoutMs));
            route.targets = { { "model", 1 } };
            ServiceProfile service;
            service.name = "model";
            EngineProfile profile;
            profile.slots = engine.slots;
            profile.stepsPerPass = engine.stride;
            profile.stepMs = engine.stepMs;
            profile.perSequenceMs = engine.perSequenceMs;
            profile.expertShare = engine.expertShare;
            service.engine = profile;
            CatalogBuilder builder;
            builder.version(1).route(route).service(service);
            m_snapshot.catalog = std::make_shared<const Catalog>(std::move(builder).build());
            m_route = m_snapshot.catalog->findRoute("model.example", "/");
            for (size_t group = 0; group < m_scenario.groups.size(); ++group)
                for (uint32_t rank = 0; rank < m_scenario.groups[group].ranks; ++rank) {
                    EndpointRecord record;
                    record.id = rankName(group, rank);
                    record.service = "model";
                    record.zone = "zone";
                    record.slots = engine.slots;
                    record.processStartMs = 1;
                    m_snapshot.endpoints.emplace(record.id, record);
                }
        }

        void sendStatus(uint32_t from)
        {
            std::map<std::string, double, std::less<>> slowness;
            for (size_t group = 0; group < m_scenario.slowness.size(); ++group)
                for (uint32_t rank = 0; m_scenario.slowness[group] > 1 && rank < m_scenario.groups[group].ranks; ++rank)
                    slowness.emplace(rankName(group, rank), m_scenario.slowness[group]);
            schedule(m_scenario.reportDelayMs, [this, from, slowness, counts = m_entries[from]->loads().ownCounts()] {
                for (uint32_t to = 0; to < m_scenario.entries; ++to) {
                    if (!from)
                        m_entries[to]->setSlowness(slowness, m_now);
                    if (to != from)
                        m_entries[to]->loads().onPeerCounts(std::to_string(from), counts, m_now);
                }
            });
            if (seconds() < m_scenario.seconds)
                schedule(m_scenario.statusIntervalMs, [this, from] { sendStatus(from); });
        }

        // The leader's report, with the shares that it would announce.
        void reportGroups()
        {
            std::vector<GroupReport> reports;
            for (size_t group = 0; group < m_scenario.groups.size(); ++group) {
                GroupReport report { "group-" + std::to_string(group), "model", 1, group == 0 && isForming() ? GroupState::Forming : GroupState::Open };
                for (uint32_t rank = 0; rank < m_scenario.groups[group].ranks; ++rank)
                    report.members.push_back({ rankName(group, rank), 1 });
                reports.push_back(std::move(report));
            }
            schedule(m_scenario.reportDelayMs, [this, reports, shares = exactShares()] {
                m_announced = shares;
                for (const auto& entry : m_entries)
                    entry->setGroups(reports, m_now);
            });
            if (seconds() < m_scenario.seconds)
                schedule(m_scenario.statusIntervalMs, [this] { reportGroups(); });
        }

        GroupPass passOf(size_t group) const
        {
            const EngineModel& engine = m_scenario.groups[group];
            const double cost = 1 - engine.expertShare + engine.expertShare * valueAt(engine.unevenness, seconds());
            return { engine.stride * engine.stepMs, engine.stride * engine.perSequenceMs * cost, static_cast<double>(engine.ranks), static_cast<double>(engine.ranks) * engine.slots };
        }

        std::vector<double> exactShares() const
        {
            std::vector<GroupPass> passes;
            for (size_t group = 0; group < m_scenario.groups.size(); ++group)
                passes.push_back(passOf(group));
            return groupShares(passes, static_cast<double>(m_streams.size() + 1));
        }

        // Predicted pass of the group from what the entry knows.
        double predictedPass(uint32_t entry, size_t group) const
        {
            double streams = 0;
            for (uint32_t rank = 0; rank < m_scenario.groups[group].ranks; ++rank)
                streams += m_entries[entry]->loads().estimate(rankName(group, rank), m_now);
            const GroupPass pass = passOf(group);
            return pass.fixedMs + pass.perStreamMs * streams / pass.endpoints;
        }

        size_t chooseGroup(uint32_t entry)
        {
            const size_t groups = m_scenario.groups.size();
            const auto shorter = [&](size_t a, size_t b) { return predictedPass(entry, a) < predictedPass(entry, b); };
            std::vector<size_t> all;
            for (size_t group = 0; group < groups; ++group)
                all.push_back(group);
            switch (m_scenario.policy) {
            case SplitPolicy::ShortestPass:
                return *std::min_element(all.begin(), all.end(), shorter);
            case SplitPolicy::AnnouncedShares:
                return m_announced.empty() ? 0 : std::discrete_distribution<size_t>(m_announced.begin(), m_announced.end())(m_random);
            case SplitPolicy::TwoChoices: {
                std::uniform_int_distribution<size_t> draw(0, groups - 1);
                const size_t a = draw(m_random);
                const size_t b = draw(m_random);
                return shorter(b, a) ? b : a;
            }
            default: {
                double first = 0;
                for (const auto& [number, stream] : m_streams)
                    first += !stream.group;
                return first < m_scenario.fixedShare * static_cast<double>(m_streams.size() + 1) ? 0 : 1;
            }
            }
        }

        // The least loaded rank of the group: as the entry knows it, or exactly for the reference.
        uint32_t chooseRank(uint32_t entry, size_t group) const
        {
            uint32_t best = 0;
            double bestLoad = std::numeric_limits<double>::max();
            for (uint32_t rank = 0; rank < m_scenario.groups[group].ranks; ++rank) {
                const std::string name = rankName(group, rank);
                const double load = m_scenario.policy == SplitPolicy::FixedShare ? m_exact[group][rank] : m_entries[entry]->loads().estimate(name, m_now) + endpointPreference("entry-" + std::to_string(entry), name);
                if (load < bestLoad) {
                    best = rank;
                    bestLoad = load;
                }
            }
            return best;
        }

        void arrive()
        {
            if (seconds() >= m_scenario.seconds)
                return;
            schedule(1000 / m_scenario.perSecond, [this] { arrive(); });
            Stream stream;
            stream.entry = std::uniform_int_distribution<uint32_t>(0, m_scenario.entries - 1)(m_random);
            stream.sent = m_now;
            Dispatcher& entry = *m_entries[stream.entry];
            if (m_scenario.policy == SplitPolicy::Product) {
                DispatchRequest request;
                request.service = "model";
                request.route = m_route;
                request.received = m_now;
                entry.updatePaceProfile("model", *m_route, m_now);
                const auto endpoint = entry.reserve(request, m_now);
                if (!endpoint) {
                    ++m_result.notPlaced;
                    return;
                }
                stream.group = std::stoul(endpoint->substr(5, 3)) - 100;
                stream.rank = static_cast<uint32_t>(std::stoul(endpoint->substr(9)) - 1000);
            } else {
                stream.group = chooseGroup(stream.entry);
                stream.rank = chooseRank(stream.entry, stream.group);
                entry.loads().onSent(rankName(stream.group, stream.rank));
            }
            ++m_result.placed;
            m_result.placedAtForming += !stream.group && isForming() && seconds() > m_scenario.formingFrom + (m_scenario.reportDelayMs + m_scenario.statusIntervalMs) / 1000;
            ++m_exact[stream.group][stream.rank];
            const auto length = [&](double mean, double spread, double most) { return std::clamp(std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(m_random), 1.0, most); };
            const double promptTokens = length(m_scenario.callers.promptTokens, m_scenario.callers.promptSpread, m_scenario.callers.mostPromptTokens);
            const auto events = static_cast<uint32_t>(std::lround(length(m_scenario.callers.events, m_scenario.callers.eventsSpread, m_scenario.callers.mostEvents)));
            const uint64_t number = m_nextStream++;
            m_streams.emplace(number, stream);
            m_engines[stream.group]->group.add(number, stream.rank, promptTokens, events);
            startPass(stream.group);
        }

        void startPass(size_t group)
        {
            Engine& engine = *m_engines[group];
            if (engine.isPassRunning || engine.group.isIdle())
                return;
            engine.isPassRunning = true;
            // A group that is forming goes on with the streams that it has when it is formed.
            if (!group && isForming()) {
                schedule(1000 * (m_scenario.formingTo - seconds()), [this, group] {
                    m_engines[group]->isPassRunning = false;
                    startPass(group);
                });
                return;
            }
            schedule(engine.group.beginPass(seconds()), [this, group] {
                m_engines[group]->isPassRunning = false;
                m_engines[group]->group.endPass();
                startPass(group);
            });
        }

        void onEvent(uint64_t number)
        {
            Stream& stream = m_streams.at(number);
            Dispatcher& entry = *m_entries[stream.entry];
            const TimePoint before = stream.received ? stream.lastEvent : stream.sent;
            const double elapsedMs = std::chrono::duration<double, std::milli>(m_now - before).count();
            if (isMeasured())
                (stream.received ? m_gaps : m_firstEvents).push_back(elapsedMs);
            if (stream.received && m_scenario.policy == SplitPolicy::Product)
                entry.onEventGap("model", rankName(stream.group, stream.rank), m_now - stream.lastEvent, m_now);
            stream.lastEvent = m_now;
            ++stream.received;
        }

        void onFinished(uint64_t number)
        {
            const auto stream = m_streams.extract(number);
            const Stream& ended = stream.mapped();
            --m_exact[ended.group][ended.rank];
            m_entries[ended.entry]->onEnded("model", rankName(ended.group, ended.rank), m_now);
        }

        void sampleLoads()
        {
            constexpr double sampleIntervalMs = 20;
            if (isMeasured()) {
                std::vector<double> loads(m_scenario.groups.size(), 0);
                for (const auto& [number, stream] : m_streams)
                    ++loads[stream.group];
                m_loads.push_back(std::move(loads));
            }
            if (seconds() < m_scenario.seconds)
                schedule(sampleIntervalMs, [this] { sampleLoads(); });
        }

        void finishLoads()
        {
            constexpr size_t samplesPerSecond = 50;
            constexpr size_t samplesPerMean = 10;
            std::vector<double> sums(m_scenario.groups.size(), 0);
            std::vector<double> changes;
            double total = 0;
            for (size_t group = 0; group < sums.size(); ++group) {
                std::vector<double> means;
                double window = 0;
                for (size_t sample = 0; sample < m_loads.size(); ++sample) {
                    sums[group] += m_loads[sample][group];
                    window += m_loads[sample][group] - (sample >= samplesPerMean ? m_loads[sample - samplesPerMean][group] : 0);
                    means.push_back(window / samplesPerMean);
                    if (const size_t before = sample - samplesPerSecond; sample >= samplesPerSecond + samplesPerMean && means[before] > 0)
                        changes.push_back(std::abs(means[sample] / means[before] - 1));
                }
                total += sums[group];
            }
            for (const double sum : sums)
                m_result.shares.push_back(total > 0 ? sum / total : 0);
            m_result.changeP95 = quantile(changes, 0.95);
            m_result.largestChange = quantile(changes, 1);
        }

        const SplitScenario& m_scenario;
        std::mt19937_64 m_random;
        TimePoint m_now = start;
        std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> m_events;
        uint64_t m_nextEvent = 0;
        uint64_t m_nextStream = 0;
        DirectorySnapshot m_snapshot;
        const Route* m_route = nullptr;
        std::vector<std::unique_ptr<Engine>> m_engines;
        std::vector<std::unique_ptr<Dispatcher>> m_entries;
        std::map<uint64_t, Stream> m_streams;
        // Streams at each rank of each group.
        std::vector<std::vector<double>> m_exact;
        std::vector<double> m_announced;
        std::vector<double> m_gaps;
        std::vector<double> m_firstEvents;
        // Streams at each group, by time.
        std::vector<std::vector<double>> m_loads;
        SplitResult m_result;
    };

} // namespace detail

SplitResult simulateSplit(const SplitScenario& scenario, uint64_t seed)
{
    return detail::SplitSimulation(scenario, seed).run();
}

} // namespace orioletrail::model
