// Simulates strategies for claiming idempotency keys, against a store with conditional writes whose calls
// take 3 ms. Time is simulated, so the results are reproducible for a given seed.
#include "bench/bench.h"
#include "ledger/shard.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <queue>
#include <random>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;

    constexpr int requestCount = 20'000;
    // Duration of a read or write of the store.
    constexpr Millis storeCallTime { 3 };
    // Time from a granted claim to the end of the request.
    constexpr Millis requestTime { 5 };

    struct Event {
        TimePoint time;
        uint64_t sequence = 0;
        std::function<void()> action;

        // Reversed, so that std::priority_queue yields the earliest event first.
        bool operator<(const Event& other) const { return time > other.time; }
    };

    // Runs all ledger shards of one service on a simulated clock.
    class Simulation {
    public:
        Simulation(double requestsPerSecond, Millis writeInterval, uint64_t seed)
            : m_requestsPerSecond(requestsPerSecond)
            , m_random(seed)
        {
            LedgerSettings settings;
            settings.writeInterval = writeInterval;
            settings.maxEntries = requestCount;
            // A short retention keeps the cost of a write from growing over the run.
            settings.retention = std::chrono::seconds(2);
            for (uint32_t shard = 0; shard < ledgerShards; ++shard)
                m_shards.emplace_back(shard + 1, settings);
            m_values.resize(ledgerShards);
            m_revisions.resize(ledgerShards);
        }

        void run()
        {
            std::exponential_distribution<double> interarrivalTime(m_requestsPerSecond);
            double time = 0;
            for (uint64_t ticket = 1; ticket <= requestCount; ++ticket) {
                time += interarrivalTime(m_random);
                schedule(std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(time)), [this, ticket] { claim(ticket); });
            }
            scheduleTicks();
            while (m_resolvedClaims < requestCount) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.time;
                event.action();
            }
        }

        void printResult(std::string_view strategy)
        {
            std::sort(m_claimMicros.begin(), m_claimMicros.end());
            const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
            std::cout << json::serialize(json::object { { "bench", "ledger" }, { "way", strategy }, { "ordersPerSecond", m_requestsPerSecond }, { "callsPerThousand", 1000.0 * static_cast<double>(m_storeCalls) / requestCount }, { "callsPerSecond", static_cast<double>(m_storeCalls) / seconds }, { "addedP50ms", m_claimMicros[requestCount / 2] / 1000 }, { "addedP99ms", m_claimMicros[requestCount * 99 / 100] / 1000 } }) << '\n';
        }

    private:
        void schedule(Clock::duration time, std::function<void()> action)
        {
            m_events.push({ TimePoint(time), ++m_sequence, std::move(action) });
        }

        void scheduleAfter(Millis delay, std::function<void()> action)
        {
            schedule(m_now.time_since_epoch() + delay, std::move(action));
        }

        void scheduleTicks()
        {
            constexpr Millis tickInterval { 10 };
            scheduleAfter(tickInterval, [this] {
                for (uint32_t shard = 0; shard < ledgerShards; ++shard)
                    execute(shard, m_shards[shard].onTick(m_now));
                scheduleTicks();
            });
        }

        int64_t unixSeconds() const { return std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count(); }

        // Claims the key of a new request.
        void claim(uint64_t ticket)
        {
            const std::string key = ledgerKey("a", std::to_string(ticket));
            m_claimTimes[ticket] = m_now;
            const uint32_t shard = ledgerShard(key);
            execute(shard, m_shards[shard].claim(ticket, key, "b", m_now, unixSeconds()));
        }

        // Carries out the actions of a shard: calls the simulated store, and ends requests whose claims are
        // resolved.
        void execute(uint32_t shard, const LedgerActions& actions)
        {
            if (actions.read) {
                ++m_storeCalls;
                scheduleAfter(storeCallTime, [this, shard] { execute(shard, m_shards[shard].onRead(m_values[shard], m_revisions[shard], m_now)); });
            }
            if (actions.write) {
                ++m_storeCalls;
                m_values[shard] = actions.write->value;
                const uint64_t revision = ++m_revisions[shard];
                scheduleAfter(storeCallTime, [this, shard, revision] { execute(shard, m_shards[shard].onWritten(revision, m_now)); });
            }
            for (const ClaimResult& result : actions.results) {
                m_claimMicros.push_back(std::chrono::duration<double, std::micro>(m_now - m_claimTimes[result.ticket]).count());
                ++m_resolvedClaims;
                const std::string key = ledgerKey("a", std::to_string(result.ticket));
                scheduleAfter(requestTime, [this, shard, key, ticket = result.ticket] { execute(shard, m_shards[shard].finish(ticket, key, { 200, "", "ok", false }, m_now)); });
            }
        }

        double m_requestsPerSecond;
        std::mt19937_64 m_random;
        std::vector<LedgerShard> m_shards;
        // Content and revision of the object of each shard in the store.
        std::vector<std::string> m_values;
        std::vector<uint64_t> m_revisions;
        std::priority_queue<Event> m_events;
        uint64_t m_sequence = 0;
        TimePoint m_now;
        // Time of each claim, by ticket.
        std::map<uint64_t, TimePoint> m_claimTimes;
        // Times from claim to result.
        std::vector<double> m_claimMicros;
        uint64_t m_storeCalls = 0;
        int m_resolvedClaims = 0;
    };

    // Prints the computed cost of the simplest strategy: one conditional create before each request, which
    // adds to its latency, and one update after it.
    void printPerRequest(double requestsPerSecond)
    {
        constexpr double callsPerRequest = 2;
        const double added = std::chrono::duration<double, std::milli>(storeCallTime).count();
        std::cout << json::serialize(json::object { { "bench", "ledger" }, { "way", "per-request" }, { "ordersPerSecond", requestsPerSecond }, { "callsPerThousand", 1000 * callsPerRequest }, { "callsPerSecond", requestsPerSecond * callsPerRequest }, { "addedP50ms", added }, { "addedP99ms", added } }) << '\n';
    }

} // namespace

int runLedger()
{
    for (const double requestsPerSecond : { 20.0, 200.0, 1000.0 }) {
        printPerRequest(requestsPerSecond);
        for (const int interval : { 0, 40, 100 }) {
            Simulation simulation(requestsPerSecond, Millis(interval), 1);
            simulation.run();
            simulation.printResult("batched every " + std::to_string(interval) + " ms");
        }
    }
    return 0;
}

} // namespace orioletrail::bench
