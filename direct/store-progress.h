// How far an entry has followed the platform's store.
#pragma once

#include <array>
#include <cstdint>

namespace orioletrail {

// The revision of the latest change that is known of each kind of objects, in one era of the store.
struct StoreProgress {
    uint64_t era = 0;
    // Configuration, endpoints, closed zones.
    std::array<uint64_t, 3> changes {};

    bool operator==(const StoreProgress&) const = default;
};

} // namespace orioletrail
