// Small helpers shared by the daemons' coroutines and listeners.
#pragma once

#include "gateway/http.h"

#include <span>

namespace orioletrail {

// Completes after the time, on the executor of the calling coroutine.
Task<> sleepFor(Millis);

// A random time between half of the pause and all of it.
Millis withJitter(Millis pause);

// A flag and the address that it was given.
struct AddressFlag {
    std::string_view flag;
    std::string_view value;
};

// Checks that each value has the form IP:PORT. Returns false with `reason` set, which names the flag.
bool checkAddresses(std::span<const AddressFlag>, std::string& reason);

// Opens the acceptor on "IP:PORT". Returns false with `reason` set, which names the flag.
bool listenOn(boost::asio::ip::tcp::acceptor&, const AddressFlag&, std::string& reason);

} // namespace orioletrail
