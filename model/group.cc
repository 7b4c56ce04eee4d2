#include "model/group.h"

#include <algorithm>

namespace orioletrail::model {

double valueAt(const std::vector<Step>& steps, double seconds)
{
    double value = steps.empty() ? 0 : steps.front().value;
    for (const Step& step : steps)
        if (step.atSeconds <= seconds)
            value = step.value;
    return value;
}

EngineGroup::EngineGroup(const EngineModel& model, GroupHooks hooks)
    : m_model(model)
    , m_hooks(std::move(hooks))
{
}

void EngineGroup::add(uint64_t stream, uint32_t rank, double promptTokens, uint32_t events)
{
    m_streams.emplace(stream, Stream { rank, promptTokens, events });
}

void EngineGroup::remove(uint64_t stream)
{
    m_streams.erase(stream);
}

double EngineGroup::slownessAt(uint32_t rank, double seconds) const
{
    double slowness = 1;
    for (const SlowSpell& spell : m_model.slow)
        if (spell.rank == rank && spell.fromSeconds <= seconds && seconds < spell.toSeconds)
            slowness = std::max(slowness, spell.factor);
    return slowness;
}

double EngineGroup::beginPass(double nowSeconds)
{
    struct RankWork {
        uint32_t running = 0;
        uint32_t writers = 0;
        double tokensToRead = 0;
        double tokensRead = 0;
    };
    std::vector<RankWork> ranks(m_model.ranks);
    for (RankWork& rank : ranks)
        rank.tokensToRead = m_model.chunk * m_model.stride;
    for (auto& [number, stream] : m_streams) {
        RankWork& rank = ranks[stream.rank];
        stream.isRunning = rank.running < m_model.slots;
        stream.writesThisPass = false;
        if (!stream.isRunning)
            continue;
        ++rank.running;
        const double read = std::min(stream.promptLeft, rank.tokensToRead);
        stream.promptLeft -= read;
        rank.tokensToRead -= read;
        rank.tokensRead += read;
        stream.writesThisPass = stream.promptLeft <= 0;
        rank.writers += stream.writesThisPass;
    }
    // Work for tokens in a pass, of which experts do their share wherever they are.
    double expertWork = 0;
    double slowest = 0;
    for (uint32_t number = 0; number < ranks.size(); ++number) {
        const RankWork& rank = ranks[number];
        const double tokenWork = m_model.stride * m_model.perSequenceMs * rank.writers + rank.tokensRead / m_model.promptTokensPerMs;
        expertWork += m_model.expertShare * tokenWork;
        const double own = m_model.stride * m_model.stepMs + (1 - m_model.expertShare) * tokenWork;
        slowest = std::max(slowest, own * slownessAt(number, nowSeconds));
    }
    return slowest + valueAt(m_model.unevenness, nowSeconds) * expertWork / m_model.ranks;
}

void EngineGroup::endPass()
{
    std::vector<uint64_t> written;
    for (auto& [number, stream] : m_streams)
        if (stream.writesThisPass)
            written.push_back(number);
    for (const uint64_t number : written) {
        m_hooks.event(number);
        const auto found = m_streams.find(number);
        if (found == m_streams.end() || --found->second.eventsLeft)
            continue;
        m_streams.erase(found);
        m_hooks.finished(number);
    }
}

} // namespace orioletrail::model
