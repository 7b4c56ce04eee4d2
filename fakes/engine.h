// Stand-in for a model engine. Faults: "cold" makes it cold again, "stall" holds every answer,
// "slow" delays first tokens by delayMs, "cut" ends an answer halfway.
#pragma once

#include "fakes/fake.h"

namespace orioletrail::fakes {

struct EngineFakeSettings {
    FakeSettings common;
    // Requests at once that it bears when cold and when warm; one more and it falls over. In
    // between it grows in proportion to what it has completed.
    uint32_t coldCapacity = 4;
    uint32_t warmCapacity = 32;
    // Completed requests that warm it up.
    uint32_t warmAfter = 40;
    Millis firstToken { 20 };
    Millis perToken { 2 };
    // Dies when a prompt holds this word; empty for never.
    std::string crashWord;
};

int runEngine(const EngineFakeSettings&);

} // namespace orioletrail::fakes
