#include "expertmap/group.h"

#include <algorithm>

namespace orioletrail {

GroupRank::GroupRank(uint32_t rank, uint64_t start, uint64_t minToken, const GroupRules& rules)
    : m_rank(rank)
    , m_start(start)
    , m_rules(rules)
    , m_token(rules.keepMinToken ? minToken : 0)
{
}

GroupMessage GroupRank::reply(GroupMessageKind kind, const GroupMessage& to) const
{
    return { kind, m_rank, m_start, to.step, to.version };
}

RankActions GroupRank::receive(const GroupMessage& message)
{
    RankActions actions;
    if (m_rules.checkToken && message.step.token < m_token) {
        actions.reply = reply(GroupMessageKind::Superseded, message);
        return actions;
    }
    if (message.kind == GroupMessageKind::Join) {
        m_token = std::max(m_token, message.step.token);
        actions.reply = reply(GroupMessageKind::Joined, message);
        actions.reply->loaded.assign(m_loaded.begin(), m_loaded.end());
        return actions;
    }
    // This process must have joined the leader first.
    const bool joined = message.rankStart == m_start && (!m_rules.checkToken || message.step.token == m_token);
    if (m_rules.requireAgreement && !joined)
        return actions;
    m_token = std::max(m_token, message.step.token);
    switch (message.kind) {
    case GroupMessageKind::Prepare:
        if (isLoaded(message.version)) {
            actions.reply = reply(GroupMessageKind::Prepared, message);
        } else {
            m_loading[message.version] = message;
            actions.load = message.version;
        }
        return actions;
    case GroupMessageKind::Propose:
        return onPropose(message);
    case GroupMessageKind::Run:
        return onRun(message);
    default:
        return actions;
    }
}

RankActions GroupRank::onLoaded(uint64_t version)
{
    m_loaded.insert(version);
    RankActions actions;
    const auto found = m_loading.find(version);
    if (found == m_loading.end())
        return actions;
    actions.reply = reply(GroupMessageKind::Prepared, found->second);
    m_loading.erase(found);
    return actions;
}

RankActions GroupRank::onStepDone(const StepId& step)
{
    RankActions actions;
    if (!m_running || m_running->step != step)
        return actions;
    actions.reply = reply(GroupMessageKind::Ran, *m_running);
    m_running.reset();
    return actions;
}

RankActions GroupRank::onPropose(const GroupMessage& message)
{
    RankActions actions;
    const bool isOlder = m_rules.checkToken && m_accepted && message.step < m_accepted->first;
    if (isOlder || m_running || (m_rules.waitForLoad && !isLoaded(message.version)))
        return actions;
    // A rank accepts only one version for each step.
    if (m_accepted && m_accepted->first == message.step && m_accepted->second != message.version)
        return actions;
    m_accepted = { message.step, message.version };
    actions.reply = reply(GroupMessageKind::Accepted, message);
    return actions;
}

RankActions GroupRank::onRun(const GroupMessage& message)
{
    RankActions actions;
    const bool isAccepted = m_accepted && m_accepted->first == message.step && m_accepted->second == message.version;
    if ((m_rules.requireAgreement && !isAccepted) || (!isAccepted && !isLoaded(message.version)))
        return actions;
    const bool alreadyStarted = m_lastStep && (m_rules.checkToken ? *m_lastStep >= message.step : *m_lastStep == message.step);
    if (m_running || alreadyStarted) {
        if (!m_running)
            actions.reply = reply(GroupMessageKind::Ran, message);
        return actions;
    }
    m_lastStep = message.step;
    m_running = message;
    // Reached without the version only if a test turns off waitForLoad. Such a rank uses the version
    // that it has.
    const uint64_t version = isLoaded(message.version) ? message.version : m_inForce;
    actions.run = { message.step, version };
    m_inForce = version;
    unloadBelow(version);
    return actions;
}

void GroupRank::unloadBelow(uint64_t version)
{
    m_loaded.erase(m_loaded.begin(), m_loaded.lower_bound(version));
}

GroupLeader::GroupLeader(uint32_t ranks, uint64_t token, const GroupRules& rules)
    : m_ranks(ranks)
    , m_rules(rules)
    , m_step { token, 0 }
{
    if (!rules.requireAgreement) {
        m_phase = LeaderPhase::Ready;
        m_inForce = 1;
        for (uint32_t rank = 0; rank < ranks; ++rank)
            m_rankStarts[rank] = 0;
    }
}

GroupMessage GroupLeader::makeMessage(GroupMessageKind kind, uint32_t rank) const
{
    const auto start = m_rankStarts.find(rank);
    const uint64_t version = kind == GroupMessageKind::Prepare ? m_preparing.value_or(0) : m_stepVersion;
    return { kind, rank, start == m_rankStarts.end() ? 0 : start->second, m_step, version };
}

std::vector<GroupMessage> GroupLeader::messages() const
{
    std::vector<GroupMessage> messages;
    for (uint32_t rank = 0; rank < m_ranks && m_phase != LeaderPhase::Superseded; ++rank) {
        if (!m_rankStarts.contains(rank)) {
            messages.push_back(makeMessage(GroupMessageKind::Join, rank));
            continue;
        }
        if (m_preparing && !m_prepared.contains(rank))
            messages.push_back(makeMessage(GroupMessageKind::Prepare, rank));
        if (m_phase == LeaderPhase::Proposing && !m_answered.contains(rank))
            messages.push_back(makeMessage(GroupMessageKind::Propose, rank));
        if (m_phase == LeaderPhase::Running && !m_answered.contains(rank))
            messages.push_back(makeMessage(GroupMessageKind::Run, rank));
    }
    return messages;
}

void GroupLeader::receive(const GroupMessage& message)
{
    if (message.step.token != m_step.token || m_phase == LeaderPhase::Superseded)
        return;
    if (message.kind == GroupMessageKind::Superseded) {
        m_phase = LeaderPhase::Superseded;
        return;
    }
    if (message.kind == GroupMessageKind::Joined) {
        onJoined(message);
        return;
    }
    const auto start = m_rankStarts.find(message.rank);
    if (start == m_rankStarts.end() || (m_rules.requireAgreement && start->second != message.rankStart))
        return;
    if (message.kind == GroupMessageKind::Prepared) {
        m_loaded[message.rank].insert(message.version);
        if (message.version == m_preparing)
            m_prepared.insert(message.rank);
        return;
    }
    if (message.step != m_step)
        return;
    if (message.kind == GroupMessageKind::Accepted && m_phase == LeaderPhase::Proposing) {
        m_answered.insert(message.rank);
        if (hasAll(m_answered)) {
            m_phase = LeaderPhase::Running;
            m_answered.clear();
        }
    } else if (message.kind == GroupMessageKind::Ran && m_phase == LeaderPhase::Running) {
        m_answered.insert(message.rank);
        if (hasAll(m_answered)) {
            m_inForce = m_stepVersion;
            m_phase = LeaderPhase::Ready;
        }
    }
}

void GroupLeader::onJoined(const GroupMessage& message)
{
    if (m_rankStarts.contains(message.rank))
        return;
    m_rankStarts[message.rank] = message.rankStart;
    m_loaded[message.rank] = { message.loaded.begin(), message.loaded.end() };
    if (m_phase == LeaderPhase::Joining && m_rankStarts.size() == m_ranks)
        onAllJoined();
}

void GroupLeader::onAllJoined()
{
    m_phase = LeaderPhase::Ready;
    uint64_t common = 0;
    uint64_t latest = m_inForce;
    for (const auto& [rank, versions] : m_loaded)
        for (const uint64_t version : versions) {
            latest = std::max(latest, version);
            const bool onAllRanks = std::all_of(m_loaded.begin(), m_loaded.end(), [&](const auto& item) { return item.second.contains(version); });
            if (onAllRanks)
                common = std::max(common, version);
        }
    // If no version is loaded on all ranks, the latest one is prepared again before the next step.
    m_inForce = common;
    if (!common && !m_preparing && latest)
        m_preparing = latest;
}

void GroupLeader::prepare(uint64_t version)
{
    m_preparing = version;
    m_prepared.clear();
}

void GroupLeader::abandonPrepare()
{
    m_preparing.reset();
    m_prepared.clear();
}

bool GroupLeader::startStep()
{
    if (m_phase != LeaderPhase::Ready)
        return false;
    if (m_preparing && (hasAll(m_prepared) || !m_rules.waitForLoad)) {
        m_stepVersion = *m_preparing;
        abandonPrepare();
    } else if (m_inForce) {
        m_stepVersion = m_inForce;
    } else {
        return false;
    }
    ++m_step.number;
    m_answered.clear();
    m_phase = m_rules.requireAgreement ? LeaderPhase::Proposing : LeaderPhase::Running;
    return true;
}

void GroupLeader::abandonStep()
{
    if (m_phase == LeaderPhase::Superseded)
        return;
    // If the abandoned step switched to another version, that version is prepared again.
    if (m_phase != LeaderPhase::Ready && m_stepVersion != m_inForce && !m_preparing && m_stepVersion)
        m_preparing = m_stepVersion;
    m_phase = LeaderPhase::Joining;
    m_rankStarts.clear();
    m_loaded.clear();
    m_prepared.clear();
}

} // namespace orioletrail
