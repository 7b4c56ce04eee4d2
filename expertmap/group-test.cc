#include "expertmap/group.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <utility>

using namespace orioletrail;

namespace {

constexpr uint32_t rankCount = 3;

struct Addressed {
    // Index of the leader, or rankCount of them and more for none.
    size_t leader = 0;
    bool toRank = true;
    GroupMessage message;
};

// Drives ranks and leaders through random deliveries, losses, copies, crashes and freezes, and
// checks what ran.
class Explorer {
public:
    Explorer(uint64_t seed, const GroupRules& rules)
        : m_random(seed)
        , m_rules(rules)
    {
        for (uint32_t rank = 0; rank < rankCount; ++rank)
            m_ranks.push_back(std::make_unique<GroupRank>(rank, ++m_starts, 1, rules));
        addLeader();
        // All ranks begin with version 1 loaded.
        for (auto& rank : m_ranks)
            rank->onLoaded(1);
    }

    // False if a step ran with two maps, or a step of a lower token ran after one of a higher.
    bool run(int steps)
    {
        for (int i = 0; i < steps && m_safe; ++i)
            act(draw(1000));
        return m_safe;
    }

    // Steps that the group completes in this many orderly rounds once nothing fails any more.
    size_t runQuietly(int rounds)
    {
        m_wire.clear();
        addLeader();
        const size_t before = m_ran.size();
        for (int i = 0; i < rounds; ++i) {
            GroupLeader& leader = *m_leaders.back();
            // What a driver does with the version that the platform holds.
            if (leader.phase() == LeaderPhase::Ready && !leader.inForce() && !leader.preparing())
                leader.prepare(++m_version);
            leader.startStep();
            send(m_leaders.size() - 1);
            while (!m_wire.empty())
                deliver(0, false);
            for (uint32_t rank = 0; rank < rankCount; ++rank)
                finishLoads(rank);
        }
        return m_ran.size() - before;
    }

    size_t stepsRun() const { return m_ran.size(); }
    uint64_t versions() const { return m_version; }

private:
    uint64_t draw(uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(m_random); }

    void addLeader() { m_leaders.push_back(std::make_unique<GroupLeader>(rankCount, ++m_token, m_rules)); }

    // Mostly the newest leader acts, and mostly old messages arrive first.
    void act(uint64_t choice)
    {
        const size_t leader = draw(3) ? m_leaders.size() - 1 : draw(m_leaders.size());
        const auto rank = static_cast<uint32_t>(draw(rankCount));
        if (choice < 700)
            deliver(m_wire.empty() ? 0 : draw(draw(4) ? std::min<size_t>(m_wire.size(), 3) : m_wire.size()), draw(20) == 0);
        else if (choice < 800)
            send(leader);
        else if (choice < 900)
            m_leaders[leader]->startStep();
        else if (choice < 970)
            finishLoads(rank);
        else if (choice < 990 && !m_wire.empty())
            m_wire.erase(m_wire.begin() + static_cast<ptrdiff_t>(draw(m_wire.size())));
        else if (choice < 993)
            m_leaders[leader]->prepare(++m_version);
        else if (choice < 996)
            m_leaders[leader]->abandonStep();
        else if (choice < 997)
            m_leaders[leader]->abandonPrepare();
        else if (choice < 998)
            restart(rank);
        else if (choice < 999)
            restartAll();
        else
            addLeader();
    }

    void restartAll()
    {
        for (uint32_t rank = 0; rank < rankCount; ++rank)
            restart(rank);
    }

    void restart(uint32_t rank) { m_ranks[rank] = std::make_unique<GroupRank>(rank, ++m_starts, m_token, m_rules); }

    void send(size_t leader)
    {
        for (GroupMessage& message : m_leaders[leader]->messages())
            m_wire.push_back({ leader, true, std::move(message) });
    }

    void deliver(size_t index, bool keepCopy)
    {
        if (m_wire.empty())
            return;
        const Addressed addressed = m_wire[index];
        if (!keepCopy)
            m_wire.erase(m_wire.begin() + static_cast<ptrdiff_t>(index));
        if (!addressed.toRank) {
            m_leaders[addressed.leader]->receive(addressed.message);
            return;
        }
        const uint32_t rank = addressed.message.rank;
        handle(rank, addressed.leader, m_ranks[rank]->receive(addressed.message));
    }

    void handle(uint32_t rank, size_t leader, const RankActions& actions)
    {
        if (actions.reply)
            m_wire.push_back({ leader, false, *actions.reply });
        if (actions.load)
            m_loads.push_back({ rank, m_ranks[rank]->start(), *actions.load, leader });
        if (!actions.run)
            return;
        note(actions.run->first, actions.run->second);
        handle(rank, leader, m_ranks[rank]->onStepDone(actions.run->first));
    }

    void finishLoads(uint32_t rank)
    {
        const std::vector<Load> loads = std::exchange(m_loads, {});
        for (const Load& load : loads) {
            if (load.rank != rank)
                m_loads.push_back(load);
            else if (load.start == m_ranks[rank]->start())
                handle(rank, load.leader, m_ranks[rank]->onLoaded(load.version));
        }
    }

