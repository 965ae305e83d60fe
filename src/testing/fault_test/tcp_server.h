// What the emulated servers of a trial have in common: accepting connections and reading the heads of HTTP
// requests.
#ifndef LEMONCROFT_TESTING_FAULT_TEST_TCP_SERVER_H_
#define LEMONCROFT_TESTING_FAULT_TEST_TCP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "runtime/socket.h"

namespace lemoncroft::fault_test {

using ConnectionHandler = std::function<runtime::Task<>(std::unique_ptr<runtime::Socket>)>;

// Spawns `serve` for each connection until the wait for connections is cancelled. `loop`, `listener` and
// what `serve` refers to must outlive the tasks.
runtime::Task<> AcceptConnections(runtime::Loop& loop, runtime::Listener& listener, ConnectionHandler serve);

// Reads into `buffer` until it starts with a whole HTTP request head. Returns the head, up to the line end
// of its last line, and leaves the buffer as it is; nothing if the connection ended or the head is too
// long.
runtime::Task<std::optional<std::string>> ReadRequestHead(runtime::Socket& socket, std::string& buffer);

// Between the head and the body of a request.
inline constexpr std::size_t kHeadSeparatorBytes = 2;

// The value of a header in such a head; empty if it has none. Names are compared with case.
std::string HeaderValue(const std::string& head, const std::string& name);

// Writes an HTTP response whole. Returns false if the connection ended.
runtime::Task<bool> WriteResponse(runtime::Socket& socket, std::string response);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_TCP_SERVER_H_
