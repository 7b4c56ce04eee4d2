#include "outage/outages.h"

#include <doctest/doctest.h>
#include <random>

using namespace orioletrail;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

// A fleet of instances that send to the group "a" while they may, and tell each other of its outages by messages that
// are late and at times lost.
class Fleet {
public:
    Fleet(size_t instances, uint64_t seed, bool hearEachOther = true)
        : m_random(seed)
        , m_hearEachOther(hearEachOther)
    {
        for (size_t instance = 0; instance < instances; ++instance)
            m_instances.emplace_back("e-" + std::to_string(instance));
    }

    // Every instance has one request every 5 ms, which the group rejects from `failsAt` on until `servesAt`.
    void run(Millis failsAt, Millis servesAt, Millis end)
    {
        for (Millis at { 0 }; at < end; at += Millis(5)) {
            const TimePoint now = start + at;
            deliver(now);
            for (size_t instance = 0; instance < m_instances.size(); ++instance) {
                if (at.count() % 100 == static_cast<Millis::rep>(instance * 5 % 100))
                    broadcast(instance, now);
                sendIfAllowed(m_instances[instance], at >= failsAt && at < servesAt, now, at < failsAt || at >= servesAt + Millis(600));
            }
        }
    }

    void restart(size_t instance) { m_instances[instance] = Outages("e-" + std::to_string(instance)); }

    uint64_t rejected() const { return m_rejected; }
    // Requests that were kept from the group while it served, other than in the 600 ms after its outage.
    uint64_t withheld() const { return m_withheld; }

private:
    struct Message {
        TimePoint arrives;
        size_t to = 0;
        std::string from;
        OutageReports reports;
    };

    void broadcast(size_t from, TimePoint now)
    {
        if (!m_hearEachOther)
            return;
        const OutageReports reports = m_instances[from].report(now);
        for (size_t to = 0; to < m_instances.size(); ++to)
            if (to != from && m_random() % 10)
                m_messages.push_back({ now + Millis(m_random() % 100), to, "e-" + std::to_string(from), reports });
    }

    void deliver(TimePoint now)
    {
        std::erase_if(m_messages, [&](const Message& message) {
            if (message.arrives > now)
                return false;
            m_instances[message.to].onPeerReport(message.from, message.reports, now);
            return true;
        });
    }

    void sendIfAllowed(Outages& instance, bool isFailing, TimePoint now, bool isServing)
    {
        if (instance.isOut("a", now)) {
            m_withheld += isServing;
            return;
        }
        instance.onSent("a", now);
        if (isFailing) {
            ++m_rejected;
            instance.onFailed("a", now, now);
        } else {
            instance.onServed("a", now, now);
        }
    }

    std::mt19937_64 m_random;
    bool m_hearEachOther;
    std::vector<Outages> m_instances;
    std::vector<Message> m_messages;
    uint64_t m_rejected = 0;
    uint64_t m_withheld = 0;
};

} // namespace

TEST_CASE("a group that rejects everything attracts few requests, and is used again soon after it serves")
{
    for (const size_t instances : { 1, 4, 16, 53 }) {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(instances);
            CAPTURE(seed);
            Fleet fleet(instances, seed);
            fleet.run(Millis(1000), Millis(4000), Millis(8000));
            // One for each instance until it hears, and two probes every 250 ms for 3 s.
            CHECK(fleet.rejected() <= instances + 2 * 12 * std::min<size_t>(instances, 2));
            CHECK(fleet.withheld() == 0);
        }
    }
}

TEST_CASE("instances that do not hear each other each find out that a group serves again")
{
    Fleet fleet(16, 1, false);
    fleet.run(Millis(1000), Millis(4000), Millis(8000));
    CHECK(fleet.rejected() <= 16 * 13);
    CHECK(fleet.withheld() == 0);
}

TEST_CASE("an instance that starts during an outage learns it from the others")
{
    Fleet fleet(16, 3);
    fleet.run(Millis(0), Millis(60'000), Millis(1000));
    const uint64_t before = fleet.rejected();
    for (size_t instance = 8; instance < 16; ++instance)
        fleet.restart(instance);
    fleet.run(Millis(0), Millis(60'000), Millis(300));
    CHECK(fleet.rejected() - before <= 8 * 21 + 8);
}

TEST_CASE("an answer to a request from before the failure does not end an outage, nor does an old rejection begin one")
{
    Outages outages("e-1");
    CHECK(outages.onFailed("a", start, start + Millis(100)));
    CHECK_FALSE(outages.onServed("a", start + Millis(50), start + Millis(150)));
    CHECK(outages.isOut("a", start + Millis(200)));
    CHECK_FALSE(outages.isOut("b", start + Millis(200)));
    CHECK_FALSE(outages.isOut("a", start + Millis(350)));
    outages.onSent("a", start + Millis(350));
    CHECK(outages.isOut("a", start + Millis(351)));
    CHECK(outages.onServed("a", start + Millis(350), start + Millis(500)));
    CHECK_FALSE(outages.isOut("a", start + Millis(500)));
    CHECK_FALSE(outages.onFailed("a", start + Millis(499), start + Millis(600)));
    CHECK_FALSE(outages.isOut("a", start + Millis(600)));
    CHECK(outages.onFailed("a", start + Millis(601), start + Millis(650)));
    CHECK(outages.isOut("a", start + Millis(651)));
}

TEST_CASE("a request that one rank cannot hold does not close its group, but rejections by two ranks do")
{
    Outages outages("e-1");
    for (int request = 0; request < 10; ++request)
        CHECK_FALSE(outages.onRejected("a", "rank-1", start, start + Millis(request)));
    CHECK_FALSE(outages.isOut("a", start + Millis(10)));
    CHECK_FALSE(outages.onRejected("a", "rank-2", start, start + Millis(600)));
    outages.onServed("a", start, start + Millis(610));
    CHECK_FALSE(outages.onRejected("a", "rank-3", start, start + Millis(620)));
    CHECK(outages.onRejected("a", "rank-4", start, start + Millis(630)));
    CHECK(outages.isOut("a", start + Millis(631)));
}

TEST_CASE("an outage about which nothing is heard ends, and reports cannot fill the memory")
{
    Outages outages("e-1");
    outages.onFailed("a", start, start);
    CHECK(outages.count(start + Millis(4999)) == 1);
    CHECK(outages.count(start + Millis(5000)) == 0);
    CHECK_FALSE(outages.isOut("a", start + Millis(5000)));
    OutageReports reports;
    for (int group = 0; group < 5000; ++group)
        reports.emplace(std::to_string(group), OutageReport { Millis(10), std::nullopt });
    outages.onPeerReport("e-2", reports, start + Millis(6000));
    CHECK(outages.count(start + Millis(6000)) == 1024);
    CHECK(outages.report(start + Millis(12'000)).empty());
}
