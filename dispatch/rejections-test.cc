// Sixteen entries in front of endpoints that reject requests beyond their slots, while entries restart, stop or
// do not hear each other.
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

constexpr size_t entryCount = 16;
constexpr size_t endpointCount = 64;
constexpr uint32_t slots = 10;
constexpr TimePoint start { std::chrono::hours(1) };

// The engines of deployment A with the rate of its heaviest day, 224 streams per second.
struct Setup {
    double arrivalsPerSecond = 224;
    double meanServiceMs = 2800;
    int seconds = 30;
    int incidentEveryMs = 5000;
    // Entries tell each other which endpoints are full.
    bool tellsOthers = true;
    // Entries use what endpoints say at all.
    bool usesRejections = true;
    // Entries send small messages at once.
    bool tellsAtOnce = true;
};

struct Figures {
    size_t arrivals = 0;
    size_t rejections = 0;
    size_t refused = 0;
    // Longest time that a slot was free while requests waited or were refused.
    int longestIdleMs = 0;
    size_t largestStatus = 0;
    // Small messages that were sent at once, each to all others.
    size_t messages = 0;
};

struct Message {
    size_t to = 0;
    size_t from = 0;
    InFlightCounts counts;
    FullReports full;
};

struct Entry {
    std::unique_ptr<Dispatcher> dispatcher;
    TimePoint downUntil;
    TimePoint readyAt;
    TimePoint deafUntil;
    uint64_t life = 0;
    bool isUp = true;
};

struct Job {
    DispatchRequest request;
    size_t entry = 0;
    uint64_t life = 0;
    std::optional<WaitQueue::Ticket> ticket;
};

class Trial {
public:
    Trial(const Setup& setup, uint64_t seed)
        : m_setup(setup)
        , m_random(seed)
        , m_entries(entryCount)
        , m_running(endpointCount)
        , m_idleSince(endpointCount)
    {
        Route route;
        route.name = "stream";
        route.host = "app.example";
        route.pathPrefix = "/";
        route.streaming = true;
        route.objective = Millis(500);
        route.timeout = Millis(8000);
        route.targets = { { "model", 1 } };
        ServiceProfile model;
        model.name = "model";
        model.engine = EngineProfile {};
        CatalogBuilder builder;
        builder.version(1).route(route).service(model);
        m_snapshot.catalog = std::make_shared<const Catalog>(std::move(builder).build());
        for (size_t number = 0; number < endpointCount; ++number) {
            EndpointRecord record;
            record.id = nameOf(number);
            record.service = "model";
            record.zone = "z" + std::to_string(number % 3);
            record.slots = slots;
            m_numbers.emplace(record.id, number);
            m_snapshot.endpoints.emplace(record.id, record);
        }
        for (size_t entry = 0; entry < entryCount; ++entry)
            startEntry(entry);
    }

    Figures run()
    {
        const TimePoint end = start + std::chrono::seconds(m_setup.seconds);
        schedule(start, [this] { arrive(); });
        schedule(start + Millis(m_setup.incidentEveryMs), [this] { cause(); });
        for (size_t entry = 0; entry < entryCount; ++entry)
            schedule(start + Millis(6 * static_cast<int>(entry)), [this, entry] { tellPeers(entry); });
        for (; m_now < end; m_now += Millis(1)) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (size_t entry = 0; entry < entryCount; ++entry)
                tellNews(entry);
            measureIdle();
        }
        return m_figures;
    }

