#include "retry/budget.h"
#include "retry/slack-share.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <random>

using namespace orioletrail;

namespace {

constexpr TimePoint begin { std::chrono::hours(1) };
constexpr Millis window { 10'000 };
constexpr double ratio = 0.2;

struct Load {
    size_t instances = 16;
    // Requests per second, to all instances.
    double rate = 465;
    double slack = 128;
    // The first instance gets this part of the requests, the others share the rest.
    double largestPart = 0.1;
    // Mean time between two events of a kind: processes are killed and start again, an instance is
    // replaced by a new one, instances lose or find their peers, callers move to other instances.
    Millis eventInterval { 1500 };
};

// Instances whose requests all fail and are sent again, up to three times each, as often as the
// budget allows.
class Fleet {
public:
    Fleet(const Load& load, uint32_t seed)
        : m_load(load)
        , m_random(seed)
    {
        for (size_t i = 0; i < load.instances; ++i)
            m_instances.push_back(start(std::to_string(i), begin));
        moveCallers();
        run();
    }

    double requests() const { return std::accumulate(m_requests.begin(), m_requests.end(), 0.0); }
    double retries() const { return std::accumulate(m_retries.begin(), m_retries.end(), 0.0); }

    // The number of retries in the worst window beyond those allowed.
    double worstExcess() const
    {
        double worst = -m_load.slack;
        for (size_t from = 0; from + windowSteps <= steps; ++from) {
            const double before = from >= windowSteps ? count(m_requests, from - windowSteps) : 0;
            const double half = from >= windowSteps / 2 ? count(m_requests, from - windowSteps / 2) : 0;
            const double allowed = ratio * std::max({ count(m_requests, from), half, before }) + m_load.slack;
            worst = std::max(worst, count(m_retries, from) - allowed);
        }
        return worst;
    }

private:
    static constexpr Millis step { 20 };
    static constexpr size_t steps = 3000;
    static constexpr size_t windowSteps = window / step;

    struct Instance {
        std::string name;
        RetryBudget budget;
        SlackShare share;
        bool hearsPeers = true;
        double weight = 0;
        // A killed process is down until then.
        size_t downUntil = 0;
    };

    static double count(const std::vector<double>& events, size_t from)
    {
        return std::accumulate(events.begin() + static_cast<ptrdiff_t>(from), events.begin() + static_cast<ptrdiff_t>(from + windowSteps), 0.0);
    }

    double draw() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    Instance start(const std::string& name, TimePoint now)
    {
        Instance instance { name, RetryBudget({ ratio, window }), SlackShare({ m_load.slack, window }, now) };
        const bool isNew = m_registered.insert(name).second;
        for (const std::string& known : m_registered)
            instance.share.onInstance(known);
        instance.share.onRegistered(isNew, now);
        return instance;
    }

    void moveCallers()
    {
        for (Instance& instance : m_instances)
            instance.weight = draw() * draw() * (1 - m_load.largestPart);
        const double sum = std::accumulate(m_instances.begin(), m_instances.end(), 0.0, [](double total, const Instance& instance) { return total + instance.weight; });
        for (Instance& instance : m_instances)
            instance.weight *= (1 - m_load.largestPart) / sum;
        m_instances[m_random() % m_instances.size()].weight += m_load.largestPart;
    }

    void kill(Instance& instance, size_t now, TimePoint time)
    {
        const double weight = instance.weight;
        instance = start(instance.name, time);
        instance.weight = weight;
        instance.downUntil = now + m_random() % 50;
    }

    void disturb(size_t now, TimePoint time)
    {
        const double probability = static_cast<double>(step.count()) / static_cast<double>(m_load.eventInterval.count());
        if (draw() < probability)
            kill(m_instances[m_random() % m_instances.size()], now, time);
        if (draw() < probability / 4)
            for (Instance& instance : m_instances)
                kill(instance, now, time);
        if (draw() < probability / 4)
            m_instances[m_random() % m_instances.size()] = start("new-" + std::to_string(now), time);
        if (draw() < probability)
            for (Instance& instance : m_instances)
                instance.hearsPeers = draw() < 0.5;
        if (draw() < probability / 2)
            moveCallers();
        if (draw() < probability / 2)
            m_surge = draw() < 0.3 ? 0 : 3 * draw();
        for (Instance& instance : m_instances)
            for (const Instance& other : m_instances)
                if (instance.hearsPeers && other.hearsPeers && now % 50 == 0)
                    instance.share.onInstance(other.name);
    }

    void run()
    {
        // A retry reaches its endpoint within the time of a connection attempt.
        constexpr size_t maxTransitSteps = Millis(400) / step;
        for (size_t now = 0; now < steps; ++now) {
            const TimePoint time = begin + step * static_cast<int>(now);
            disturb(now, time);
            for (Instance& instance : m_instances) {
                instance.budget.setExtra(instance.share.share(time));
                const double rate = m_load.rate * m_surge * instance.weight * static_cast<double>(step.count()) / 1000;
                const int arrivals = now < instance.downUntil ? 0 : std::poisson_distribution<>(rate)(m_random);
                for (int i = 0; i < arrivals; ++i) {
                    instance.budget.onRequest("service", time);
                    ++m_requests[now];
                    for (int attempt = 1; attempt < 4 && instance.budget.tryRetry("service", time); ++attempt)
                        ++m_retries[std::min(steps - 1, now + m_random() % maxTransitSteps)];
                }
            }
        }
    }

    Load m_load;
    std::mt19937 m_random;
    std::set<std::string> m_registered;
    std::vector<Instance> m_instances;
    double m_surge = 1;
    std::vector<double> m_requests = std::vector<double>(steps);
    std::vector<double> m_retries = std::vector<double>(steps);
};

} // namespace

TEST_CASE("retries of instances that start, stop and lose their peers stay within the shared budget")
{
    Load load;
    SUBCASE("some instances") { }
    SUBCASE("few large instances")
    {
        load.instances = 3;
        load.largestPart = 0.8;
    }
    SUBCASE("many small instances")
    {
        load.instances = 150;
        load.largestPart = 0;
    }
    SUBCASE("one large instance and many small ones")
    {
        load.instances = 100;
        load.largestPart = 0.7;
    }
    SUBCASE("a service with few requests") { load.rate = 28; }
    SUBCASE("little slack") { load.slack = 20; }
    SUBCASE("many restarts") { load.eventInterval = Millis(200); }
    for (uint32_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        const Fleet fleet(load, seed);
        CHECK(fleet.worstExcess() <= 0);
        CHECK(fleet.retries() > 0.05 * fleet.requests());
    }
}

TEST_CASE("retries are limited to a fraction of the requests")
{
    RetryBudget budget({ ratio, window });
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        const TimePoint now = begin + Millis(10) * i;
        budget.onRequest("a", now);
        retries += budget.tryRetry("a", now) ? 1 : 0;
        CHECK(retries <= ratio * (i + 1));
    }
    CHECK(retries >= 140);
}

