// Converts between the evidence against a request and the message that carries it.
#pragma once

#include "retry/poison.h"
#include "transport/message.h"

namespace orioletrail {

PoisonReport toPoisonReport(const PoisonEvidence&);
PoisonEvidence toPoisonEvidence(const PoisonReport&);

} // namespace orioletrail
