// Where instances find each other: objects of the product's own in the platform's store.
#pragma once

#include "platform/store.h"

namespace orioletrail {

// One registered instance.
struct RegisteredInstance {
    std::string name;
    // IP:PORT at which other instances reach it.
    std::string address;
    // The service beside whose engine it runs, empty for an entry.
    std::string service;
};

class InstanceRegistry {
public:
    explicit InstanceRegistry(StoreClient& store)
        : m_store(store)
    {
    }

    // Registers the instance, or replaces what it registered before. Goes on until the store has
    // answered.
    Task<> add(std::string kind, RegisteredInstance);

    // All registered instances of a kind, or nothing if the store does not answer.
    Task<std::optional<std::vector<RegisteredInstance>>> list(std::string kind);

    // Writes the instance's name to the lease of that name. The revision of the write rises with
    // each holder. Nothing if another instance wrote at the same time or nothing is known.
    Task<std::optional<uint64_t>> takeLease(std::string lease, std::string instance);

private:
    Task<bool> addOnce(const std::string& kind, const RegisteredInstance&);

    StoreClient& m_store;
};

// Kinds of instances.
inline constexpr std::string_view entryKind = "orioletrail-entries";
inline constexpr std::string_view sidecarKind = "orioletrail-sidecars";

} // namespace orioletrail