private:
    static std::string nameOf(size_t number) { return "e" + std::to_string(number); }
    int draw(int below) { return static_cast<int>(m_random() % static_cast<uint64_t>(below)); }
    void schedule(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }
    Millis networkDelay() { return Millis(1 + draw(4)); }

    void startEntry(size_t number)
    {
        Entry& entry = m_entries[number];
        DispatchRules rules;
        rules.limitPace = false;
        entry.dispatcher = std::make_unique<Dispatcher>("z" + std::to_string(number % 3), rules, "entry" + std::to_string(number));
        entry.dispatcher->setSnapshot(m_snapshot);
        ++entry.life;
        entry.isUp = true;
        // An entry answers once it has heard others, as direct/catch-up.h does.
        entry.readyAt = m_now > start ? m_now + Millis(100) : m_now;
    }

    bool isAlive(const Job& job) const { return m_entries[job.entry].isUp && m_entries[job.entry].life == job.life; }

    void arrive()
    {
        const double gapMs = std::exponential_distribution<double>(m_setup.arrivalsPerSecond / 1000)(m_random);
        schedule(m_now + std::chrono::microseconds(static_cast<int64_t>(gapMs * 1000)), [this] { arrive(); });
        auto job = std::make_shared<Job>();
        do
            job->entry = static_cast<size_t>(draw(entryCount));
        while (!m_entries[job->entry].isUp || m_now < m_entries[job->entry].readyAt);
        job->life = m_entries[job->entry].life;
        job->request.route = m_snapshot.catalog->findRoute("app.example", "/");
        job->request.service = "model";
        job->request.received = m_now;
        place(job);
    }

    void place(const std::shared_ptr<Job>& job)
    {
        Dispatcher& dispatcher = *m_entries[job->entry].dispatcher;
        const DispatchDecision decision = dispatcher.dispatch(job->request, m_now);
        if (decision.kind == DispatchKind::Placed) {
            send(job, decision.endpoint);
        } else if (decision.kind == DispatchKind::Refused) {
            refuse();
        } else {
            job->ticket = dispatcher.enqueue(job->request, m_now, [this, job] {
                const auto endpoint = m_entries[job->entry].dispatcher->reserve(job->request, m_now);
                job->ticket.reset();
                if (endpoint)
                    send(job, *endpoint);
                else
                    refuse();
            });
            schedule(m_now + decision.longestWait, [this, job] {
                if (!job->ticket || !isAlive(*job))
                    return;
                m_entries[job->entry].dispatcher->removeFromQueue("model", *job->ticket);
                job->ticket.reset();
                refuse();
            });
        }
    }

    void refuse()
    {
        ++m_figures.refused;
        m_lastPressure = m_now;
    }

    void send(const std::shared_ptr<Job>& job, const std::string& endpoint)
    {
        schedule(m_now + networkDelay(), [this, job, endpoint] { atEndpoint(job, endpoint); });
    }

    void atEndpoint(const std::shared_ptr<Job>& job, const std::string& endpoint)
    {
        if (!isAlive(*job))
            return;
        ++m_figures.arrivals;
        std::vector<std::shared_ptr<Job>>& running = m_running[m_numbers.at(endpoint)];
        const bool isFull = running.size() >= slots;
        if (!isFull)
            running.push_back(job);
        else
            ++m_figures.rejections;
        const auto load = static_cast<uint32_t>(running.size());
        const Millis headDelay = networkDelay() + (isFull ? Millis(0) : Millis(60));
        schedule(m_now + headDelay, [this, job, endpoint, load, isFull] {
            if (!isAlive(*job))
                return;
            Dispatcher& dispatcher = *m_entries[job->entry].dispatcher;
            if (m_setup.usesRejections)
                dispatcher.onReported(endpoint, load, m_now);
            else
                dispatcher.loads().onReported(endpoint, load, m_now);
            if (!isFull)
                return;
            dispatcher.onEnded("model", endpoint, m_now);
            if (m_setup.usesRejections)
                dispatcher.onRejected(endpoint, load, m_now);
            job->request.tried.push_back(endpoint);
            constexpr uint32_t maxAttempts = 4;
            if (++job->request.attempts < maxAttempts)
                place(job);
            else
                refuse();
            dispatcher.wakeWaiting("model", m_now);
        });
        if (isFull)
            return;
        const double meanMs = m_setup.meanServiceMs;
        const auto serviceTime = Millis(100 + static_cast<int64_t>(std::exponential_distribution<double>(1 / (meanMs - 100))(m_random)));
        schedule(m_now + serviceTime, [this, job, endpoint] {
            std::erase(m_running[m_numbers.at(endpoint)], job);
            schedule(m_now + networkDelay(), [this, job, endpoint] {
                if (!isAlive(*job))
                    return;
                Dispatcher& dispatcher = *m_entries[job->entry].dispatcher;
                dispatcher.onEnded("model", endpoint, m_now);
                dispatcher.onAnswered("model", m_now - job->request.received, 1);
                dispatcher.wakeWaiting("model", m_now);
            });
        });
    }

    void tellPeers(size_t from)
    {
        schedule(m_now + Millis(100), [this, from] { tellPeers(from); });
        Entry& entry = m_entries[from];
        if (!entry.isUp)
            return;
        // The tick of an entry, which wakes requests after the end of what endpoints said.
        entry.dispatcher->wakeWaiting(m_now);
        schedule(m_now + Millis(50), [this, from] { if (m_entries[from].isUp) m_entries[from].dispatcher->wakeWaiting(m_now); });
        if (m_now < entry.deafUntil)
            return;
        const FullReports full = m_setup.tellsOthers ? entry.dispatcher->fullReports(m_now) : FullReports {};
        m_figures.largestStatus = std::max(m_figures.largestStatus, full.size());
        for (size_t to = 0; to < entryCount; ++to) {
            if (to == from)
                continue;
            schedule(m_now + networkDelay(), [this, message = Message { to, from, entry.dispatcher->loads().ownCounts(), full }] {
                const Entry& receiver = m_entries[message.to];
                if (!receiver.isUp || m_now < receiver.deafUntil)
                    return;
                receiver.dispatcher->loads().onPeerCounts("entry" + std::to_string(message.from), message.counts, m_now);
                receiver.dispatcher->onPeerFull(message.full, m_now);
                receiver.dispatcher->wakeWaiting(m_now);
            });
        }
    }

    void tellNews(size_t from)
    {
        Entry& entry = m_entries[from];
        const FullReports news = entry.isUp ? entry.dispatcher->takeFullNews(m_now) : FullReports {};
        if (news.empty() || !m_setup.tellsAtOnce || m_now < entry.deafUntil)
            return;
        ++m_figures.messages;
        for (size_t to = 0; to < entryCount; ++to)
            if (to != from)
                schedule(m_now + networkDelay(), [this, to, news] {
                    const Entry& receiver = m_entries[to];
                    if (receiver.isUp && m_now >= receiver.deafUntil)
                        receiver.dispatcher->onPeerFull(news, m_now);
                });
    }

    // An entry restarts, one stops for two seconds, or three entries do not hear others for a second.
    void cause()
    {
        schedule(m_now + Millis(m_setup.incidentEveryMs), [this] { cause(); });
        const int kind = m_incidents++ % 3;
        if (kind == 2) {
            for (int i = 0; i < 3; ++i)
                m_entries[static_cast<size_t>(draw(entryCount))].deafUntil = m_now + Millis(1000);
            return;
        }
        const auto number = static_cast<size_t>(draw(entryCount));
        m_entries[number].isUp = false;
        // The endpoints end the requests of its connections.
        for (auto& running : m_running)
            std::erase_if(running, [&](const auto& job) { return job->entry == number; });
        schedule(m_now + Millis(kind == 0 ? 300 : 2000), [this, number] { startEntry(number); });
    }

    void measureIdle()
    {
        for (const Entry& entry : m_entries)
            if (entry.isUp && entry.dispatcher->queueLength("model"))
                m_lastPressure = m_now;
        const bool isPressed = m_now - m_lastPressure < Millis(20);
        for (size_t endpoint = 0; endpoint < endpointCount; ++endpoint) {
            if (!isPressed || m_running[endpoint].size() >= slots)
                m_idleSince[endpoint] = m_now;
            m_figures.longestIdleMs = std::max(m_figures.longestIdleMs, static_cast<int>(std::chrono::duration_cast<Millis>(m_now - m_idleSince[endpoint]).count()));
        }
    }

    Setup m_setup;
    std::mt19937_64 m_random;
    DirectorySnapshot m_snapshot;
    std::map<std::string, size_t, std::less<>> m_numbers;
    std::vector<Entry> m_entries;
    std::vector<std::vector<std::shared_ptr<Job>>> m_running;
    std::vector<TimePoint> m_idleSince;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now = start;
    TimePoint m_lastPressure = start - std::chrono::hours(1);
    int m_incidents = 0;
    Figures m_figures;
};

} // namespace

