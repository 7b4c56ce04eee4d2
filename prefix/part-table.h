// Which endpoint holds which beginning of a prompt, from the requests of this instance.
#pragma once

#include "base/types.h"

#include <map>
#include <span>
#include <unordered_map>

namespace orioletrail {

// The beginning of a prompt up to the end of one of its shared parts.
struct PromptPrefix {
    // Hash of all parts up to this one, in their order.
    uint64_t hash = 0;
    // Tokens of all parts up to this one.
    uint32_t tokens = 0;
};

// The beginnings of a prompt with these parts, shortest first.
std::vector<PromptPrefix> prefixesOf(std::span<const PromptPart>);

struct PartTableSettings {
    // How long an engine keeps a part after the last request that has it.
    Millis retention { 0 };
    // Most pairs of a prefix and an endpoint, some 100 bytes each.
    size_t maxEntries = 4096;
};

// The longest beginning of a prompt that an endpoint holds.
struct HeldPrefix {
    uint32_t tokens = 0;
    // Time since the last request that has it ended, 0 while one is running.
    Millis age { 0 };
};

// An endpoint holds the beginning of a prompt from the time at which it has read it, which its first event
// shows, up to the end of the request, and for the retention after that. Knowledge belongs to one process
// of the endpoint. Losing some is harmless: the endpoint is then chosen as if it held nothing.
class PartTable {
public:
    explicit PartTable(const PartTableSettings& settings = {})
        : m_settings(settings)
    {
    }

    // The endpoint has read a prompt that begins with these prefixes; the request is still running.
    void onRead(std::string_view endpoint, uint64_t process, std::span<const PromptPrefix>, TimePoint);

    // A request for which onRead() was called has ended.
    void onEnded(std::string_view endpoint, uint64_t process, std::span<const PromptPrefix>, TimePoint);

    // The endpoint has restarted, or lost what it held in another way.
    void removeEndpoint(std::string_view endpoint);

    // What the endpoint holds of a prompt. With `runningOnly`, parts whose requests have all ended do not
    // count, because the endpoint has no memory left to keep them.
    HeldPrefix held(std::string_view endpoint, uint64_t process, std::span<const PromptPrefix>, bool runningOnly, TimePoint) const;

    // Number of pairs of a prefix and an endpoint.
    size_t size() const { return m_size; }

private:
    struct Entry {
        // Requests of this instance that have it and are running.
        uint32_t running = 0;
        TimePoint lastEnded;
    };

    struct Endpoint {
        uint64_t process = 0;
        // By PromptPrefix::hash.
        std::unordered_map<uint64_t, Entry> entries;
    };

    bool isHeld(const Entry&, TimePoint) const;
    // Removes the entries that are not held any more, and of the others those that ended first, until a
    // quarter of the table is free. Entries of running requests stay.
    void makeRoom(TimePoint);

    PartTableSettings m_settings;
    std::map<std::string, Endpoint, std::less<>> m_endpoints;
    size_t m_size = 0;
};

} // namespace orioletrail
