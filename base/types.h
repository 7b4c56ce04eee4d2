// Vocabulary shared by all slices: time, attempt identifiers and request outcomes.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioletrail {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

// HTTP header fields in order, names as received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Identifies one attempt at one request. `entry` is the random start number of
// the entry process, so identifiers of a restarted entry never repeat.
struct AttemptId {
    uint64_t entry = 0;
    uint64_t request = 0;
    uint32_t attempt = 0;

    auto operator<=>(const AttemptId&) const = default;
};

// Why a request was refused or an attempt failed. Each value has a counter.
enum class Reason : uint8_t {
    None,
    BadRequest,
    Unauthorized,
    UnknownRoute,
    MethodNotAllowed,
    BodyTooLarge,
    HeaderTooLarge,
    KeyRequired,
    KeyReused,
    KeyInProgress,
    KeyExpired,
    AccountLimit,
    FairShare,
    NoCapacity,
    NoCredit,
    OverLimit,
    ZoneOut,
    Leaving,
    NotProbed,
    Unreachable,
    LedgerFull,
    PlatformDown,
    NoConfiguration,
    Deadline,
    EndpointDied,
    EndpointCut,
    ConnectionLost,
    Truncated,
    Poisoned,
    CallerGone,
    ShuttingDown,
    // The endpoint rejected the request without running it.
    EndpointRefused,
    // Another endpoint has the address.
    WrongEndpoint,
    // The endpoint answered with a failure of its own.
    EndpointFailed,
    // The endpoint answered nothing at all for longer than it ever takes.
    EndpointSilent,
    // The answer was not whole, not the endpoint's, or another request's.
    SpoiledAnswer,
    // Waiting for a place would make the answer late.
    QueueTooLong,
    // No endpoint of the service is open.
    NoEndpoint,
    Count
};

// The stable lower-case name of a reason, as used in metrics and refusals.
std::string_view reasonName(Reason);

// How an attempt ended. Only a party that can know says NotRun: the entry before
// it sent anything, or the sidecar that never handed the request to its endpoint
// and refuses later copies of it. Silence is MayHaveRun.
enum class Outcome : uint8_t {
    Answered,
    NotRun,
    MayHaveRun
};

// The stable name of an outcome: "answered", "not-run" or "may-have-run".
std::string_view outcomeName(Outcome);

// Formats an attempt as "entry-request.attempt" in hexadecimal, for logs and headers.
std::string format(const AttemptId&);

} // namespace orioletrail
