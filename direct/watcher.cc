#include "direct/watcher.h"

#include "gateway/async.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // Each watch that ends costs a call; a shorter one finds a connection that went silent sooner.
    constexpr Millis watchWait { 10'000 };
    constexpr Millis leastPause { 50 };
    // Bounds the time to notice that the store is back.
    constexpr Millis mostPause { 400 };

} // namespace detail

StoreWatcher::StoreWatcher(asio::any_io_executor executor, StoreClient& store, BeliefKeeper& keeper)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_keeper(keeper)
{
}

void StoreWatcher::start()
{
    const auto configuration = [this](const StoreListing& listing) {
        for (const StoredObject& object : listing.objects)
            takeConfiguration(object);
    };
    asio::co_spawn(m_executor, follow({ std::string(configurationKind), configuration, configuration }), asio::detached);
    asio::co_spawn(m_executor, follow({ std::string(endpointKind), [this](const StoreListing& listing) { takeEndpoints(listing); }, [this](const StoreListing& listing) { takeEndpointChanges(listing); } }), asio::detached);
    asio::co_spawn(m_executor, follow({ std::string(closedZoneKind), [this](const StoreListing& listing) { takeClosedZones(listing, true); }, [this](const StoreListing& listing) { takeClosedZones(listing, false); } }), asio::detached);
}

void StoreWatcher::noteStore(bool answers)
{
    if (m_answers == answers)
        return;
    m_answers = answers;
    log(answers ? LogLevel::Info : LogLevel::Warning, answers ? "store answers" : "store lost", {});
    m_keeper.tell(StoreNews { answers });
}

Task<> StoreWatcher::follow(Kind kind)
{
    Millis pause = detail::leastPause;
    while (true) {
        const StoreListing listing = co_await m_store.list(kind.name);
        noteStore(listing.status == StoreStatus::Ok);
        if (listing.status == StoreStatus::Ok) {
            pause = detail::leastPause;
            kind.onList(listing);
            co_await watchFrom(kind, listing.revision);
        }
        co_await sleepFor(withJitter(pause));
        pause = std::min(pause * 2, detail::mostPause);
    }
}

Task<> StoreWatcher::watchFrom(const Kind& kind, uint64_t revision)
{
    while (true) {
        const StoreListing changes = co_await m_store.watch(kind.name, revision, detail::watchWait);
        if (changes.status != StoreStatus::Ok) {
            log(LogLevel::Info, "watch ended", { { "kind", kind.name }, { "status", std::string(storeStatusName(changes.status)) }, { "revision", std::to_string(revision) } });
            co_return;
        }
        revision = std::max(revision, changes.revision);
        if (!changes.objects.empty())
            kind.onChanges(changes);
    }
}

void StoreWatcher::takeConfiguration(const StoredObject& object)
{
    if (object.name != configurationName || object.deleted)
        return;
    std::string reason;
    std::optional<Catalog> catalog = decodeCatalog(object.content, reason);
    if (catalog)
        m_keeper.tell(CatalogNews { std::make_shared<const Catalog>(std::move(*catalog)) });
    else
        log(LogLevel::Error, "configuration left out", { { "revision", std::to_string(object.revision) }, { "reason", reason } });
}

std::optional<EndpointRecord> StoreWatcher::readEndpoint(const StoredObject& object)
{
    std::string reason;
    std::optional<EndpointRecord> record = decodeEndpoint(object, Clock::now(), reason);
    if (!record)
        log(LogLevel::Warning, "endpoint left out", { { "endpoint", object.name }, { "reason", reason } });
    return record;
}

void StoreWatcher::takeEndpoints(const StoreListing& listing)
{
    EndpointListNews news;
    for (const StoredObject& object : listing.objects)
        if (auto record = readEndpoint(object))
            news.endpoints.push_back(std::move(*record));
    m_keeper.tell(std::move(news));
}

void StoreWatcher::takeEndpointChanges(const StoreListing& changes)
{
    for (const StoredObject& object : changes.objects) {
        auto record = object.deleted ? std::nullopt : readEndpoint(object);
        if (record)
            m_keeper.tell(EndpointNews { std::move(*record) });
        else
            m_keeper.tell(EndpointGoneNews { object.name });
    }
}

void StoreWatcher::takeClosedZones(const StoreListing& listing, bool whole)
{
    std::set<std::string, std::less<>> zones = whole ? std::set<std::string, std::less<>>() : m_closedZones;
    for (const StoredObject& object : listing.objects) {
        if (object.deleted)
            zones.erase(object.name);
        else
            zones.insert(object.name);
    }
    if (zones == m_closedZones)
        return;
    m_closedZones = zones;
    m_keeper.tell(ClosedZonesNews { std::move(zones) });
}

} // namespace orioletrail
