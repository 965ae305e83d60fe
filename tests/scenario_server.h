// An HTTP server of a scenario: an engine, or the control feed.
#ifndef LEMONCROFT_TESTS_SCENARIO_SERVER_H_
#define LEMONCROFT_TESTS_SCENARIO_SERVER_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/descriptor.h"
#include "scenario.h"
#include "scenario_socket.h"

namespace lemoncroft::scenario {

class Server {
 public:
  int port() const { return listening_.port; }

  // `expect METHOD PATH [NAME=VALUE...]`, or `expect nothing METHOD MILLISECONDS`.
  void Expect(const Words& words);
  // Responds to the last expected call: `send STATUS [NAME=VALUE...]`, or `send raw TEXT`.
  void Send(const Words& words);
  // Resets the last connection, or all and the listener (`close all`), as when a process dies.
  void Close(const Words& words);

 private:
  struct Connection {
    runtime::Descriptor fd;
    std::string in;
  };
  struct Call {
    int connection = 0;
    std::string text;
  };

  std::optional<Call> Await(const std::string& method, const std::string& path,
                            std::chrono::milliseconds timeout);
  // Accepts and reads; moves complete calls to calls_. Returns false once the deadline has passed.
  bool Poll(Clock::time_point deadline);
  // Returns false if the connection has ended.
  bool ReadCalls(int number, Connection& connection);
  std::string PendingCalls() const;

  ListeningSocket listening_ = Listen();
  std::map<int, Connection> connections_;
  std::vector<Call> calls_;
  int next_ = 0, last_ = -1;  // numbers of connections
};

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_SERVER_H_
