// What the dispatcher knows of shared parts of prompts.
#include "dispatch/dispatcher.h"

namespace orioletrail {

void Dispatcher::setPartRetention(Millis retention)
{
    PartTableSettings settings;
    settings.retention = retention;
    m_parts = PartTable(settings);
}

const EngineProfile* Dispatcher::partsEngine(const DispatchRequest& request, std::span<const PromptPrefix> prefixes) const
{
    if (prefixes.empty() || !m_snapshot.catalog)
        return nullptr;
    const ServiceProfile* service = m_snapshot.catalog->findService(request.service);
    return service && service->engine && weighsParts(*service->engine, prefixes) ? &*service->engine : nullptr;
}

PartDecision Dispatcher::partDecision(const DispatchRequest& request, const PlaceChoice& choice, const EndpointRecord& chosen, TimePoint now) const
{
    PartDecision decision;
    const std::vector<PromptPrefix> prefixes = m_rules.useParts ? prefixesOf(request.promptParts) : std::vector<PromptPrefix>();
    const EngineProfile* engine = partsEngine(request, prefixes);
    if (!engine)
        return decision;
    const PartSaving saving = savingAt(m_parts, *engine, chosen, m_loads.estimate(chosen.id, now), prefixes, request.size, now);
    decision.wasWeighed = true;
    decision.wasMoved = choice.index != choice.indexWithoutSaving;
    decision.savedTokens = saving.held.tokens;
    decision.savedMs = saving.millis;
    return decision;
}

void Dispatcher::onPromptRead(const DispatchRequest& request, const std::string& endpoint, TimePoint now)
{
    const std::vector<PromptPrefix> prefixes = prefixesOf(request.promptParts);
    const auto record = m_snapshot.endpoints.find(endpoint);
    if (record != m_snapshot.endpoints.end() && partsEngine(request, prefixes))
        m_parts.onRead(endpoint, processOf(record->second), prefixes, now);
}

void Dispatcher::onPromptEnded(const DispatchRequest& request, const std::string& endpoint, TimePoint now)
{
    const auto record = m_snapshot.endpoints.find(endpoint);
    if (record != m_snapshot.endpoints.end())
        m_parts.onEnded(endpoint, processOf(record->second), prefixesOf(request.promptParts), now);
}

void Dispatcher::onPartsLost(const std::string& endpoint)
{
    const auto lost = m_snapshot.endpoints.find(endpoint);
    if (lost == m_snapshot.endpoints.end() || !m_parts.size())
        return;
    for (const auto& [id, record] : m_snapshot.endpoints)
        if (record.service == lost->second.service)
            m_parts.removeEndpoint(id);
}

} // namespace orioletrail
