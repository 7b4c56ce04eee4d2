// Policies for choosing an endpoint, on a small model of engines with prefix caches. Each entry
// knows only its own requests and credits. Time is simulated.
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
    constexpr uint32_t creditsPerEntry = 5;
    constexpr size_t prefixes = 120;
    // Prefixes that an engine's cache holds.
    constexpr size_t cacheSize = 16;
    constexpr double hitSeconds = 0.05;
    constexpr double missSeconds = 0.35;
    constexpr double decodeSeconds = 1.0;
    constexpr double queueSeconds = 0.25;
    constexpr int requests = 60'000;
    constexpr int warmUp = 5'000;

    struct Engine {
        uint32_t running = 0;
        std::deque<size_t> cache;

        // True on a hit; the prefix becomes the latest either way.
        bool use(size_t prefix)
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

    using Choice = std::function<std::optional<size_t>(std::span<const Candidate>, size_t entry, size_t prefix)>;

    struct Event {
        double at = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const { return at > other.at; }
    };

    class Model {
    public:
        Model(Choice choose, double perSecond)
            : m_choose(std::move(choose))
            , m_perSecond(perSecond)
            , m_engines(engineCount)
            , m_inFlight(entryCount, std::vector<uint32_t>(engineCount))
        {
            for (size_t i = 0; i < engineCount; ++i)
                m_names.push_back("engine-" + std::to_string(i));
            std::vector<double> weights;
            for (size_t i = 1; i <= prefixes; ++i)
                weights.push_back(1.0 / static_cast<double>(i));
            m_popularity = std::discrete_distribution<size_t>(weights.begin(), weights.end());
        }

        void run()
        {
            arrive();
            while (!m_events.empty()) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.action();
            }
        }

        void print(std::string_view policy)
        {
            std::sort(m_firstToken.begin(), m_firstToken.end());
            const auto count = static_cast<double>(m_firstToken.size());
            std::cout << json::serialize(json::object { { "bench", "routing" }, { "policy", policy }, { "perSecond", m_perSecond }, { "firstTokenP50ms", m_firstToken[m_firstToken.size() / 2] * 1000 }, { "firstTokenP95ms", m_firstToken[m_firstToken.size() * 95 / 100] * 1000 }, { "hitRate", static_cast<double>(m_hits) / count }, { "refusedShare", static_cast<double>(m_refused) / requests } }) << '\n';
        }

    private:
        void arrive()
        {
            if (m_arrived++ == requests)
                return;
            const size_t entry = m_random() % entryCount;
            attempt(entry, m_popularity(m_random), m_now);
            std::exponential_distribution<double> gap(m_perSecond);
            m_events.push({ m_now + gap(m_random), [this] { arrive(); } });
        }

        void attempt(size_t entry, size_t prefix, double arrived)
        {
            constexpr double retrySeconds = 0.01;
            std::vector<Candidate> candidates;
            for (size_t i = 0; i < engineCount; ++i)
                candidates.push_back({ m_names[i], "zone", m_inFlight[entry][i], creditsPerEntry - m_inFlight[entry][i], false, false });
            const std::optional<size_t> chosen = m_choose(candidates, entry, prefix);
            if (chosen) {
                serve(entry, *chosen, prefix, arrived);
            } else if (m_now - arrived < queueSeconds) {
                m_events.push({ m_now + retrySeconds, [=, this] { attempt(entry, prefix, arrived); } });
            } else {
                ++m_refused;
            }
        }

        // An engine shares its speed: prefill slows with what runs beside it.
        void serve(size_t entry, size_t index, size_t prefix, double arrived)
        {
            constexpr double slowdown = 0.05;
            Engine& engine = m_engines[index];
            ++m_inFlight[entry][index];
            ++engine.running;
            const bool hit = engine.use(prefix);
            const double prefill = (hit ? hitSeconds : missSeconds) * (1 + slowdown * engine.running);
            if (m_arrived > warmUp) {
                m_firstToken.push_back(m_now - arrived + prefill);
                m_hits += hit ? 1 : 0;
            }
            m_events.push({ m_now + prefill + decodeSeconds, [=, this] {
                               --m_inFlight[entry][index];
                               --m_engines[index].running;
                           } });
        }

        Choice m_choose;
        double m_perSecond;
        std::mt19937_64 m_random { 1 };
        std::discrete_distribution<size_t> m_popularity;
        std::vector<Engine> m_engines;
        std::vector<std::vector<uint32_t>> m_inFlight;
        std::vector<std::string> m_names;
        std::priority_queue<Event> m_events;
        double m_now = 0;
        int m_arrived = 0;
        std::vector<double> m_firstToken;
        uint64_t m_hits = 0;
        uint64_t m_refused = 0;
    };

    std::optional<size_t> roundRobin(std::span<const Candidate> candidates, size_t& turn)
    {
        for (size_t i = 0; i < candidates.size(); ++i) {
            const size_t index = ++turn % candidates.size();
            if (candidates[index].credits)
                return index;
        }
        return std::nullopt;
    }

    std::optional<size_t> twoChoices(std::span<const Candidate> candidates, std::mt19937_64& random)
    {
        const size_t a = random() % candidates.size();
        const size_t b = random() % candidates.size();
        const size_t better = candidates[a].inFlight <= candidates[b].inFlight ? a : b;
        return candidates[better].credits ? std::optional(better) : std::nullopt;
    }

    void compare(double perSecond)
    {
        std::vector<size_t> turns(entryCount);
        auto random = std::make_shared<std::mt19937_64>(2);
        const std::pair<std::string_view, Choice> policies[] = {
            { "round robin", [&](std::span<const Candidate> candidates, size_t entry, size_t) { return roundRobin(candidates, turns[entry]); } },
            { "least loaded", [](std::span<const Candidate> candidates, size_t, size_t) { return chooseEndpoint(candidates, { 0, "zone", false }); } },
            { "two choices", [random](std::span<const Candidate> candidates, size_t, size_t) { return twoChoices(candidates, *random); } },
            { "affinity within a load bound", [](std::span<const Candidate> candidates, size_t, size_t prefix) { return chooseEndpoint(candidates, { prefix * 2 + 1, "zone", false }); } },
        };
        for (const auto& [name, choice] : policies) {
            Model model(choice, perSecond);
            model.run();
            model.print(name);
        }
    }

} // namespace

int runRouting()
{
    for (const double perSecond : { 60.0, 100.0, 130.0 })
        compare(perSecond);
    return 0;
}

} // namespace orioletrail::bench
