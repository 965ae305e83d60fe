// Blocking loopback sockets of the parties of a scenario.
#ifndef LEMONCROFT_TESTS_SCENARIO_SOCKET_H_
#define LEMONCROFT_TESTS_SCENARIO_SOCKET_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "runtime/descriptor.h"

namespace lemoncroft::scenario {

using Clock = std::chrono::steady_clock;

// For what a scenario expects to happen.
inline constexpr std::chrono::milliseconds kExpectTimeout{4000};

struct ListeningSocket {
  runtime::Descriptor fd;
  int port = 0;
};

// Listens on a loopback port that the system chooses.
ListeningSocket Listen();
// Returns a port for a program to listen on. It is below those that the system hands out: one that it had
// handed out a moment ago may be anybody's by the time the program binds it.
int FreePort();
// Connects to a loopback port; ends the scenario with `error` if that fails.
runtime::Descriptor ConnectTo(int port, const char* error);

// From now on SendAll sends pieces of this size with a pause after each; 0: everything at once.
void SetPieceSize(std::size_t bytes);
// Returns whether all was sent; false once the peer has closed.
bool SendAll(int fd, const std::string& bytes);
// Appends what has arrived on a readable socket; false at its end.
bool ReadSome(int fd, std::string& into);

// The milliseconds that are left, for poll().
int MillisecondsUntil(Clock::time_point deadline);

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_SOCKET_H_
