#include "scenario_admin_client.h"

#include <poll.h>

#include <thread>

#include "scenario_socket.h"
#include "scenario_step.h"

namespace lemoncroft::scenario {

using namespace std::chrono_literals;

namespace {
constexpr auto kBytePause = 2ms;
}  // namespace

AdminClient::AdminClient(int port) : fd_(ConnectTo(port, "cannot connect to the admin address")) {}

void AdminClient::Send(const Words& words) {
  const std::string& kind = words[2];
  if (kind == "flood") {
    SendAll(fd_.get(), std::string(std::stoul(words.at(3)), 'x'));
    return;
  }
  if (kind == "bytes") {
    SendAll(fd_.get(), words.at(3));
    return;
  }
  for (const char c : words.at(3)) {
    SendAll(fd_.get(), std::string(1, c));
    std::this_thread::sleep_for(kBytePause);
  }
}

std::string AdminClient::ReadReply(std::chrono::milliseconds timeout) {
  std::string in;
  const auto until = Clock::now() + timeout;
  for (pollfd p{fd_.get(), POLLIN, 0}; ::poll(&p, 1, MillisecondsUntil(until)) > 0;) {
    if (!ReadSome(fd_.get(), in)) return in;
  }
  Fail("the reply was not complete within the timeout; received so far: " + in);
}

}  // namespace lemoncroft::scenario
