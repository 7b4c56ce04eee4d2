// Decides when an entry may answer requests after its start, and whether it should fetch the
// configuration from another entry.
#pragma once

#include "base/types.h"

#include <map>
#include <set>

namespace orioletrail {

// What the store answers may be older than what other entries already act on: the store may have come
// back from an older copy, or its watch may be late. Entries tell each other the version of their
// configuration and the closed zones. An entry that has just started waits for them, and any entry
// fetches a newer version from the one that has it.
class CatchUp {
public:
    explicit CatchUp(TimePoint started)
        : m_started(started)
    {
    }

    // The list of entries was read from the store; `others` are those besides this one.
    void onJoined(std::set<std::string, std::less<>> others, TimePoint);

    // A status message of another entry arrived, with its address, the version of its configuration (0 if
    // it does not answer requests yet) and the zones that it keeps closed.
    void onPeer(std::string_view instance, std::string_view address, uint64_t version, std::set<std::string, std::less<>> closedZones, TimePoint);

    // True if this entry, which has configuration `version`, may answer requests. Once true, it stays so.
    bool isReady(uint64_t version, TimePoint);

    // True once this entry has heard the others, or has waited long enough for them.
    bool hasWaitedForPeers(TimePoint) const;

    // The address of an entry to fetch the configuration from, if one has had a newer version than this
    // entry for a while. Allows one fetch at a time; onFetched() ends it.
    std::optional<std::string> fetchSource(uint64_t version, TimePoint);
    void onFetched() { m_isFetching = false; }

    // Zones that other entries keep closed, which this entry should too while it has just started.
    std::set<std::string, std::less<>> closedZones(TimePoint) const;

private:
    struct Peer {
        std::string address;
        uint64_t version = 0;
        std::set<std::string, std::less<>> closedZones;
        TimePoint received;
    };

    // True if all registered entries have been heard since the start.
    bool hasHeardAll() const;
    // The peer with the highest version among those that answer requests, or null.
    const Peer* newestPeer(TimePoint) const;

    TimePoint m_started;
    std::map<std::string, Peer, std::less<>> m_peers;
    bool m_isReady = false;
    bool m_isFetching = false;
    // The other entries that are registered, and when that was learnt.
    std::set<std::string, std::less<>> m_others;
    std::optional<TimePoint> m_joinedAt;
    // Since when a peer has had a newer version.
    std::optional<TimePoint> m_behindSince;
};

} // namespace orioletrail
