// Registers instances in the platform's store, so that they find each other, and elects leaders
// there.
#pragma once

#include "platform/store.h"

namespace orioletrail {

struct RegisteredInstance {
    std::string name;
    // IP:PORT at which other instances reach it.
    std::string address;
    // For a sidecar, the service of the engine that it runs beside; empty for an entry.
    std::string service;
};

class InstanceRegistry {
public:
    explicit InstanceRegistry(StoreClient& store)
        : m_store(store)
    {
    }

    // Registers the instance, replacing its earlier registration. Retries until it has succeeded. Returns
    // true if the instance had never been registered before, false if it had or that is not known.
    Task<bool> add(std::string kind, RegisteredInstance);

    // False if the store answers that the instance is not registered.
    Task<bool> isRegistered(std::string kind, std::string name);

    // All registered instances of a kind, or nothing if the store does not answer.
    Task<std::optional<std::vector<RegisteredInstance>>> list(std::string kind);

    // Makes `instance` the holder of the lease, whoever held it before. Returns a number that is
    // higher than that of every earlier holder, made of the store's era and the revision of the write. Returns nothing if another
    // instance wrote at the same time or the outcome of the write is unknown.
    Task<std::optional<uint64_t>> acquireLease(std::string lease, std::string instance);

private:
    // Returns nothing if the registration failed, otherwise as add().
    Task<std::optional<bool>> tryAdd(const std::string& kind, const RegisteredInstance&);

    StoreClient& m_store;
};

// Kinds under which instances are registered.
inline constexpr std::string_view entryKind = "orioletrail-entries";
inline constexpr std::string_view sidecarKind = "orioletrail-sidecars";

} // namespace orioletrail
