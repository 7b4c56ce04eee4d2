#include "direct/watcher.h"

#include "gateway/async.h"
#include "telemetry/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // A longer wait saves calls, a shorter one detects a dead connection sooner.
    constexpr Millis watchTimeout { 10'000 };
    // Wait of one watch while other entries read from this one, which then relies on the store's answers
    // for all of them; see StoreFeed.
    constexpr Millis watchTimeoutAsFeeder { 800 };
    constexpr Millis feederWait { 500 };
    constexpr Millis feederTimeout { 300 };
    // A source that failed is not used for this long.
    constexpr Millis avoidTime { 1000 };
    // Time between two watches of the store, in which changes collect.
    constexpr Millis watchInterval { 50 };
    // An entry that is behind another for this long reads the store directly, for `directTime`. Twice the
    // time that a change takes from the store through a feeder.
    constexpr Millis maxBehind { 400 };
    constexpr Millis directTime { 10'000 };
    constexpr Millis progressCheckInterval { 100 };
    // How long an entry that starts waits to hear its feeders.
    constexpr Millis maxFeederWait { 900 };
    constexpr Millis minRetryDelay { 50 };
    // Also bounds how late the return of the store is noticed.
    constexpr Millis maxRetryDelay { 400 };
    // Added to the grace period after the store has come back from an older copy; then all kinds are
    // listed again.
    constexpr Millis listAgainMargin { 300 };
    // Index of the kind whose watches are short while other entries read from this one.
    constexpr size_t shortWatchedKind = 2;

} // namespace detail

StoreWatcher::StoreWatcher(asio::any_io_executor executor, StoreClient& store, StoreFeed& feed, DirectoryKeeper& keeper, Metrics& metrics, Hooks hooks)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_feed(feed)
    , m_keeper(keeper)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
    const auto onConfigurations = [this](const StoreListing& listing) {
        for (const StoredObject& object : listing.objects)
            onConfiguration(object);
    };
    m_kinds[0] = { std::string(configurationKind), onConfigurations, onConfigurations };
    m_kinds[1] = { std::string(endpointKind), [this](const StoreListing& listing) { onEndpointList(listing); }, [this](const StoreListing& listing) { onEndpointChanges(listing); } };
    m_kinds[2] = { std::string(closedZoneKind), [this](const StoreListing& listing) { onClosedZones(listing, true); }, [this](const StoreListing& listing) { onClosedZones(listing, false); } };
}

void StoreWatcher::start()
{
    m_feed.onFirstReader([this] { repeatWatches(); });
    m_started = Clock::now();
    for (size_t kind = 0; kind < m_kinds.size(); ++kind)
        asio::co_spawn(m_executor, follow(kind), asio::detached);
    asio::co_spawn(m_executor, checkProgress(), asio::detached);
}

void StoreWatcher::setFeeders(std::vector<std::string> feeders)
{
    m_knowsFeeders = true;
    if (feeders == m_feeders)
        return;
    std::string addresses;
    for (const std::string& feeder : feeders)
        addresses += (addresses.empty() ? "" : ",") + feeder;
    log(LogLevel::Info, feeders.empty() ? "reading the store directly" : "reading the store through other entries", { { "feeders", addresses } });
    m_feeders = std::move(feeders);
    const auto isGone = [this](const auto& item) { return std::find(m_feeders.begin(), m_feeders.end(), item.first) == m_feeders.end(); };
    std::erase_if(m_feederClients, isGone);
    std::erase_if(m_avoidedUntil, isGone);
    if (!m_feeders.empty())
        m_feed.onAllLost();
}

StoreWatcher::Source StoreWatcher::source()
{
    const TimePoint now = Clock::now();
    for (const std::string& feeder : m_feeders) {
        const auto avoided = m_avoidedUntil.find(feeder);
        const auto address = parseAddress(feeder);
        if (!address || now < m_directUntil || (avoided != m_avoidedUntil.end() && now < avoided->second))
            continue;
        std::shared_ptr<StoreClient>& client = m_feederClients[feeder];
        if (!client)
            client = std::make_shared<StoreClient>(m_executor, StoreClientSettings { address->first, address->second, detail::feederTimeout, "orioletrail_feeder_calls_total" }, m_metrics);
        return { feeder, client };
    }
    return { {}, std::shared_ptr<StoreClient>(std::shared_ptr<void>(), &m_store) };
}

void StoreWatcher::avoid(const Source& source, std::string_view reason)
{
    m_avoidedUntil[source.feeder] = Clock::now() + detail::avoidTime;
    m_metrics.count("orioletrail_feeder_changes_total");
    log(LogLevel::Info, "turned away from another entry that feeds this one", { { "feeder", source.feeder }, { "reason", std::string(reason) } });
}

