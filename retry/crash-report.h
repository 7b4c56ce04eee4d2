// Crash reports in status messages.
#pragma once

#include "retry/crash-parts.h"
#include "retry/poison.h"

#include <boost/json/fwd.hpp>

namespace orioletrail {

// Adds the report to a status message; an empty one adds nothing.
void writeCrashReport(const CrashReport&, boost::json::object& message);

// Reads the report of a status message. Malformed parts of it are left out, and long lists are cut
// short, since a message comes from another process.
CrashReport readCrashReport(const boost::json::object& message);

// The same for the requests that were lost with their endpoints.
void writePoisonEvidence(std::span<const PoisonEvidence>, boost::json::object& message);
std::vector<PoisonEvidence> readPoisonEvidence(const boost::json::object& message);

} // namespace orioletrail
