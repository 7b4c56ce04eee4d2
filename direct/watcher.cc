#include "direct/watcher.h"

#include "gateway/async.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // A longer timeout saves calls, a shorter one detects a dead connection sooner.
    constexpr Millis watchTimeout { 10'000 };
    constexpr Millis minRetryDelay { 50 };
    // Also bounds how late the return of the store is noticed.
    constexpr Millis maxRetryDelay { 400 };
    // Added to the grace period after the store has come back from an older copy; then all kinds are
    // listed again.
    constexpr Millis listAgainMargin { 300 };

} // namespace detail

StoreWatcher::StoreWatcher(asio::any_io_executor executor, StoreClient& store, DirectoryKeeper& keeper)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_keeper(keeper)
{
}

void StoreWatcher::start()
{
    const auto onConfigurations = [this](const StoreListing& listing) {
        for (const StoredObject& object : listing.objects)
            onConfiguration(object);
    };
    asio::co_spawn(m_executor, listAndWatch({ std::string(configurationKind), onConfigurations, onConfigurations }), asio::detached);
    asio::co_spawn(m_executor, listAndWatch({ std::string(endpointKind), [this](const StoreListing& listing) { onEndpointList(listing); }, [this](const StoreListing& listing) { onEndpointChanges(listing); } }), asio::detached);
    asio::co_spawn(m_executor, listAndWatch({ std::string(closedZoneKind), [this](const StoreListing& listing) { onClosedZones(listing, true); }, [this](const StoreListing& listing) { onClosedZones(listing, false); } }), asio::detached);
}

void StoreWatcher::setStoreAvailable(bool isAvailable)
{
    if (m_isStoreAvailable == isAvailable)
        return;
    m_isStoreAvailable = isAvailable;
    log(isAvailable ? LogLevel::Info : LogLevel::Warning, isAvailable ? "store answers" : "store does not answer", {});
    m_keeper.send(StoreAvailability { isAvailable });
}

Task<> StoreWatcher::listAndWatch(WatchedKind kind)
{
    Millis retryDelay = detail::minRetryDelay;
    while (true) {
        const StoreListing listing = co_await m_store.list(kind.name);
        setStoreAvailable(listing.status == StoreStatus::Ok);
        if (listing.status == StoreStatus::Ok) {
            retryDelay = detail::minRetryDelay;
            kind.onList(listing);
            co_await watchFrom(kind, listing.revision, listing.era);
        }
        co_await sleepFor(withJitter(retryDelay));
        retryDelay = std::min(retryDelay * 2, detail::maxRetryDelay);
    }
}

void StoreWatcher::onStoreRestored()
{
    m_restoredAt = Clock::now();
    m_keeper.send(StoreRestored {});
    asio::co_spawn(m_executor, listAgainAfterGrace(), asio::detached);
}

Task<> StoreWatcher::listAgainAfterGrace()
{
    co_await sleepFor(DirectoryState::reregistrationGrace + detail::listAgainMargin);
    m_store.cancelWatches();
}

Task<> StoreWatcher::watchFrom(const WatchedKind& kind, uint64_t revision, uint64_t era)
{
    while (true) {
        const StoreListing changes = co_await m_store.watch(kind.name, revision, detail::watchTimeout);
        if (changes.status != StoreStatus::Ok || changes.era != era) {
            log(LogLevel::Info, "watch ended", { { "kind", kind.name }, { "status", std::string(storeStatusName(changes.status)) }, { "revision", std::to_string(revision) } });
            co_return;
        }
        revision = std::max(revision, changes.revision);
        if (!changes.objects.empty())
            kind.onChanges(changes);
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
    std::optional<EndpointRecord> record = decodeEndpoint(object, Clock::now(), reason);
    if (!record)
        log(LogLevel::Warning, "invalid endpoint left out", { { "endpoint", object.name }, { "reason", reason } });
    return record;
}

void StoreWatcher::onEndpointList(const StoreListing& listing)
{
    EndpointListUpdate update;
    for (const StoredObject& object : listing.objects)
        if (auto record = parseEndpoint(object))
            update.endpoints.push_back(std::move(*record));
    m_keeper.send(std::move(update));
}

void StoreWatcher::onEndpointChanges(const StoreListing& changes)
{
    for (const StoredObject& object : changes.objects) {
        auto record = object.deleted ? std::nullopt : parseEndpoint(object);
        if (record)
            m_keeper.send(EndpointUpdate { std::move(*record) });
        else
            m_keeper.send(EndpointRemoval { object.name });
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
