// Timer, retry-jitter and listener helpers shared by the daemons.
#pragma once

#include "gateway/http.h"

#include <span>
#include <vector>

namespace orioletrail {

// Suspends the calling coroutine for the given time; it resumes on its own executor.
Task<> sleepFor(Millis);

// Runs the tasks at once on the caller's executor, and resumes when all have ended.
Task<> runAll(std::vector<Task<>>);

// Returns a uniformly distributed random duration in [delay / 2, delay], so that retries of
// many processes spread out.
Millis withJitter(Millis delay);

// A command-line flag, such as "--listen", and the address passed to it.
struct AddressFlag {
    std::string_view flag;
    std::string_view value;
};

// Checks that each value has the form IP:PORT. On the first invalid one, returns false and sets
// `reason` to a message that names its flag.
bool checkAddresses(std::span<const AddressFlag>, std::string& reason);

// Binds the acceptor to the address, which has the form IP:PORT, and starts listening. On failure,
// returns false and sets `reason` to a message that names the flag.
bool listenOn(boost::asio::ip::tcp::acceptor&, const AddressFlag&, std::string& reason);

} // namespace orioletrail
