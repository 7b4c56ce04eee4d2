// Crash reports in status messages.
#pragma once

#include "retry/crash-parts.h"

#include <boost/json/fwd.hpp>

namespace orioletrail {

// Adds the report to a status message; an empty one adds nothing.
void writeCrashReport(const CrashReport&, boost::json::object& message);

// Reads the report of a status message. Malformed parts of it are left out, and long lists are cut
// short, since a message comes from another process.
CrashReport readCrashReport(const boost::json::object& message);

} // namespace orioletrail
