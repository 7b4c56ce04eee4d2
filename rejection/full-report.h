// Reports of full endpoints in status messages.
#pragma once

#include "rejection/full-endpoints.h"

#include <boost/json/fwd.hpp>
#include <optional>

namespace orioletrail {

// Adds the reports to a status message as the field "full"; none add nothing.
void writeFullReports(const FullReports&, boost::json::object& message);

// Reads the reports of a status message. Malformed ones are left out, and of long lists only the first
// FullEndpoints::maxReported are read, since a message comes from another process.
FullReports readFullReports(const boost::json::object& message);

// A datagram of its own that holds only such reports, for those that others should hear at once.
std::string encodeFullMessage(const FullReports&);
// Returns nothing if the text is not such a datagram.
std::optional<FullReports> decodeFullMessage(std::string_view);

} // namespace orioletrail
