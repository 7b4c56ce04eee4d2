// Reports of groups in status messages.
#pragma once

#include "group/group-table.h"

#include <boost/json/fwd.hpp>

namespace orioletrail {

// Adds the reports to a status message; none add nothing.
void writeGroups(std::span<const GroupReport>, boost::json::object& message);

// Reads the reports of a status message. Malformed groups and members are left out and long lists are cut short, since
// a message comes from another process.
std::vector<GroupReport> readGroups(const boost::json::object& message);

} // namespace orioletrail
