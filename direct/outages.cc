// Tells the dispatcher what attempts show about the groups of engines.
#include "direct/state.h"
#include "telemetry/log.h"

namespace orioletrail {

void DirectEntry::State::updateOutages(const Target& target, const DirectAttemptResult& result, const EndpointHead& head, bool hasEnded, TimePoint sent)
{
    const std::string& endpoint = target.record.id;
    const TimePoint now = Clock::now();
    const bool hasRoom = head.load && head.load->running < head.load->slots;
    bool isNew = false;
    if (hasEnded && !target.record.leaving)
        isNew = dispatcher->onRankEnded(endpoint, sent, now);
    else if (result.reason == Reason::EndpointRefused && hasRoom)
        isNew = dispatcher->onRejectedWithRoom(endpoint, sent, now);
    if (!isNew)
        return;
    metrics.count("orioletrail_group_outages_total", hasEnded ? "cause=\"ended\"" : "cause=\"rejected\"");
    log(LogLevel::Warning, "group of engines is out", { { "endpoint", endpoint }, { "service", target.record.service }, { "cause", hasEnded ? "ended" : "rejected" }, { "groupsOut", std::to_string(dispatcher->outageCount(now)) } });
}

void DirectEntry::State::onServing(const Target& target, TimePoint sent)
{
    const TimePoint now = Clock::now();
    if (!dispatcher->onGroupServed(target.record.id, sent, now))
        return;
    log(LogLevel::Info, "group of engines serves again", { { "endpoint", target.record.id }, { "service", target.record.service }, { "groupsOut", std::to_string(dispatcher->outageCount(now)) } });
    dispatcher->wakeWaiting(target.record.service, now);
}

} // namespace orioletrail
