// An operator of a scenario at the admin address: one connection, one call, one response.
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
  // `send bytes TEXT`, `send bytewise TEXT` with a pause after each byte, or `send flood SIZE`, without a
  // line feed.
  void Send(const Words& words);
  // Returns what arrives until the connection ends.
  std::string Response(std::chrono::milliseconds timeout);

 private:
  runtime::Descriptor fd_;
};

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_ADMIN_CLIENT_H_
