// Expected length of answers, from the callers' estimates and their error, which is learnt for each route.
#pragma once

#include "base/types.h"

#include <map>

namespace orioletrail {

// The ratio of actual to estimated tokens is taken to be log-normally distributed. Its median and spread are moving
// averages over the answers of a route that ended, about the last hundred of them. Addresses callers whose estimates
// are right in the median and often far off, and those that are always wrong by a factor.
class OutputEstimates {
public:
    // An answer of the route has ended after `tokens`.
    void onAnswered(std::string_view route, const RequestSize&, double tokens);

    // Expected tokens of a whole answer of which `written` tokens exist already; 0 if the request states neither an
    // estimate nor a maximum and the route has no answers yet. A stream that exceeds its estimate is estimated anew: the
    // result is never below what is written, and never above the caller's maximum.
    double expected(std::string_view route, const RequestSize&, double written = 0) const;

    // The median ratio of actual to estimated tokens of the route, and the spread: the standard deviation of its
    // logarithm.
    double medianRatio(std::string_view route) const;
    double spread(std::string_view route) const;

private:
    struct Error {
        // Mean and mean square deviation of the logarithm of the ratio.
        double mean = 0;
        double variance = 0;
        uint32_t answers = 0;
        // Moving average of the tokens of all answers, for requests without an estimate.
        double meanTokens = 0;
    };

    const Error* find(std::string_view route) const;

    std::map<std::string, Error, std::less<>> m_routes;
};

} // namespace orioletrail
