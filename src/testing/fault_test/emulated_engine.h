// Emulates a database engine: an HTTP server that answers each statement with one row after a fixed time.
//
// Owned by the TrialEnvironment, on its loop. The constructor throws std::system_error if the address
// cannot be bound.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_EMULATED_ENGINE_H_
#define LEMONCROFT_TESTING_FAULT_TEST_EMULATED_ENGINE_H_

#include <memory>
#include <string>

#include "runtime/socket.h"

namespace lemoncroft::fault_test {

class EmulatedEngine {
 public:
  EmulatedEngine(runtime::Loop& loop, const runtime::Address& address, runtime::Duration work)
      : loop_(loop), listener_(loop, address), work_(work) {}
  void Start();

 private:
  runtime::Task<> Serve(std::unique_ptr<runtime::Socket> socket);
  runtime::Task<bool> ReadBody(runtime::Socket& socket, std::string& buffer, const std::string& head);

  runtime::Loop& loop_;
  runtime::Listener listener_;
  runtime::Duration work_;
};

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_EMULATED_ENGINE_H_