void StoreWatcher::setStoreAvailable(bool isAvailable)
{
    if (m_isStoreAvailable == isAvailable)
        return;
    m_isStoreAvailable = isAvailable;
    log(isAvailable ? LogLevel::Info : LogLevel::Warning, isAvailable ? "store answers" : "store does not answer", {});
    m_keeper.send(StoreAvailability { isAvailable });
}

Task<> StoreWatcher::awaitFeeders()
{
    const TimePoint until = Clock::now() + detail::maxFeederWait;
    while (!m_knowsFeeders && Clock::now() < until)
        co_await sleepFor(detail::minRetryDelay);
}

Task<> StoreWatcher::follow(size_t kind)
{
    co_await awaitFeeders();
    Millis retryDelay = detail::minRetryDelay;
    while (true) {
        const Source from = source();
        const StoreListing listing = co_await from.client->list(m_kinds[kind].name);
        const bool isOk = listing.status == StoreStatus::Ok;
        if (from.feeder.empty() || isOk)
            setStoreAvailable(isOk);
        if (isOk && onAnswer(kind, from, listing, true)) {
            retryDelay = detail::minRetryDelay;
            co_await watchFrom(kind, listing.era);
        } else if (!from.feeder.empty() && !m_kinds[kind].revision && Clock::now() - m_started < detail::maxFeederWait) {
            // The feeder may be starting too.
            co_await sleepFor(detail::minRetryDelay);
            continue;
        } else if (!from.feeder.empty()) {
            avoid(from, isOk ? "older than what is known" : storeStatusName(listing.status));
            continue;
        }
        if (from.feeder.empty())
            m_feed.onLost(m_kinds[kind].name);
        co_await sleepFor(withJitter(retryDelay));
        retryDelay = std::min(retryDelay * 2, detail::maxRetryDelay);
    }
}

bool StoreWatcher::onAnswer(size_t index, const Source& from, const StoreListing& listing, bool isList)
{
    WatchedKind& kind = m_kinds[index];
    if (!from.feeder.empty() && (listing.era < m_progress.era || (listing.era == m_progress.era && listing.revision < kind.revision)))
        return false;
    onEra(listing.era);
    if (isList)
        kind.listAgain = false;
    kind.revision = isList ? listing.revision : std::max(kind.revision, listing.revision);
    if (from.feeder.empty()) {
        if (isList)
            m_feed.onList(kind.name, listing);
        else
            m_feed.onChanges(kind.name, listing);
        if (!m_feeders.empty())
            m_feed.onLost(kind.name);
    }
    const StoreProgress before = m_progress;
    for (const StoredObject& object : listing.objects)
        m_progress.changes[index] = std::max(m_progress.changes[index], object.revision);
    if (m_progress != before)
        m_hooks.onProgress(m_progress);
    if (isList)
        kind.onList(listing);
    else if (!listing.objects.empty())
        kind.onChanges(listing);
    return true;
}

void StoreWatcher::onEra(uint64_t era)
{
    if (era <= m_progress.era)
        return;
    const bool isRestored = m_progress.era;
    m_progress = { era, {} };
    for (WatchedKind& kind : m_kinds) {
        kind.revision = kind.peerChange = 0;
        kind.behindSince.reset();
        kind.listAgain = true;
    }
    m_hooks.onProgress(m_progress);
    if (isRestored)
        onStoreRestored();
}

void StoreWatcher::onStoreRestored()
{
    m_restoredAt = Clock::now();
    m_feed.onAllLost();
    m_keeper.send(StoreRestored {});
    cancelWatches();
    asio::co_spawn(m_executor, listAgainAfterGrace(), asio::detached);
    m_hooks.onRestored();
}

void StoreWatcher::listAllAgain()
{
    for (WatchedKind& kind : m_kinds)
        kind.listAgain = true;
    m_feed.onAllLost();
    cancelWatches();
}

void StoreWatcher::cancelWatches()
{
    m_store.cancelWatches();
    for (const auto& [feeder, client] : m_feederClients)
        client->cancelWatches();
}

void StoreWatcher::repeatWatches()
{
    for (WatchedKind& kind : m_kinds)
        kind.isInterrupted = true;
    m_store.cancelWatches();
}

Task<> StoreWatcher::listAgainAfterGrace()
{
    co_await sleepFor(DirectoryState::reregistrationGrace + detail::listAgainMargin);
    // What a feeder lists may still be from the grace period.
    m_directUntil = std::max(m_directUntil, Clock::now() + detail::avoidTime);
    listAllAgain();
}

