#include "expertmap/group.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <utility>

using namespace orioletrail;

namespace {

constexpr uint32_t rankCount = 3;

struct Delivery {
    // Index of the leader that sends or receives the message.
    size_t leader = 0;
    bool toRank = true;
    GroupMessage message;
};

// Runs ranks and leaders with messages that are reordered, delayed, lost or duplicated, with restarts
// and with several leaders, and checks the steps that run.
class Simulation {
public:
    Simulation(uint64_t seed, const GroupRules& rules)
        : m_random(seed)
        , m_rules(rules)
    {
        for (uint32_t rank = 0; rank < rankCount; ++rank)
            m_ranks.push_back(std::make_unique<GroupRank>(rank, ++m_lastStart, 1, rules));
        addLeader();
        // All ranks start with version 1 loaded.
        for (auto& rank : m_ranks)
            rank->onLoaded(1);
    }

    // Returns false if a step ran with two versions, or a step of a lower token ran after one of a
    // higher token.
    bool run(int steps)
    {
        for (int i = 0; i < steps && m_isSafe; ++i)
            performAction(randomBelow(1000));
        return m_isSafe;
    }

    // Runs this many rounds without faults and returns the number of steps that the group ran.
    size_t runWithoutFaults(int rounds)
    {
        m_messagesInFlight.clear();
        addLeader();
        const size_t before = m_versionByStep.size();
        for (int i = 0; i < rounds; ++i) {
            GroupLeader& leader = *m_leaders.back();
            // A driver would prepare the version stored in the platform.
            if (leader.phase() == LeaderPhase::Ready && !leader.inForce() && !leader.preparing())
                leader.prepare(++m_lastVersion);
            leader.startStep();
            send(m_leaders.size() - 1);
            while (!m_messagesInFlight.empty())
                deliver(0, false);
            for (uint32_t rank = 0; rank < rankCount; ++rank)
                finishLoads(rank);
        }
        return m_versionByStep.size() - before;
    }

    size_t stepsRun() const { return m_versionByStep.size(); }
    uint64_t versionCount() const { return m_lastVersion; }

private:
    uint64_t randomBelow(uint64_t below) { return std::uniform_int_distribution<uint64_t>(0, below - 1)(m_random); }

    void addLeader() { m_leaders.push_back(std::make_unique<GroupLeader>(rankCount, ++m_lastToken, m_rules)); }

    // Performs one random action. Usually the newest leader acts, and usually older messages are
    // delivered first.
    void performAction(uint64_t choice)
    {
        const size_t leader = randomBelow(3) ? m_leaders.size() - 1 : randomBelow(m_leaders.size());
        const auto rank = static_cast<uint32_t>(randomBelow(rankCount));
        if (choice < 700)
            deliver(m_messagesInFlight.empty() ? 0 : randomBelow(randomBelow(4) ? std::min<size_t>(m_messagesInFlight.size(), 3) : m_messagesInFlight.size()), randomBelow(20) == 0);
        else if (choice < 800)
            send(leader);
        else if (choice < 900)
            m_leaders[leader]->startStep();
        else if (choice < 970)
            finishLoads(rank);
        else if (choice < 990 && !m_messagesInFlight.empty())
            m_messagesInFlight.erase(m_messagesInFlight.begin() + static_cast<ptrdiff_t>(randomBelow(m_messagesInFlight.size())));
        else if (choice < 993)
            m_leaders[leader]->prepare(++m_lastVersion);
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

    void restart(uint32_t rank) { m_ranks[rank] = std::make_unique<GroupRank>(rank, ++m_lastStart, m_lastToken, m_rules); }

    void send(size_t leader)
    {
        for (GroupMessage& message : m_leaders[leader]->messages())
            m_messagesInFlight.push_back({ leader, true, std::move(message) });
    }

    void deliver(size_t index, bool keepCopy)
    {
        if (m_messagesInFlight.empty())
            return;
        const Delivery delivery = m_messagesInFlight[index];
        if (!keepCopy)
            m_messagesInFlight.erase(m_messagesInFlight.begin() + static_cast<ptrdiff_t>(index));
        if (!delivery.toRank) {
            m_leaders[delivery.leader]->receive(delivery.message);
            return;
        }
        const uint32_t rank = delivery.message.rank;
        applyActions(rank, delivery.leader, m_ranks[rank]->receive(delivery.message));
    }

    void applyActions(uint32_t rank, size_t leader, const RankActions& actions)
    {
        if (actions.reply)
            m_messagesInFlight.push_back({ leader, false, *actions.reply });
        if (actions.load)
            m_loadsInProgress.push_back({ rank, m_ranks[rank]->start(), *actions.load, leader });
        if (!actions.run)
            return;
        recordStep(actions.run->first, actions.run->second);
        applyActions(rank, leader, m_ranks[rank]->onStepDone(actions.run->first));
    }

    void finishLoads(uint32_t rank)
    {
        const std::vector<Load> loads = std::exchange(m_loadsInProgress, {});
        for (const Load& load : loads) {
            if (load.rank != rank)
                m_loadsInProgress.push_back(load);
            else if (load.start == m_ranks[rank]->start())
                applyActions(rank, load.leader, m_ranks[rank]->onLoaded(load.version));
        }
    }

    void recordStep(const StepId& step, uint64_t version)
    {
        const auto [recorded, added] = m_versionByStep.emplace(step, version);
        m_isSafe = m_isSafe && recorded->second == version && step.token >= m_highestToken;
        m_highestToken = std::max(m_highestToken, step.token);
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
    std::vector<Delivery> m_messagesInFlight;
    std::vector<Load> m_loadsInProgress;
    std::map<StepId, uint64_t> m_versionByStep;
    uint64_t m_lastStart = 0;
    uint64_t m_lastToken = 0;
    uint64_t m_lastVersion = 1;
    uint64_t m_highestToken = 0;
    bool m_isSafe = true;
};

constexpr uint64_t seeds = 1000;
constexpr int stepsPerSeed = 3000;

bool isFaultDetected(const GroupRules& rules)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed)
        if (!Simulation(seed, rules).run(stepsPerSeed))
            return true;
    return false;
}

} // namespace

TEST_CASE("no step runs with two maps under any interleaving, and the group goes on afterwards")
{
    size_t ran = 0;
    uint64_t versionCount = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        Simulation simulation(seed, {});
        REQUIRE(simulation.run(stepsPerSeed));
        ran += simulation.stepsRun();
        versionCount += simulation.versionCount();
        REQUIRE(simulation.runWithoutFaults(12) >= 3);
    }
    // The faults are not so frequent that the group makes no progress.
    CHECK(ran > seeds * 3);
    CHECK(versionCount > seeds * 2);
    MESSAGE(ran, " steps in ", seeds, " runs");
}

TEST_CASE("the simulation detects ranks that do not check the fencing token")
{
    GroupRules rules;
    rules.checkToken = false;
    CHECK(isFaultDetected(rules));
}

TEST_CASE("the simulation detects a switch before all ranks have loaded the version")
{
    GroupRules rules;
    rules.waitForLoad = false;
    CHECK(isFaultDetected(rules));
}

TEST_CASE("the simulation detects a leader that runs steps without the agreement of the ranks")
{
    GroupRules rules;
    rules.requireAgreement = false;
    CHECK(isFaultDetected(rules));
}

TEST_CASE("the simulation detects ranks that accept lower tokens after a restart")
{
    GroupRules rules;
    rules.keepMinToken = false;
    CHECK(isFaultDetected(rules));
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
