// Discrete-event simulation of load-balancing policies over engines with prefix caches. Each entry sees
// only its own requests in flight and its own credits.
#include "bench/bench.h"
#include "routing/router.h"

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>

namespace orioletrail::bench {

namespace {

    namespace json = boost::json;

    constexpr size_t entryCount = 3;
    constexpr size_t engineCount = 12;
    // Requests that an entry may have in flight on one engine.
    constexpr uint32_t creditsPerEntry = 5;
    constexpr size_t prefixCount = 120;
    // Prefixes that the LRU cache of an engine holds.
    constexpr size_t cacheSize = 16;
    // Prefill time with and without the prefix in the cache, before the slowdown by concurrent requests.
    constexpr double prefillOnHitSeconds = 0.05;
    constexpr double prefillOnMissSeconds = 0.35;
    constexpr double decodeSeconds = 1.0;
    // Time after which a request that finds no engine is refused.
    constexpr double maxQueueSeconds = 0.25;
    constexpr int requestCount = 60'000;
    // Requests at the start that count neither for latency nor for cache hits.
    constexpr int warmUpRequests = 5'000;

    struct Engine {
        uint32_t running = 0;
        std::deque<size_t> cache;

        // Makes a prefix the most recently used in the cache. Returns true if it was cached.
        bool accessPrefix(size_t prefix)
        {
            const auto found = std::find(cache.begin(), cache.end(), prefix);
            const bool hit = found != cache.end();
            if (hit)
                cache.erase(found);
            else if (cache.size() == cacheSize)
                cache.pop_back();
            cache.push_front(prefix);
            return hit;
        }
    };

    // Returns the index of the engine to use, or nothing if the request has to wait.
    using EndpointPolicy = std::function<std::optional<size_t>(std::span<const Candidate>, size_t entry, size_t prefix)>;

    struct Event {
        double time = 0;
        std::function<void()> action;

        // Reversed, so that std::priority_queue yields the earliest event first.
        bool operator<(const Event& other) const { return time > other.time; }
    };

    class Simulation {
    public:
        Simulation(EndpointPolicy policy, double requestsPerSecond)
            : m_policy(std::move(policy))
            , m_requestsPerSecond(requestsPerSecond)
            , m_engines(engineCount)
            , m_inFlight(entryCount, std::vector<uint32_t>(engineCount))
        {
            for (size_t i = 0; i < engineCount; ++i)
                m_names.push_back("engine-" + std::to_string(i));
            std::vector<double> popularity;
            for (size_t i = 1; i <= prefixCount; ++i)
                popularity.push_back(1.0 / static_cast<double>(i));
            m_popularity = std::discrete_distribution<size_t>(popularity.begin(), popularity.end());
        }

        void run()
        {
            handleArrival();
            while (!m_events.empty()) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.time;
                event.action();
            }
        }

        void printResult(std::string_view policy)
        {
            std::sort(m_firstTokenSeconds.begin(), m_firstTokenSeconds.end());
            const auto count = static_cast<double>(m_firstTokenSeconds.size());
            std::cout << json::serialize(json::object { { "bench", "routing" }, { "policy", policy }, { "perSecond", m_requestsPerSecond }, { "firstTokenP50ms", m_firstTokenSeconds[m_firstTokenSeconds.size() / 2] * 1000 }, { "firstTokenP95ms", m_firstTokenSeconds[m_firstTokenSeconds.size() * 95 / 100] * 1000 }, { "hitRate", static_cast<double>(m_hits) / count }, { "refusedShare", static_cast<double>(m_refused) / requestCount } }) << '\n';
        }

    private:
        // Handles the arrival of a request and schedules the next arrival.
        void handleArrival()
        {
            if (m_arrivals++ == requestCount)
                return;
            const size_t entry = m_random() % entryCount;
            dispatch(entry, m_popularity(m_random), m_now);
            std::exponential_distribution<double> interarrivalTime(m_requestsPerSecond);
            m_events.push({ m_now + interarrivalTime(m_random), [this] { handleArrival(); } });
        }

