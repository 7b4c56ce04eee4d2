#include "prefix/saving.h"

#include <algorithm>

namespace orioletrail {

double readingMs(const EngineProfile& engine, double tokens)
{
    if (engine.promptTokensPerMs <= 0)
        return 0;
    constexpr double pairsPerMillion = 1e6;
    return tokens / engine.promptTokensPerMs + engine.pairsMsPerMillion * tokens * tokens / 2 / pairsPerMillion;
}

double requestDelayMs(const EngineProfile& engine)
{
    constexpr double tokensPerThousand = 1000;
    const double contextTokens = engine.usualPromptTokens + engine.usualOutputTokens / 2;
    return engine.stepsPerPass * (engine.perSequenceMs + engine.contextMsPerThousand * contextTokens / tokensPerThousand);
}

bool isMemoryShort(const EngineProfile& engine, double requests, const RequestSize& size)
{
    if (!engine.memoryTokens)
        return false;
    const double usual = engine.usualPromptTokens + engine.usualOutputTokens;
    const double stated = static_cast<double>(size.promptTokens) + size.estimatedOutputTokens;
    return requests * usual + std::max(usual, stated) > engine.memoryTokens;
}

bool weighsParts(const EngineProfile& engine, std::span<const PromptPrefix> prefixes)
{
    return !prefixes.empty() && engine.promptTokensPerMs > 0 && requestDelayMs(engine) > 0;
}

PartSaving savingAt(const PartTable& table, const EngineProfile& engine, const EndpointRecord& endpoint, double load, std::span<const PromptPrefix> prefixes, const RequestSize& size, TimePoint now)
{
    PartSaving saving;
    if (!weighsParts(engine, prefixes))
        return saving;
    saving.held = table.held(endpoint.id, processOf(endpoint), prefixes, isMemoryShort(engine, load, size), now);
    if (size.promptTokens)
        saving.held.tokens = std::min(saving.held.tokens, size.promptTokens - 1);
    saving.millis = readingMs(engine, saving.held.tokens);
    saving.requests = saving.millis / requestDelayMs(engine);
    return saving;
}

} // namespace orioletrail
