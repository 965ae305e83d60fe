// A client connection in a scenario: sends frames and checks the responses.
#ifndef LEMONCROFT_TESTS_SCENARIO_CLIENT_H_
#define LEMONCROFT_TESTS_SCENARIO_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include "codec/frame.h"
#include "runtime/descriptor.h"
#include "scenario.h"

namespace lemoncroft::scenario {

class Client {
 public:
  explicit Client(int port);

  // Runs a step `send KIND ...`; KIND is request, ready, cancel, half, bytes, junk or flood
  // (docs/scenarios.md).
  void Send(const Words& words);
  // Runs a step `expect KIND ...`; KIND is answer, estimate, ready, drain, nothing, closed or end.
  void Expect(const Words& words);

 private:
  void SendRequest(const Words& words, std::uint32_t stream);
  void StartFlood(const Words& words);
  void ExpectClosed();
  void ExpectCleanEnd();
  void ExpectFrame(const Words& words);
  // Reads the next frame. Returns false if none arrives within the timeout or the connection has ended.
  bool ReadFrame(codec::Frame& frame, std::chrono::milliseconds timeout);
  // Sends readiness requests without a pause and reads all responses.
  void Flood(std::chrono::milliseconds duration);

  runtime::Descriptor fd_;
  codec::FrameReader reader_;
  std::string in_;
  bool ended_ = false, reset_ = false;
  std::jthread flood_;  // declared last, since it uses the other members
};

}  // namespace lemoncroft::scenario

#endif  // LEMONCROFT_TESTS_SCENARIO_CLIENT_H_
