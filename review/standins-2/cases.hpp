// The cases of this review that are played by a script. Each returns 0 if the rule held, 1 if it was broken and 2 if the case could not run.
#pragma once

#include "harness.hpp"

namespace review {

int runTruncatedAnswer(Deployment&, bool hasTrouble);
int runCrashingRequest(Deployment&, bool hasTrouble);
int runTraceWithBody(Deployment&, bool hasTrouble);
int runColdReturn(Deployment&, bool hasTrouble);
int runRaisedLimit(Deployment&, bool hasTrouble);
int runDrill(Deployment&, bool hasTrouble);
int runForgottenCrashes(Deployment&, bool hasTrouble);

} // namespace review
