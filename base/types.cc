#include "base/types.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace orioletrail {

namespace detail {

    constexpr std::array<std::string_view, static_cast<size_t>(Reason::Count)> reasonNames = {
        "none", "bad-request", "unauthorized", "unknown-route", "method-not-allowed",
        "body-too-large", "header-too-large", "key-required", "key-reused", "key-in-progress",
        "key-expired", "account-limit", "fair-share", "no-capacity", "no-credit", "over-limit",
        "zone-out", "leaving", "not-probed", "unreachable", "ledger-full",
        "platform-down", "no-configuration", "deadline", "endpoint-died", "endpoint-cut", "connection-lost",
        "truncated", "poisoned", "caller-gone", "shutting-down", "endpoint-refused", "wrong-endpoint",
        "endpoint-failed", "endpoint-silent", "spoiled-answer", "queue-too-long", "no-endpoint"
    };

} // namespace detail

std::string_view reasonName(Reason reason)
{
    return detail::reasonNames[static_cast<size_t>(reason)];
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::MayHaveRun:
        break;
    }
    return "may-have-run";
}

std::string format(const AttemptId& id)
{
    std::array<char, 64> text {};
    const int length = std::snprintf(text.data(), text.size(), "%llx-%llx.%x",
        static_cast<unsigned long long>(id.entryIncarnation), static_cast<unsigned long long>(id.request), id.attempt);
    return { text.data(), static_cast<size_t>(length) };
}

bool isHeaderValue(std::string_view text)
{
    constexpr unsigned char del = 127;
    const auto isControl = [](unsigned char c) { return c < ' ' || c == del; };
    return !text.empty() && text.front() != ' ' && text.back() != ' ' && std::none_of(text.begin(), text.end(), isControl);
}

} // namespace orioletrail
