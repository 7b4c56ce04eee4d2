// Ways to claim idempotency keys, against an object with conditional writes that answers
// after 3 ms. Time is simulated, so the figures are exact for the arrivals of the seed.
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

    constexpr int orders = 20'000;
    constexpr Millis callTime { 3 };
    constexpr Millis runTime { 5 };

    struct Event {
        TimePoint at;
        uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const { return at > other.at; }
    };

    // Runs the shards of one service on a simulated clock.
    class Simulation {
    public:
        Simulation(double perSecond, Millis writeInterval, uint64_t seed)
            : m_perSecond(perSecond)
            , m_random(seed)
        {
            LedgerSettings settings;
            settings.writeInterval = writeInterval;
            settings.maxEntries = orders;
            // Only recent keys are kept, so that the cost of a write does not grow with the trial.
            settings.retention = std::chrono::seconds(2);
            for (uint32_t shard = 0; shard < ledgerShards; ++shard)
                m_shards.emplace_back(shard + 1, settings);
            m_values.resize(ledgerShards);
            m_revisions.resize(ledgerShards);
        }

        void run()
        {
            std::exponential_distribution<double> gap(m_perSecond);
            double at = 0;
            for (uint64_t ticket = 1; ticket <= orders; ++ticket) {
                at += gap(m_random);
                schedule(std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(at)), [this, ticket] { claim(ticket); });
            }
            scheduleTick();
            while (m_done < orders) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.action();
            }
        }

        void print(std::string_view way)
        {
            std::sort(m_micros.begin(), m_micros.end());
            const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
            std::cout << json::serialize(json::object { { "bench", "ledger" }, { "way", way }, { "ordersPerSecond", m_perSecond }, { "callsPerThousand", 1000.0 * static_cast<double>(m_calls) / orders }, { "callsPerSecond", static_cast<double>(m_calls) / seconds }, { "addedP50ms", m_micros[orders / 2] / 1000 }, { "addedP99ms", m_micros[orders * 99 / 100] / 1000 } }) << '\n';
        }

    private:
        void schedule(Clock::duration at, std::function<void()> action)
        {
            m_events.push({ TimePoint(at), ++m_order, std::move(action) });
        }

        void after(Millis delay, std::function<void()> action)
        {
            schedule(m_now.time_since_epoch() + delay, std::move(action));
        }

        void scheduleTick()
        {
            constexpr Millis tick { 10 };
            after(tick, [this] {
                for (uint32_t shard = 0; shard < ledgerShards; ++shard)
                    apply(shard, m_shards[shard].onTick(m_now));
                scheduleTick();
            });
        }

        int64_t seconds() const { return std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count(); }

        void claim(uint64_t ticket)
        {
            const std::string key = ledgerKey("a", std::to_string(ticket));
            m_claimed[ticket] = m_now;
            const uint32_t shard = ledgerShard(key);
            apply(shard, m_shards[shard].claim(ticket, key, "b", m_now, seconds()));
        }

        void apply(uint32_t shard, const LedgerActions& actions)
        {
            if (actions.read) {
                ++m_calls;
                after(callTime, [this, shard] { apply(shard, m_shards[shard].onRead(m_values[shard], m_revisions[shard], m_now)); });
            }
            if (actions.write) {
                ++m_calls;
                m_values[shard] = actions.write->value;
                const uint64_t revision = ++m_revisions[shard];
                after(callTime, [this, shard, revision] { apply(shard, m_shards[shard].onWritten(revision, m_now)); });
            }
            for (const ClaimResult& result : actions.results) {
                m_micros.push_back(std::chrono::duration<double, std::micro>(m_now - m_claimed[result.ticket]).count());
                ++m_done;
                const std::string key = ledgerKey("a", std::to_string(result.ticket));
                after(runTime, [this, shard, key, ticket = result.ticket] { apply(shard, m_shards[shard].finish(ticket, key, { 200, "", "ok", false }, m_now)); });
            }
        }

        double m_perSecond;
        std::mt19937_64 m_random;
        std::vector<LedgerShard> m_shards;
        std::vector<std::string> m_values;
        std::vector<uint64_t> m_revisions;
        std::priority_queue<Event> m_events;
        uint64_t m_order = 0;
        TimePoint m_now;
        std::map<uint64_t, TimePoint> m_claimed;
        std::vector<double> m_micros;
        uint64_t m_calls = 0;
        int m_done = 0;
    };

    // One conditional create before each run and one update after it.
    void printPerRequest(double perSecond)
    {
        constexpr double callsEach = 2;
        const double added = std::chrono::duration<double, std::milli>(callTime).count();
        std::cout << json::serialize(json::object { { "bench", "ledger" }, { "way", "per-request" }, { "ordersPerSecond", perSecond }, { "callsPerThousand", 1000 * callsEach }, { "callsPerSecond", perSecond * callsEach }, { "addedP50ms", added }, { "addedP99ms", added } }) << '\n';
    }

} // namespace

int runLedger()
{
    for (const double perSecond : { 20.0, 200.0, 1000.0 }) {
        printPerRequest(perSecond);
        for (const int interval : { 0, 40, 100 }) {
            Simulation simulation(perSecond, Millis(interval), 1);
            simulation.run();
            simulation.print("batched every " + std::to_string(interval) + " ms");
        }
    }
    return 0;
}

} // namespace orioletrail::bench
