#include "direct/watcher.h"

#include "gateway/async.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <random>

namespace orioletrail {

namespace asio = boost::asio;

namespace detail {

    // Each watch that ends costs a call; a shorter one finds a connection that went silent sooner.
    constexpr Millis watchWait { 10'000 };
    constexpr Millis leastPause { 50 };
    // Bounds the time to notice that the store is back.
    constexpr Millis mostPause { 400 };
    constexpr std::string_view instanceKind = "orioletrail-entries";
    constexpr std::string_view leaseKind = "orioletrail-leases";

    Millis jittered(Millis pause)
    {
        static thread_local std::mt19937_64 random { std::random_device {}() };
        return Millis(std::uniform_int_distribution<Millis::rep>(pause.count() / 2, pause.count())(random));
    }

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
        co_await sleepFor(detail::jittered(pause));
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
        if (object.deleted)
            m_keeper.tell(EndpointGoneNews { object.name });
        else if (auto record = readEndpoint(object))
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

Task<bool> StoreWatcher::registerOnce(const std::string& name, const std::string& address)
{
    boost::json::object fields { { "address", address } };
    boost::json::value content(std::move(fields));
    const StoreReply created = co_await m_store.create(std::string(detail::instanceKind), name, content);
    if (created.status != StoreStatus::Conflict)
        co_return created.status == StoreStatus::Ok;
    const StoreReply replaced = co_await m_store.replace(std::string(detail::instanceKind), name, std::move(content), created.object.revision);
    co_return replaced.status == StoreStatus::Ok;
}

Task<std::optional<uint64_t>> StoreWatcher::takeLease(std::string lease, std::string instance)
{
    // A number of its own for each write, since one that changes nothing gets no new revision.
    static thread_local std::mt19937_64 random { std::random_device {}() };
    boost::json::object fields { { "holder", instance }, { "write", random() } };
    boost::json::value content(std::move(fields));
    const StoreReply held = co_await m_store.get(std::string(detail::leaseKind), lease);
    StoreReply written;
    if (held.status == StoreStatus::NotFound)
        written = co_await m_store.create(std::string(detail::leaseKind), lease, std::move(content));
    else if (held.status == StoreStatus::Ok)
        written = co_await m_store.replace(std::string(detail::leaseKind), lease, std::move(content), held.object.revision);
    else
        written.status = held.status;
    log(LogLevel::Info, "lease", { { "lease", lease }, { "status", std::string(storeStatusName(written.status)) }, { "revision", std::to_string(written.object.revision) } });
    // A write that changes nothing has the revision of an earlier one.
    if (written.status != StoreStatus::Ok || written.object.revision <= held.object.revision)
        co_return std::nullopt;
    co_return written.object.revision;
}

Task<std::vector<std::string>> StoreWatcher::registerInstance(std::string name, std::string address)
{
    Millis pause = detail::leastPause;
    std::vector<std::string> addresses;
    while (true) {
        const bool registered = co_await registerOnce(name, address);
        StoreListing listing;
        if (registered)
            listing = co_await m_store.list(std::string(detail::instanceKind));
        if (listing.status == StoreStatus::Ok) {
            for (const StoredObject& object : listing.objects) {
                const boost::json::object* fields = object.content.if_object();
                const boost::json::value* other = fields ? fields->if_contains("address") : nullptr;
                if (other && other->is_string() && object.name != name)
                    addresses.emplace_back(other->get_string());
            }
            co_return addresses;
        }
        co_await sleepFor(detail::jittered(pause));
        pause = std::min(pause * 2, detail::mostPause);
    }
}

} // namespace orioletrail
