// How long answers take.
#pragma once

#include "base/types.h"

#include <map>
#include <optional>

namespace orioletrail {

// Estimates the time of an answer from a moving average of each route's answers and of their deviation from it, over
// about the last sixteen.
class AnswerTimes {
public:
    void onAnswered(std::string_view route, Millis took);

    // A time that few answers of the route exceed; nothing if it has had none.
    std::optional<Millis> mostTake(std::string_view route) const;

private:
    struct Route {
        double meanMs = 0;
        double deviationMs = 0;
    };

    std::map<std::string, Route, std::less<>> m_routes;
};

} // namespace orioletrail