TEST_CASE("one key cannot use up the retries of another")
{
    RetryBudget budget({ ratio, window });
    for (int i = 0; i < 200; ++i)
        for (const char* key : { "a", "b" })
            budget.onRequest(key, begin);
    while (budget.tryRetry("a", begin)) { }
    CHECK(budget.tryRetry("b", begin));
}

TEST_CASE("retries that were saved up expire with the requests that allowed them")
{
    RetryBudget budget({ ratio, window });
    for (int i = 0; i < 200; ++i)
        budget.onRequest("a", begin);
    CHECK(budget.balance("a", begin) == doctest::Approx(10));
    CHECK(budget.balance("a", begin + window) == 0);
}

TEST_CASE("a retry that was not sent is returned once")
{
    RetryBudget budget({ ratio, window });
    budget.setExtra(2);
    CHECK(budget.tryRetry("a", begin));
    budget.refund("a", begin);
    CHECK(budget.balance("a", begin) == 2);
    budget.refund("a", begin);
    CHECK(budget.balance("a", begin) == 2);
}

TEST_CASE("a balance gets the extra retries once")
{
    RetryBudget budget({ ratio, window });
    for (const double extra : { 4.0, 2.0, 4.0 }) {
        budget.setExtra(extra);
        while (budget.tryRetry("a", begin)) { }
    }
    CHECK_FALSE(budget.hasRoom("a", begin));
}

TEST_CASE("a process of an instance that was registered before waits a window for its share")
{
    SlackShare share({ 80, window }, begin);
    share.onInstance("a");
    CHECK(share.share(begin) == 0);
    share.onRegistered(false, begin + Millis(500));
    CHECK(share.share(begin + window - Millis(1)) == 0);
    CHECK(share.share(begin + window) == 10);
    SlackShare first({ 80, window }, begin);
    first.onRegistered(true, begin);
    CHECK(first.share(begin) == 10);
    for (int i = 0; i < 20; ++i)
        first.onInstance("b" + std::to_string(i));
    CHECK(first.share(begin) == 2);
}
