// Functions that the emulated servers of a trial share: they accept connections, read the heads of HTTP
// requests and write responses.
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
// all objects that `serve` refers to must outlive the tasks.
runtime::Task<> AcceptConnections(runtime::Loop& loop, runtime::Listener& listener, ConnectionHandler serve);

// Reads into `buffer` until it starts with a complete HTTP request head. Returns the head, up to the line
// end of its last line, and does not remove it from the buffer. Returns nullopt if the connection ended or
// the head is too long.
runtime::Task<std::optional<std::string>> ReadRequestHead(runtime::Socket& socket, std::string& buffer);

// Size of the separator between the head and the body of a request.
inline constexpr std::size_t kHeadSeparatorBytes = 2;

// Returns the value of a header in such a head; empty if the head has no such header. Header names are
// case-sensitive.
std::string HeaderValue(const std::string& head, const std::string& name);

// Writes a complete HTTP response. Returns false if the connection ended.
runtime::Task<bool> WriteResponse(runtime::Socket& socket, std::string response);

}  // namespace lemoncroft::fault_test

#endif  // LEMONCROFT_TESTING_FAULT_TEST_TCP_SERVER_H_
