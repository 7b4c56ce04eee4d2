// Callers: send a mix of requests for a time, and keep what they were told.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct CallerSettings {
    std::vector<std::string> entries;
    std::string token;
    std::string model = "labels";
    std::string service = "print";
    // File to which a line is added for each request, with what the caller was told.
    std::string told;
    uint32_t callers = 16;
    Millis duration { 5000 };
    uint64_t seed = 1;
    // Shares of orders and look-ups among requests; the rest are streamed completions.
    double orders = 0.2;
    double lookups = 0.3;
};

int runCallers(const CallerSettings&);

} // namespace orioletrail::fakes
