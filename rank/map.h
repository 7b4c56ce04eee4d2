// The stored form of a group's expert map, and of what operators may ask about it.
#pragma once

#include "expertmap/planner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletrail {

// The object "map/GROUP": the latest version and its placements. Only its conditional write
// makes a version, so that one number never stands for two maps.
struct StoredMap {
    uint64_t version = 0;
    std::string reason;
    std::vector<Placement> layers;
};

std::string toJson(const StoredMap&);

// Nothing, with `reason` set, if the text is not a map.
std::optional<StoredMap> parseMap(std::string_view, std::string& reason);

// Token counts by layer and expert, as an engine reports them. Nothing if malformed.
std::optional<std::vector<std::vector<double>>> parseCounts(std::string_view);

} // namespace orioletrail
