// Simulation of endpoints that a part of a prompt crashes, and of the entries that look for it.
#pragma once

#include "retry/crash-parts.h"

namespace orioletrail {

struct CrashScenario {
    uint64_t seed = 1;
    size_t entries = 4;
    size_t endpoints = 12;
    // Endpoints run in lock-step: a crash stops all of them until the group is formed again.
    bool isGroup = true;
    double soundPerSecond = 33;
    // Requests with the part that crashes endpoints.
    double poisonPerSecond = 1.5;
    Millis duration { 60'000 };
    // Time from which requests with the part come.
    Millis poisonFrom { 8000 };
    // One entry is replaced by a new process at this time; 0 for none.
    Millis restartAt { 0 };
    // Every 7 s from the start of the poison on, this many endpoints crash at once for another reason.
    size_t otherCrashes = 0;
    // Parts that no other request has, per sound request.
    size_t newParts = 0;
    // Share of status messages that are lost.
    double messageLoss = 0.05;
};

struct CrashFigures {
    // Endpoints that crashed for the part.
    size_t crashes = 0;
    // Requests with the part that were sent to an endpoint, and those later than 3 s after the fifth crash.
    size_t poisonSent = 0;
    size_t poisonSentLate = 0;
    // Sound requests with the first part of a poisonous one, from 6 s after the fifth crash on or the last if
    // there are fewer, and how many of them an endpoint began to answer at the first attempt.
    size_t soundLate = 0;
    size_t soundLateBegun = 0;
    // Refusals of sound requests.
    size_t soundRefused = 0;
    // Largest number of suspected parts and crashes that one entry held, and of bytes in its report.
    size_t maxSuspectedParts = 0;
    size_t maxCrashes = 0;
    size_t maxReportBytes = 0;
};

CrashFigures simulateCrashes(const CrashScenario&);

} // namespace orioletrail
