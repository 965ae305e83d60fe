// An operator in a scenario, connected to the admin address: one connection, one command, one reply.
#ifndef LEMONCROFT_TESTS_SCENARIO_ADMIN_CLIENT_H_
#define LEMONCROFT_TESTS_SCENARIO_ADMIN_CLIENT_H_

#include <chrono>
#include <string>

#include "runtime/descriptor.h"
#include "scenario.h"

namespace lemoncroft::scenario {

class AdminClient {
 public:
  explicit AdminClient(int port);
  // Runs a step `send bytes TEXT`, `send bytewise TEXT` (with a pause after each byte) or `send flood SIZE`
  // (SIZE bytes without a line feed).
  void Send(const Words& words);
  // Returns all bytes that arrive until the connection ends. Ends the scenario with an error if that takes
  // longer than `timeout`.
  std::string ReadReply(std::chrono::milliseconds timeout);

 private:
  runtime::Descriptor fd_;
};

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_ADMIN_CLIENT_H_