Task<> StoreWatcher::watchFrom(size_t index, uint64_t era)
{
    WatchedKind& kind = m_kinds[index];
    while (!std::exchange(kind.listAgain, false)) {
        const Source from = source();
        const bool isDirect = from.feeder.empty();
        // Other entries can only be fed from a list of the store on.
        if (isDirect && m_feeders.empty() && !m_feed.follows(kind.name))
            co_return;
        const bool isShort = isDirect && index == detail::shortWatchedKind && m_feed.hasReaders(Clock::now());
        const Millis wait = !isDirect ? detail::feederWait : isShort ? detail::watchTimeoutAsFeeder
                                                                     : detail::watchTimeout;
        const StoreListing changes = co_await from.client->watch(kind.name, kind.revision, wait);
        if (std::exchange(kind.isInterrupted, false) && changes.status != StoreStatus::Ok)
            continue;
        const bool isTurnedAway = changes.status == StoreStatus::Refused && m_feed.hasReaders(Clock::now());
        if (isDirect && (changes.status == StoreStatus::Unknown || isTurnedAway) && !kind.listAgain)
            listAllAgain();
        if (changes.status != StoreStatus::Ok || changes.era != era || !onAnswer(index, from, changes, false)) {
            log(LogLevel::Info, "watch ended", { { "kind", kind.name }, { "feeder", from.feeder }, { "status", std::string(storeStatusName(changes.status)) }, { "revision", std::to_string(kind.revision) } });
            if (isDirect || kind.listAgain || changes.status == StoreStatus::HistoryGone || changes.era > era)
                co_return;
            avoid(from, storeStatusName(changes.status));
            continue;
        }
        if (isDirect)
            co_await sleepFor(detail::watchInterval);
    }
}

void StoreWatcher::onPeerProgress(const StoreProgress& progress)
{
    if (progress.era != m_progress.era)
        return;
    for (size_t kind = 0; kind < m_kinds.size(); ++kind)
        m_kinds[kind].peerChange = std::max(m_kinds[kind].peerChange, progress.changes[kind]);
}

Task<> StoreWatcher::checkProgress()
{
    while (true) {
        co_await sleepFor(detail::progressCheckInterval);
        const TimePoint now = Clock::now();
        bool isBehind = false;
        for (WatchedKind& kind : m_kinds) {
            if (!kind.revision || kind.peerChange <= kind.revision) {
                kind.behindSince.reset();
                continue;
            }
            kind.behindSince = kind.behindSince.value_or(now);
            if (now - *kind.behindSince < detail::maxBehind)
                continue;
            log(LogLevel::Warning, "other entries know of later changes", { { "kind", kind.name }, { "revision", std::to_string(kind.revision) }, { "peer", std::to_string(kind.peerChange) } });
            kind.behindSince = now + detail::directTime;
            isBehind = true;
        }
        if (!isBehind)
            continue;
        m_metrics.count("orioletrail_feeder_lags_total");
        m_directUntil = now + detail::directTime;
        cancelWatches();
    }
}

void StoreWatcher::onConfiguration(const StoredObject& object)
{
    if (object.name != configurationName || object.deleted)
        return;
    std::string reason;
    std::optional<Catalog> catalog = decodeCatalog(object.content, reason);
    if (catalog)
        m_keeper.send(CatalogUpdate { std::make_shared<const Catalog>(std::move(*catalog)) });
    else
        log(LogLevel::Error, "invalid configuration left out", { { "revision", std::to_string(object.revision) }, { "reason", reason } });
}

std::optional<EndpointRecord> StoreWatcher::parseEndpoint(const StoredObject& object)
{
    std::string reason;
    std::optional<EndpointRecord> record = decodeEndpoint(object, Clock::now(), reason, m_hooks.unixMillis ? std::optional(m_hooks.unixMillis()) : std::nullopt);
    if (!record)
        log(LogLevel::Warning, "invalid endpoint left out", { { "endpoint", object.name }, { "reason", reason } });
    return record;
}

void StoreWatcher::onEndpointList(const StoreListing& listing)
{
    EndpointListUpdate update;
    for (const StoredObject& object : listing.objects)
        if (auto record = parseEndpoint(object))
            update.list.endpoints.push_back(std::move(*record));
        else
            update.list.unreadable.push_back(object.name);
    m_keeper.send(std::move(update));
}

void StoreWatcher::onEndpointChanges(const StoreListing& changes)
{
    for (const StoredObject& object : changes.objects) {
        if (object.deleted)
            m_keeper.send(EndpointRemoval { object.name });
        else if (auto record = parseEndpoint(object))
            m_keeper.send(EndpointUpdate { std::move(*record) });
        else
            m_keeper.send(EndpointUnreadable { object.name });
    }
}

void StoreWatcher::onClosedZones(const StoreListing& listing, bool isFullList)
{
    // An older copy may lack a zone that operators have closed since; they write it again.
    const bool mayBeOld = m_restoredAt && Clock::now() - *m_restoredAt < DirectoryState::reregistrationGrace;
    std::set<std::string, std::less<>> zones = isFullList && !mayBeOld ? std::set<std::string, std::less<>>() : m_closedZones;
    for (const StoredObject& object : listing.objects) {
        if (object.deleted)
            zones.erase(object.name);
        else
            zones.insert(object.name);
    }
    if (zones == m_closedZones)
        return;
    m_closedZones = zones;
    m_keeper.send(ClosedZonesUpdate { std::move(zones) });
}

} // namespace orioletrail
