#include "scenario_server.h"

#include <poll.h>
#include <sys/socket.h>

#include "scenario_step.h"

namespace lemoncroft::scenario {

namespace {
constexpr std::string_view kHttpVersion = " HTTP/1.1";
}

using runtime::Descriptor;

void Server::Expect(const Words& words) {
  if (words[2] == "nothing") {
    if (AwaitRequest(words[3], "", std::chrono::milliseconds(std::stoi(words[4]))))
      Fail("received an unexpected request: " + words[3]);
    return;
  }
  const NamedArguments arguments(words, 4);
  const auto request =
      AwaitRequest(words[2], words.size() > 3 ? words[3] : "", arguments.Timeout(kExpectTimeout));
  if (!request) Fail("the expected request did not arrive; pending requests: " + PendingRequests());
  last_connection_ = request->connection;
  last_request_line_ = request->text.substr(0, request->text.find(kHttpVersion));
  const std::size_t end = request->text.find("\r\n\r\n");
  for (const auto& [name, value] : arguments.values) {
    if (name == "within") continue;
    const std::size_t at = request->text.find("\r\n" + name + ": ");
    const std::size_t from = at + name.size() + 4;
    const bool present = at < end;
    ExpectEqual(name, present ? request->text.substr(from, request->text.find("\r\n", from) - from) : "-",
                value);
  }
  if (arguments.body) ExpectEqual("body", request->text.substr(end + 4), *arguments.body);
}

void Server::Send(const Words& words) {
  while (Poll(Clock::now())) {
  }
  AwaitRepetition();
  const int fd = connections_.at(last_connection_).fd.get();
  if (words[2] == "raw") {
    SendAll(fd, words.at(3));
    return;
  }
  const NamedArguments arguments(words, 3);
  std::string out = "HTTP/1.1 " + words[2] + " X\r\n";
  for (const auto& [name, value] : arguments.values) out += name + ": " + value + "\r\n";
  const std::string body = arguments.body.value_or("");
  if (words[2] != "204") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  SendAll(fd, out + "\r\n" + body);
}

void Server::AwaitRepetition() {
  while (!connections_.contains(last_connection_)) {
    const std::size_t blank = last_request_line_.find(' ');
    const auto request = AwaitRequest(last_request_line_.substr(0, blank),
                                      last_request_line_.substr(blank + 1), kExpectTimeout);
    if (!request) Fail("the caller gave up and didn't repeat " + last_request_line_);
    last_connection_ = request->connection;
  }
}

void Server::Close(const Words& words) {
  const bool all = words[2] == "all";
  for (auto& [number, connection] : connections_) {
    if (!all && number != last_connection_) continue;
    const linger reset_on_close{1, 0};
    ::setsockopt(connection.fd.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    connection.fd = Descriptor();
  }
  std::erase_if(connections_, [](const auto& c) { return !c.second.fd; });
  if (all) listening_.fd = Descriptor();
}

std::optional<Server::Request> Server::AwaitRequest(const std::string& method, const std::string& path,
                                                    std::chrono::milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  const std::string start = method + " " + (path.empty() ? "" : path + " ");
  for (;;) {
    for (auto it = requests_.begin(); it != requests_.end(); ++it) {
      if (!it->text.starts_with(start)) continue;
      const Request request = *it;
      requests_.erase(it);
      return request;
    }
    if (!Poll(deadline)) return std::nullopt;
  }
}

bool Server::Poll(Clock::time_point deadline) {
  std::vector<pollfd> polls = {{listening_.fd.get(), POLLIN, 0}};
  std::vector<int> numbers = {-1};
  for (auto& [number, connection] : connections_) {
    polls.push_back({connection.fd.get(), POLLIN, 0});
    numbers.push_back(number);
  }
  if (::poll(polls.data(), polls.size(), MillisecondsUntil(deadline)) <= 0) return false;
  if ((polls[0].revents & POLLIN) != 0)
    connections_[next_connection_++].fd =
        Descriptor(::accept4(listening_.fd.get(), nullptr, nullptr, SOCK_CLOEXEC));
  for (std::size_t i = 1; i < polls.size(); ++i) {
    if (polls[i].revents == 0) continue;
    if (!ReadRequests(numbers[i], connections_.at(numbers[i]))) connections_.erase(numbers[i]);
  }
  return true;
}

bool Server::ReadRequests(int number, Connection& connection) {
  if (!ReadSome(connection.fd.get(), connection.in)) return false;
  std::string& in = connection.in;
  const std::size_t end = in.find("\r\n\r\n");
  if (end == std::string::npos) return true;
  const std::size_t content_length = in.find("Content-Length: ");
  const std::size_t body = content_length < end ? std::stoul(in.substr(content_length + 16)) : 0;
  if (in.size() < end + 4 + body) return true;
  requests_.push_back({number, in.substr(0, end + 4 + body)});
  in.erase(0, end + 4 + body);
  return true;
}

std::string Server::PendingRequests() const {
  std::string out;
  for (const Request& request : requests_) out += request.text.substr(0, request.text.find("\r\n")) + "; ";
  return out;
}

}  // namespace lemoncroft::scenario
