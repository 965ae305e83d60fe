// An HTTP server in a scenario: an engine or the control feed.
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

  // Runs a step `expect METHOD PATH [NAME=VALUE...]` or `expect nothing METHOD MILLISECONDS`.
  void Expect(const Words& words);
  // Responds to the last expected request, or to its repetition if the caller has closed its connection
  // meanwhile: `send STATUS [NAME=VALUE...]` or `send raw TEXT`.
  void Send(const Words& words);
  // Resets the connection of the last expected request. `close all` resets all connections and closes the
  // listening socket, as happens when a process dies.
  void Close(const Words& words);

 private:
  struct Connection {
    runtime::Descriptor fd;
    std::string in;
  };
  struct Request {
    int connection = 0;
    std::string text;
  };

  std::optional<Request> AwaitRequest(const std::string& method, const std::string& path,
                                      std::chrono::milliseconds timeout);
  // Accepts connections and reads from them; moves complete requests to requests_. Returns false once the
  // deadline has passed.
  bool Poll(Clock::time_point deadline);
  // Returns false if the connection has ended.
  bool ReadRequests(int number, Connection& connection);
  // Returns when the connection of the last expected request, or of a repetition of it, is open.
  void AwaitRepetition();
  std::string PendingRequests() const;

  ListeningSocket listening_ = Listen();
  std::map<int, Connection> connections_;
  std::vector<Request> requests_;
  int next_connection_ = 0, last_connection_ = -1;  // numbers of connections
  std::string last_request_line_;                   // of the last expected request, without the version
};

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_SERVER_H_
