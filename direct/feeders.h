// Chooses which entries read the platform's store themselves, and from which of these the others read.
#pragma once

#include "base/types.h"

#include <map>
#include <string>
#include <vector>

namespace orioletrail {

// In each availability zone a few entries read the store: those with the most processor time, of equals
// the last by name, since the first by name leads the expert maps. All entries see nearly the same peers
// and so choose alike; where they do not, an entry is refused and turns to its next source.
class Feeders {
public:
    Feeders(std::string instance, std::string zone, double processorShare)
        : m_self { std::move(instance), std::move(zone), {}, processorShare, false, {} }
    {
    }

    // A status message of another entry arrived. `address` is where it serves readers.
    void onPeer(std::string_view instance, std::string_view zone, std::string_view address, double processorShare, bool isStopping, TimePoint);

    // The addresses to read from, the best first; empty if this entry reads the store itself. The order
    // among equally near ones differs between entries, which spreads the readers.
    std::vector<std::string> sources(TimePoint) const;

private:
    struct Entry {
        std::string instance;
        std::string zone;
        std::string address;
        double processorShare = 0;
        bool isStopping = false;
        TimePoint received;
    };

    // The entries that read the store, by zone.
    std::map<std::string, std::vector<const Entry*>> readersByZone(TimePoint) const;

    Entry m_self;
    std::map<std::string, Entry, std::less<>> m_peers;
};

} // namespace orioletrail