        // Starts a request on the engine that the policy chooses. If it chooses none, schedules another try, or
        // refuses the request if it has waited too long.
        void dispatch(size_t entry, size_t prefix, double arrivedAt)
        {
            constexpr double retryIntervalSeconds = 0.01;
            std::vector<Candidate> candidates;
            for (size_t i = 0; i < engineCount; ++i)
                candidates.push_back({ m_names[i], "zone", m_inFlight[entry][i], creditsPerEntry - m_inFlight[entry][i], false, false });
            const std::optional<size_t> chosen = m_policy(candidates, entry, prefix);
            if (chosen) {
                startRequest(entry, *chosen, prefix, arrivedAt);
            } else if (m_now - arrivedAt < maxQueueSeconds) {
                m_events.push({ m_now + retryIntervalSeconds, [=, this] { dispatch(entry, prefix, arrivedAt); } });
            } else {
                ++m_refused;
            }
        }

        // Runs a request on an engine. Prefill slows down linearly with the number of requests on the engine,
        // including this one.
        void startRequest(size_t entry, size_t index, size_t prefix, double arrivedAt)
        {
            constexpr double slowdownPerRequest = 0.05;
            Engine& engine = m_engines[index];
            ++m_inFlight[entry][index];
            ++engine.running;
            const bool hit = engine.accessPrefix(prefix);
            const double prefill = (hit ? prefillOnHitSeconds : prefillOnMissSeconds) * (1 + slowdownPerRequest * engine.running);
            if (m_arrivals > warmUpRequests) {
                m_firstTokenSeconds.push_back(m_now - arrivedAt + prefill);
                m_hits += hit ? 1 : 0;
            }
            m_events.push({ m_now + prefill + decodeSeconds, [=, this] {
                               --m_inFlight[entry][index];
                               --m_engines[index].running;
                           } });
        }

        EndpointPolicy m_policy;
        double m_requestsPerSecond;
        std::mt19937_64 m_random { 1 };
        std::discrete_distribution<size_t> m_popularity;
        std::vector<Engine> m_engines;
        // By entry and engine.
        std::vector<std::vector<uint32_t>> m_inFlight;
        std::vector<std::string> m_names;
        std::priority_queue<Event> m_events;
        double m_now = 0;
        int m_arrivals = 0;
        // Times from arrival to the first token, in seconds.
        std::vector<double> m_firstTokenSeconds;
        uint64_t m_hits = 0;
        uint64_t m_refused = 0;
    };

    // Chooses the next engine in turn that has a credit.
    std::optional<size_t> roundRobin(std::span<const Candidate> candidates, size_t& cursor)
    {
        for (size_t i = 0; i < candidates.size(); ++i) {
            const size_t index = ++cursor % candidates.size();
            if (candidates[index].credits)
                return index;
        }
        return std::nullopt;
    }

    // Power of two choices: the less loaded of two random engines, if it has a credit.
    std::optional<size_t> twoChoices(std::span<const Candidate> candidates, std::mt19937_64& random)
    {
        const size_t first = random() % candidates.size();
        const size_t second = random() % candidates.size();
        const size_t lessLoaded = candidates[first].inFlight <= candidates[second].inFlight ? first : second;
        return candidates[lessLoaded].credits ? std::optional(lessLoaded) : std::nullopt;
    }

    void comparePolicies(double requestsPerSecond)
    {
        std::vector<size_t> cursors(entryCount);
        auto random = std::make_shared<std::mt19937_64>(2);
        const std::pair<std::string_view, EndpointPolicy> policies[] = {
            { "round robin", [&](std::span<const Candidate> candidates, size_t entry, size_t) { return roundRobin(candidates, cursors[entry]); } },
            { "least loaded", [](std::span<const Candidate> candidates, size_t, size_t) { return chooseEndpoint(candidates, { 0, "zone", false }); } },
            { "two choices", [random](std::span<const Candidate> candidates, size_t, size_t) { return twoChoices(candidates, *random); } },
            { "affinity within a load bound", [](std::span<const Candidate> candidates, size_t, size_t prefix) { return chooseEndpoint(candidates, { prefix * 2 + 1, "zone", false }); } },
        };
        for (const auto& [name, policy] : policies) {
            Simulation simulation(policy, requestsPerSecond);
            simulation.run();
            simulation.printResult(name);
        }
    }

} // namespace

int runRouting()
{
    for (const double requestsPerSecond : { 60.0, 100.0, 130.0 })
        comparePolicies(requestsPerSecond);
    return 0;
}

} // namespace orioletrail::bench
