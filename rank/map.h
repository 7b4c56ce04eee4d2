// JSON formats of a group's expert map in the platform and of the token counts of an engine.
#pragma once

#include "expertmap/planner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioletrail {

// Value of the platform object "map/GROUP": the latest version of the group's expert map. A new
// version comes into being only by a conditional write of this object, so that no two maps have
// the same version.
struct StoredMap {
    uint64_t version = 0;
    // Name of the PlanReason for which the planner has changed the map.
    std::string reason;
    // One placement for each layer.
    std::vector<Placement> layers;
};

std::string toJson(const StoredMap&);

// Returns nothing, with `reason` set, if the text is malformed.
std::optional<StoredMap> parseMap(std::string_view, std::string& reason);

// Parses an engine's report of token counts, by layer and expert. Returns nothing if it is
// malformed, a layer is empty or a count is negative or not finite.
std::optional<std::vector<std::vector<double>>> parseCounts(std::string_view);

} // namespace orioletrail
