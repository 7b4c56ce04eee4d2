// Outages of groups in status messages.
#pragma once

#include "outage/outages.h"

#include <boost/json/fwd.hpp>

namespace orioletrail {

// Adds the reports to a status message; none add nothing.
void writeOutages(const OutageReports&, boost::json::object& message);

// Reads the reports of a status message. Malformed ones are left out, and so are those beyond OutageSettings::maxGroups,
// since a message comes from another process.
OutageReports readOutages(const boost::json::object& message);

} // namespace orioletrail