    void note(const StepId& step, uint64_t version)
    {
        const auto [known, added] = m_ran.emplace(step, version);
        m_safe = m_safe && known->second == version && step.token >= m_highest;
        m_highest = std::max(m_highest, step.token);
    }

    struct Load {
        uint32_t rank = 0;
        uint64_t start = 0;
        uint64_t version = 0;
        size_t leader = 0;
    };

    std::mt19937_64 m_random;
    GroupRules m_rules;
    std::vector<std::unique_ptr<GroupRank>> m_ranks;
    std::vector<std::unique_ptr<GroupLeader>> m_leaders;
    std::vector<Addressed> m_wire;
    std::vector<Load> m_loads;
    std::map<StepId, uint64_t> m_ran;
    uint64_t m_starts = 0;
    uint64_t m_token = 0;
    uint64_t m_version = 1;
    uint64_t m_highest = 0;
    bool m_safe = true;
};

constexpr uint64_t seeds = 1000;
constexpr int stepsPerSeed = 3000;

bool isCaught(const GroupRules& rules)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        if (!Explorer(seed, rules).run(stepsPerSeed))
            return true;
    return false;
}

} // namespace

TEST_CASE("no step runs with two maps under any interleaving, and the group goes on afterwards")
{
    size_t ran = 0;
    uint64_t versions = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        Explorer explorer(seed, {});
        REQUIRE(explorer.run(stepsPerSeed));
        ran += explorer.stepsRun();
        versions += explorer.versions();
        REQUIRE(explorer.runQuietly(12) >= 3);
    }
    // The interleavings are not so wild that nothing happens.
    CHECK(ran > seeds * 3);
    CHECK(versions > seeds * 2);
    MESSAGE(ran, " steps in ", seeds, " runs");
}

TEST_CASE("the explorer notices ranks that do not check the fencing token")
{
    GroupRules rules;
    rules.checkToken = false;
    CHECK(isCaught(rules));
}

TEST_CASE("the explorer notices a switch before all ranks have loaded")
{
    GroupRules rules;
    rules.waitForLoad = false;
    CHECK(isCaught(rules));
}

TEST_CASE("the explorer notices a leader that trusts its clock")
{
    GroupRules rules;
    rules.askRanks = false;
    CHECK(isCaught(rules));
}

TEST_CASE("the explorer notices ranks that forget the token when they restart")
{
    GroupRules rules;
    rules.keepTokenFloor = false;
    CHECK(isCaught(rules));
}

TEST_CASE("a rank that lacks the version does not agree, and the old map stays when the preparation is given up")
{
    GroupRank rank(0, 1, 0);
    rank.onLoaded(1);
    GroupLeader leader(1, 1);
    auto exchange = [&] {
        for (const GroupMessage& message : leader.messages()) {
            RankActions actions = rank.receive(message);
            if (actions.run)
                actions = rank.onStepDone(actions.run->first);
            if (actions.reply)
                leader.receive(*actions.reply);
        }
    };
    exchange();
    CHECK(leader.inForce() == 1);
    leader.prepare(2);
    exchange();
    REQUIRE(leader.startStep());
    exchange();
    exchange();
    CHECK(leader.phase() == LeaderPhase::Ready);
    CHECK(leader.inForce() == 1);
    leader.abandonPrepare();
    REQUIRE(leader.startStep());
    exchange();
    exchange();
    CHECK(leader.inForce() == 1);
    CHECK(leader.step().number == 2);
}

TEST_CASE("a rank that is still running a step neither reports it done nor agrees to another")
{
    GroupRank rank(0, 1, 0);
    rank.onLoaded(1);
    const StepId first { 1, 1 };
    rank.receive({ GroupMessageKind::Join, 0, 0, { 1, 0 }, 0 });
    rank.receive({ GroupMessageKind::Propose, 0, 1, first, 1 });
    const GroupMessage run { GroupMessageKind::Run, 0, 1, first, 1 };
    CHECK(rank.receive(run).run);
    CHECK_FALSE(rank.receive(run).reply);
    const GroupMessage next { GroupMessageKind::Propose, 0, 1, { 1, 2 }, 1 };
    CHECK_FALSE(rank.receive(next).reply);
    CHECK(rank.onStepDone(first).reply);
    CHECK(rank.receive(run).reply->kind == GroupMessageKind::Ran);
    CHECK(rank.receive(next).reply);
}

TEST_CASE("a leader that learns of a higher token stops")
{
    GroupRank rank(0, 1, 5);
    GroupLeader leader(1, 4);
    const RankActions actions = rank.receive(leader.messages().at(0));
    REQUIRE(actions.reply);
    leader.receive(*actions.reply);
    CHECK(leader.phase() == LeaderPhase::Superseded);
    CHECK(leader.messages().empty());
    CHECK_FALSE(leader.startStep());
}
