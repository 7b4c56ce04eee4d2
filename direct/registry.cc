#include "direct/registry.h"

#include "gateway/async.h"
#include "telemetry/log.h"

#include <boost/json.hpp>
#include <random>

namespace orioletrail {

namespace detail {

    constexpr std::string_view leaseKind = "orioletrail-leases";
    // Bits of a lease's number that hold the revision; those above hold the era.
    constexpr unsigned revisionBits = 32;
    constexpr Millis minRegisterDelay { 50 };
    constexpr Millis maxRegisterDelay { 400 };

    std::string textField(const boost::json::value& content, std::string_view name)
    {
        const boost::json::object* fields = content.if_object();
        const boost::json::value* field = fields ? fields->if_contains(name) : nullptr;
        return field && field->is_string() ? std::string(field->get_string()) : std::string();
    }

} // namespace detail

Task<std::optional<bool>> InstanceRegistry::tryAdd(const std::string& kind, const RegisteredInstance& instance)
{
    boost::json::object fields { { "address", instance.address }, { "service", instance.service } };
    boost::json::value content(std::move(fields));
    const StoreReply created = co_await m_store.create(kind, instance.name, content);
    if (created.status == StoreStatus::Ok)
        co_return true;
    if (created.status != StoreStatus::Conflict)
        co_return std::nullopt;
    const StoreReply replaced = co_await m_store.replace(kind, instance.name, std::move(content), created.object.revision);
    co_return replaced.status == StoreStatus::Ok ? std::optional(false) : std::nullopt;
}

Task<bool> InstanceRegistry::add(std::string kind, RegisteredInstance instance)
{
    Millis retryDelay = detail::minRegisterDelay;
    std::optional<bool> isNew = co_await tryAdd(kind, instance);
    while (!isNew) {
        co_await sleepFor(withJitter(retryDelay));
        retryDelay = std::min(retryDelay * 2, detail::maxRegisterDelay);
        isNew = co_await tryAdd(kind, instance);
    }
    log(LogLevel::Info, "instance registered", { { "instance", instance.name }, { "kind", kind }, { "address", instance.address }, { "isNew", *isNew ? "true" : "false" } });
    co_return *isNew;
}

Task<bool> InstanceRegistry::isRegistered(std::string kind, std::string name)
{
    const StoreReply reply = co_await m_store.get(std::move(kind), std::move(name));
    co_return reply.status != StoreStatus::NotFound;
}

Task<std::optional<std::vector<RegisteredInstance>>> InstanceRegistry::list(std::string kind)
{
    const StoreListing listing = co_await m_store.list(kind);
    if (listing.status != StoreStatus::Ok)
        co_return std::nullopt;
    std::vector<RegisteredInstance> instances;
    for (const StoredObject& object : listing.objects) {
        RegisteredInstance instance { object.name, detail::textField(object.content, "address"), detail::textField(object.content, "service") };
        if (parseAddress(instance.address))
            instances.push_back(std::move(instance));
        else
            log(LogLevel::Warning, "invalid instance left out", { { "instance", object.name }, { "kind", kind } });
    }
    co_return instances;
}

Task<std::optional<uint64_t>> InstanceRegistry::acquireLease(std::string lease, std::string instance)
{
    // Makes each write unique: the store gives no new revision to a write that changes nothing.
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
    log(LogLevel::Info, "tried to acquire lease", { { "lease", lease }, { "status", std::string(storeStatusName(written.status)) }, { "revision", std::to_string(written.object.revision) } });
    // The write changed nothing if its revision is not new.
    if (written.status != StoreStatus::Ok || written.era != held.era || written.object.revision <= held.object.revision)
        co_return std::nullopt;
    co_return (written.era << detail::revisionBits) + written.object.revision;
}

} // namespace orioletrail
