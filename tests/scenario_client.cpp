#include "scenario_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <map>
#include <optional>
#include <stdexcept>
#include <string_view>

#include "scenario_socket.h"
#include "scenario_step.h"

namespace lemoncroft::scenario {

using namespace std::chrono_literals;

namespace {

constexpr auto kResetTimeout = 100ms;  // for a reset that follows the end of a connection

// One byte of flags, none of which is set.
constexpr std::string_view kReadyPayload("\0", 1);

std::string KindOf(const codec::Frame& frame) {
  switch (frame.type) {
    case codec::kResponseFrame:
      return "answer";
    case codec::kReadinessResponseFrame:
      return "ready";
    case codec::kWaitNoticeFrame:
      return "estimate";
    default:
      return "drain";
  }
}

std::string EncodeFields(const std::map<std::string, std::string>& fields) {
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    payload += static_cast<char>(name.size()) + name;
    payload += static_cast<char>(value.size() & 0xff);
    payload += static_cast<char>(value.size() >> 8);
    payload += value;
  }
  return payload;
}

}  // namespace

Client::Client(int port) : fd_(ConnectTo(port, "cannot connect to the client address")) {}

void Client::Send(const Words& words) {
  const std::string& kind = words[2];
  if (kind == "bytes") {
    SendAll(fd_.get(), words[3]);
    return;
  }
  if (kind == "junk") {
    // A reset is reported by the first send or read after it.
    reset_ = !SendAll(fd_.get(), std::string(std::stoul(words[3]), '\xff'));
    return;
  }
  if (kind == "flood") return StartFlood(words);
  std::string out;
  if (kind == "half") {
    codec::WriteFrame(out, codec::kRequestFrame, 1, std::string(std::stoul(words[3]), 'x'));
    out.pop_back();
    SendAll(fd_.get(), out);
    return;
  }
  const auto stream = static_cast<std::uint32_t>(std::stoul(words[3]));
  if (kind == "request") return SendRequest(words, stream);
  if (kind == "ready")
    codec::WriteFrame(out, codec::kReadinessRequestFrame, stream, kReadyPayload);
  else
    codec::WriteFrame(out, codec::kCancelFrame, stream, {});
  SendAll(fd_.get(), out);
}

void Client::SendRequest(const Words& words, std::uint32_t stream) {
  const NamedArguments arguments(words, 4);
  std::map<std::string, std::string> fields = {
      {"verb", "lookup"}, {"limit", "2000"}, {"team", "acme"}, {"cpu", "100.0"}, {"heap_mb", "8"}};
  fields["txn"] = std::string(16 - words[3].size(), '0') + words[3];
  for (const auto& [name, value] : arguments.values) fields[name] = value;
  std::string out;
  codec::WriteFrame(out, codec::kRequestFrame, stream,
                    EncodeFields(fields) + arguments.body.value_or("select 1"));
  SendAll(fd_.get(), out);
}

void Client::StartFlood(const Words& words) {
  const auto duration = std::chrono::milliseconds(std::stoi(words[3]));
  if (words.size() == 4) return Flood(duration);
  flood_ = std::jthread([this, duration] {
    try {
      Flood(duration);
    } catch (const std::runtime_error&) {  // the program ended first, with the scenario
    }
  });
}

void Client::Expect(const Words& words) {
  if (words[2] == "closed") return ExpectClosed();
  if (words[2] == "end") return ExpectCleanEnd();
  if (words[2] == "nothing") {
    codec::Frame frame;
    if (ReadFrame(frame, std::chrono::milliseconds(std::stoi(words[3]))))
      Fail("received a frame, but expected none");
    return;
  }
  ExpectFrame(words);
}

void Client::ExpectClosed() {
  codec::Frame frame;
  if (ReadFrame(frame, kExpectTimeout)) Fail("received a frame, but expected the end of the connection");
  if (!ended_) Fail("the connection was not closed");
}

// Checks that the connection ends without a reset, which could destroy data sent before the end.
void Client::ExpectCleanEnd() {
  codec::Frame frame;
  if (ReadFrame(frame, kExpectTimeout)) Fail("received a frame, but expected the end of the connection");
  if (!ended_) Fail("the connection has not ended");
  // A reset after the end is reported only as an error of the socket.
  pollfd p{fd_.get(), 0, 0};
  ::poll(&p, 1, static_cast<int>(kResetTimeout.count()));
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (reset_ || error != 0 || (p.revents & POLLERR) != 0) Fail("the connection was reset");
}

void Client::ExpectFrame(const Words& words) {
  const std::string& expected = words[2];
  const NamedArguments arguments(words, expected == "answer" ? 5 : expected == "drain" ? 3 : 4);
  codec::Frame frame;
  if (!ReadFrame(frame, arguments.Timeout(kExpectTimeout)))
    Fail(ended_ ? "the connection was closed before the expected frame"
                : "no frame arrived within the timeout");
  const std::string kind = KindOf(frame);
  ExpectEqual("frame", kind, expected);
  if (kind == "drain") return;
  if (kind != "ready") ExpectEqual("stream", std::to_string(frame.stream), words[3]);
  const std::string code = std::to_string(static_cast<int>(frame.payload.at(0)));
  ExpectEqual("code", code, kind == "estimate" ? "0" : words[kind == "answer" ? 4 : 3]);
  const auto fields = codec::ReadFields(frame.payload.substr(1));
  if (!fields) Fail("the fields of the response are malformed");
  for (const auto& [name, value] : arguments.values) {
    const std::string_view actual = fields->Get(name);
    const bool differs = value == "some" ? actual.empty() : name != "within" && actual != value;
    if (differs) ExpectEqual(name, std::string(actual), value);
  }
  if (arguments.body) ExpectEqual("body", std::string(fields->body), *arguments.body);
}

bool Client::ReadFrame(codec::Frame& frame, std::chrono::milliseconds timeout) {
  reader_.Compact(in_);
  const auto until = Clock::now() + timeout;
  while (reader_.Next(in_, frame) != codec::FrameReader::Result::kFrame) {
    pollfd p{fd_.get(), POLLIN, 0};
    if (ended_ || ::poll(&p, 1, MillisecondsUntil(until)) <= 0) return false;
    ended_ = !ReadSome(fd_.get(), in_);
    reset_ = reset_ || (ended_ && errno == ECONNRESET);
  }
  return true;
}

void Client::Flood(std::chrono::milliseconds duration) {
  std::string requests, responses;
  for (int i = 0; i < 1000; ++i)
    codec::WriteFrame(requests, codec::kReadinessRequestFrame, 1, std::string_view("\0", 1));
  std::size_t at = 0;
  for (auto until = Clock::now() + duration;;) {
    const bool more = Clock::now() < until || at > 0;
    const ssize_t n =
        more ? ::send(fd_.get(), requests.data() + at, requests.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT) : 0;
    if (n > 0) at = (at + static_cast<std::size_t>(n)) % requests.size();
    pollfd p{fd_.get(), POLLIN, 0};
    const bool readable = ::poll(&p, 1, n > 0 ? 0 : more ? 1 : 300) > 0;
    if (readable && !ReadSome(fd_.get(), responses)) Fail("the connection was closed during the flood");
    if (!readable && !more) return;
    responses.clear();
  }
}

}  // namespace lemoncroft::scenario