TEST_CASE("of the requests that reach endpoints few are rejected while entries restart, stop or do not hear each other, and no place stays free")
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        const Figures figures = Trial({}, seed).run();
        CHECK(figures.arrivals > 5000);
        CHECK(static_cast<double>(figures.rejections) < 0.02 * static_cast<double>(figures.arrivals));
        CHECK(figures.longestIdleMs <= 300);
        MESSAGE("arrivals ", figures.arrivals, " rejections ", figures.rejections, " refused ", figures.refused, " longest idle ms ", figures.longestIdleMs, " small messages ", figures.messages);
    }
}

TEST_CASE("no place stays free for long while there are more requests than endpoints can serve")
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        Setup setup;
        setup.arrivalsPerSecond = 250;
        const Figures figures = Trial(setup, seed).run();
        CHECK(figures.refused > 0);
        CHECK(figures.longestIdleMs <= 300);
    }
}

TEST_CASE("few requests are rejected while there are more than endpoints can serve")
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        Setup setup;
        setup.arrivalsPerSecond = 250;
        const Figures figures = Trial(setup, seed).run();
        CHECK(static_cast<double>(figures.rejections) < 0.02 * static_cast<double>(figures.arrivals));
    }
}

TEST_CASE("entries that are not told of full endpoints are rejected more often")
{
    Setup setup;
    setup.usesRejections = false;
    setup.tellsOthers = false;
    setup.tellsAtOnce = false;
    const Figures without = Trial(setup, 1).run();
    const Figures with = Trial({}, 1).run();
    CHECK(with.rejections * 3 < without.rejections);
    MESSAGE("without: arrivals ", without.arrivals, " rejections ", without.rejections, ", with: arrivals ", with.arrivals, " rejections ", with.rejections);
}
