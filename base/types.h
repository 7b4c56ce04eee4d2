// Types used by all modules: time, attempt identifiers, failure reasons and outcomes.
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

// HTTP header fields in the order received, with names spelled as received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Whether the text can be sent as the value of a header and arrives unchanged: it is not empty, holds no control
// characters and neither begins nor ends with a blank.
bool isHeaderValue(std::string_view);

// Number of tokens that a request to a model engine states; 0 where it states none.
struct RequestSize {
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    // The caller's estimate of the output tokens: right at the median, often far off.
    uint32_t estimatedOutputTokens = 0;
};

// A part at the beginning of a prompt that other requests may share.
struct PromptPart {
    uint64_t hash = 0;
    uint32_t tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

// Identifies one attempt to run a request. `entryIncarnation` is a random number that the entry
// process draws when it starts, so that a restarted entry does not reuse identifiers.
struct AttemptId {
    uint64_t entryIncarnation = 0;
    uint64_t request = 0;
    uint32_t attempt = 0;

    auto operator<=>(const AttemptId&) const = default;
};

// Why a request was refused or an attempt failed. Metrics count each reason separately.
enum class Reason : uint8_t {
    None,
    BadRequest,
    Unauthorized,
    UnknownRoute,
    MethodNotAllowed,
    BodyTooLarge,
    HeaderTooLarge,
    // The request must not run twice but has no idempotency key.
    KeyRequired,
    // The idempotency key was used before for a request with different content.
    KeyReused,
    // An earlier request with the same idempotency key has no complete recorded answer.
    KeyInProgress,
    // The idempotency key is older than the time for which keys are remembered.
    KeyExpired,
    // The account has reached its own limit of concurrent requests.
    AccountLimit,
    // The service has no free capacity and the account already uses its fair share of it.
    FairShare,
    // No endpoint has room for the request, or the server has too many connections.
    NoCapacity,
    // The entry sent an attempt without holding a credit of the endpoint.
    NoCredit,
    // The endpoint already runs as many attempts as its limit allows.
    OverLimit,
    // Operators have taken the endpoint's zone out of service.
    ZoneOut,
    // The endpoint is draining or no longer configured.
    Leaving,
    // The endpoint has not answered a probe since it was last lost.
    NotProbed,
    // No connection to the endpoint could be made.
    Unreachable,
    // The ledger of idempotency keys has no room for another key.
    LedgerFull,
    PlatformDown,
    // The configuration is missing, or too old to act on.
    NoConfiguration,
    Deadline,
    // The endpoint process, or its sidecar, ended while it ran the attempt.
    EndpointDied,
    // The endpoint's connection was lost, but its process is still alive.
    EndpointCut,
    // The connection between entry and sidecar, or entry and endpoint, was lost.
    ConnectionLost,
    // The answer ended before all of its bytes had arrived.
    Truncated,
    // Endpoints died while running this request, so it is not run again.
    Poisoned,
    CallerGone,
    ShuttingDown,
    // The endpoint rejected the request without running it.
    EndpointRefused,
    // Another endpoint answered at the endpoint's address.
    WrongEndpoint,
    // The endpoint answered with a server error.
    EndpointFailed,
    // The endpoint has sent nothing for longer than it normally takes to answer.
    EndpointSilent,
    // The answer was incomplete, altered on the way, or belongs to another request.
    SpoiledAnswer,
    // The answer would be late if the request waited for a free slot.
    QueueTooLong,
    // No endpoint of the service accepts requests.
    NoEndpoint,
    // Number of reasons; not a reason itself.
    Count
};

// Returns the lower-case name of a reason used in metrics and refusals. Names never change.
std::string_view reasonName(Reason);

// Whether the request of an attempt has run.
enum class Outcome : uint8_t {
    Answered,
    // The request has not run and will not. Reported only where that is certain: by the entry
    // before it has sent anything, or by the sidecar if it has not passed the request to its
    // endpoint and refuses later copies of it.
    NotRun,
    // Everything else, including no answer at all.
    MayHaveRun
};

// Returns "answered", "not-run" or "may-have-run". These names never change.
std::string_view outcomeName(Outcome);

// Formats an identifier as "entry-request.attempt", each number in hexadecimal.
std::string format(const AttemptId&);

} // namespace orioletrail
