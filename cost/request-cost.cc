#include "cost/request-cost.h"

#include <algorithm>
#include <cmath>

namespace orioletrail {

namespace detail {

    constexpr double million = 1e6;
    constexpr double thousand = 1e3;
    // Most and least that a request counts, in usual requests: prompts and answers differ by a factor of ten.
    constexpr double maxRelativeWork = 10;
    constexpr double minRelativeWork = 0.1;

    // Number of pairs of a token and an earlier one among the first `tokens`.
    double pairsAmong(double tokens)
    {
        return tokens * std::max(0.0, tokens - 1) / 2;
    }

} // namespace detail

double readingMs(const EngineProfile& engine, double promptTokens, double heldTokens)
{
    if (engine.promptTokensPerMs <= 0)
        return 0;
    const double held = std::clamp(heldTokens, 0.0, promptTokens);
    const double pairs = detail::pairsAmong(promptTokens) - detail::pairsAmong(held);
    return (promptTokens - held) / engine.promptTokensPerMs + engine.pairsMsPerMillion * pairs / detail::million;
}

RequestCost costOf(const EngineProfile& engine, double promptTokens, double outputTokens)
{
    RequestCost cost;
    cost.readMs = readingMs(engine, promptTokens);
    cost.steps = outputTokens;
    // The context grows by one token with each step.
    const double meanContext = promptTokens + outputTokens / 2;
    cost.writeMs = outputTokens * (engine.perSequenceMs + engine.contextMsPerThousand * meanContext / detail::thousand);
    cost.memoryTokens = promptTokens + outputTokens;
    cost.memoryTokenSteps = outputTokens * meanContext;
    return cost;
}

RequestCost usualCost(const EngineProfile& engine)
{
    return costOf(engine, engine.usualPromptTokens, engine.usualOutputTokens);
}

double relativeWork(const EngineProfile& engine, const RequestSize& size, double outputTokens)
{
    const double usual = usualCost(engine).workMs();
    if (usual <= 0 || engine.usualOutputTokens <= 0 || !size.promptTokens || outputTokens <= 0)
        return 1;
    return std::clamp(costOf(engine, size.promptTokens, outputTokens).workMs() / usual, detail::minRelativeWork, detail::maxRelativeWork);
}

bool exceedsMemory(const EngineProfile& engine, const RequestSize& size)
{
    return engine.memoryTokens && size.promptTokens >= engine.memoryTokens;
}

double passMs(const EngineProfile& engine, const RankForecast& rank)
{
    const double readMs = engine.promptTokensPerMs > 0 ? rank.readPerPass / engine.promptTokensPerMs : 0;
    const double share = engine.expertShare;
    const double stepsMs = engine.stepsPerPass * engine.perSequenceMs;
    const double ownMs = (1 - share) * (stepsMs * std::max(rank.streams, rank.meanStreams) + readMs);
    const double expertMs = share * rank.mapUnevenness * (stepsMs * rank.meanStreams + readMs);
    return engine.stepsPerPass * engine.stepMs * rank.slowestFactor + ownMs + expertMs;
}

double firstEventMs(const EngineProfile& engine, const RankForecast& rank, double promptTokens)
{
    const double perPass = static_cast<double>(engine.promptChunk) * engine.stepsPerPass;
    const double passes = perPass > 0 ? std::max(1.0, std::ceil((rank.promptTokensAhead + promptTokens) / perPass)) : 1;
    constexpr double meanWaitForPass = 0.5;
    return (passes + meanWaitForPass) * passMs(engine, rank);
}

} // namespace orioletrail
