// Blocking loopback sockets for the parties of a scenario.
#ifndef LEMONCROFT_TESTS_SCENARIO_SOCKET_H_
#define LEMONCROFT_TESTS_SCENARIO_SOCKET_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "runtime/descriptor.h"

namespace lemoncroft::scenario {

using Clock = std::chrono::steady_clock;

// Timeout for the events that a scenario expects.
inline constexpr std::chrono::milliseconds kExpectTimeout{4000};

struct ListeningSocket {
  runtime::Descriptor fd;
  int port = 0;
};

// Listens on a loopback port that the system chooses.
ListeningSocket Listen();
// Returns a free port for the program to listen on. The port is below the system's ephemeral range: another
// process could take an ephemeral port before the program binds it.
int FreePort();
// Connects to a loopback port; ends the scenario with `error` if that fails.
runtime::Descriptor ConnectTo(int port, const char* error);

// Makes SendAll send pieces of `bytes` with a pause after each. 0: everything at once.
void SetPieceSize(std::size_t bytes);
// Sends all bytes. Returns false if the peer has closed the connection.
bool SendAll(int fd, const std::string& bytes);
// Appends the bytes available on a readable socket to `into`. Returns false at the end of the connection.
bool ReadSome(int fd, std::string& into);

// Returns the milliseconds until `deadline`, rounded up and at least 0, for poll().
int MillisecondsUntil(Clock::time_point deadline);

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_SOCKET_H_
