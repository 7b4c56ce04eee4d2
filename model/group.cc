#include "model/group.h"

#include <algorithm>

namespace orioletrail::model {

double valueAt(const std::vector<ScheduledValue>& schedule, double seconds)
{
    double value = schedule.empty() ? 0 : schedule.front().value;
    for (const ScheduledValue& entry : schedule)
        if (entry.atSeconds <= seconds)
            value = entry.value;
    return value;
}

EngineGroup::EngineGroup(const EngineModel& model, GroupCallbacks callbacks)
    : m_model(model)
    , m_callbacks(std::move(callbacks))
{
}

void EngineGroup::add(uint64_t stream, uint32_t rank, double promptTokens, uint32_t events, uint64_t part, double partTokens)
{
    m_streams.emplace(stream, Stream { rank, promptTokens + partTokens, events, part, partTokens });
}

bool EngineGroup::holdsPart(uint32_t rank, uint64_t part, double nowSeconds) const
{
    constexpr double millisPerSecond = 1000;
    for (const auto& [number, stream] : m_streams)
        if (stream.rank == rank && stream.part == part && stream.hasBegun && stream.promptTokensLeft <= 0)
            return true;
    const auto used = m_partsUsed.find({ rank, part });
    return used != m_partsUsed.end() && (nowSeconds - used->second) * millisPerSecond < m_model.keepPartsMs;
}

void EngineGroup::remove(uint64_t stream)
{
    m_streams.erase(stream);
}

double EngineGroup::slownessAt(uint32_t rank, double seconds) const
{
    double slowness = 1;
    for (const SlowPeriod& period : m_model.slow)
        if (period.rank == rank && period.fromSeconds <= seconds && seconds < period.toSeconds)
            slowness = std::max(slowness, period.factor);
    return slowness;
}

double EngineGroup::beginPass(double nowSeconds)
{
    struct RankLoad {
        uint32_t running = 0;
        uint32_t decodingStreams = 0;
        double prefillBudget = 0;
        double prefillTokens = 0;
    };
    std::vector<RankLoad> ranks(m_model.ranks);
    for (RankLoad& rank : ranks)
        rank.prefillBudget = m_model.chunk * m_model.stride;
    for (auto& [number, stream] : m_streams) {
        RankLoad& rank = ranks[stream.rank];
        stream.isRunning = rank.running < m_model.slots;
        stream.emitsEvent = false;
        if (!stream.isRunning)
            continue;
        ++rank.running;
        if (!stream.hasBegun && stream.partTokens > 0 && holdsPart(stream.rank, stream.part, nowSeconds))
            stream.promptTokensLeft -= stream.partTokens;
        stream.hasBegun = true;
        const double prefilled = std::min(stream.promptTokensLeft, rank.prefillBudget);
        stream.promptTokensLeft -= prefilled;
        rank.prefillBudget -= prefilled;
        rank.prefillTokens += prefilled;
        m_tokensRead += prefilled;
        stream.emitsEvent = stream.promptTokensLeft <= 0;
        rank.decodingStreams += stream.emitsEvent;
        if (stream.emitsEvent && stream.partTokens > 0 && m_model.keepPartsMs > 0)
            m_partsUsed[{ stream.rank, stream.part }] = nowSeconds;
    }
    // Time for the experts' share of all token work. It is spread over the ranks according to the
    // expert map, whichever rank a stream belongs to.
    double expertWork = 0;
    double longestRankWork = 0;
    for (uint32_t number = 0; number < ranks.size(); ++number) {
        const RankLoad& rank = ranks[number];
        const double tokenWork = m_model.stride * m_model.perSequenceMs * rank.decodingStreams + rank.prefillTokens / m_model.promptTokensPerMs;
        expertWork += m_model.expertShare * tokenWork;
        const double rankWork = m_model.stride * m_model.stepMs + (1 - m_model.expertShare) * tokenWork;
        longestRankWork = std::max(longestRankWork, rankWork * slownessAt(number, nowSeconds));
    }
    return longestRankWork + valueAt(m_model.unevenness, nowSeconds) * expertWork / m_model.ranks;
}

void EngineGroup::endPass()
{
    std::vector<uint64_t> emitting;
    for (auto& [number, stream] : m_streams)
        if (stream.emitsEvent)
            emitting.push_back(number);
    for (const uint64_t number : emitting) {
        m_callbacks.onEvent(number);
        const auto found = m_streams.find(number);
        if (found == m_streams.end() || --found->second.eventsLeft)
            continue;
        m_streams.erase(found);
        m_callbacks.onFinished(number);
    }
}

} // namespace orioletrail::model
