#include "testing/fault_test/load.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>

#include "codec/frame.h"

namespace lemoncroft::fault_test {

using namespace std::chrono_literals;
using runtime::Io;
using runtime::Now;
using runtime::Task;

namespace {

constexpr std::size_t kMaxHeadBytes = 16384;
constexpr auto kConnectTimeout = 500ms, kWriteTimeout = 1000ms, kReconnectInterval = 50ms;
constexpr auto kFeedPollTimeout = 2000ms, kFeedPollInterval = 10ms;
constexpr const char* kRow = "a\tb\tc\n";

std::string Header(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

}  // namespace

EmulatedEngine::EmulatedEngine(runtime::Loop& loop, const runtime::Address& at, runtime::Span work)
    : loop_(loop), listener_(loop, at), work_(work) {}

Task<> EmulatedEngine::Accept() {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    const Io io = co_await listener_.Accept(socket);
    if (io == Io::kCancelled) co_return;
    if (io == Io::kOk) loop_.Spawn(Serve(std::move(socket)));
    co_await loop_.NextTurn();
  }
}

Task<> EmulatedEngine::Serve(std::unique_ptr<runtime::Socket> socket) {
  for (std::string in;;) {
    std::size_t end = 0;
    while ((end = in.find("\r\n\r\n")) == std::string::npos) {
      if (in.size() > kMaxHeadBytes || co_await socket->Read(in, 4096, runtime::kNever) != Io::kOk) co_return;
    }
    const std::string head = in.substr(0, end + 2);
    const std::size_t body = std::strtoul(Header(head, "Content-Length").c_str(), nullptr, 10);
    while (in.size() < end + 4 + body)
      if (co_await socket->Read(in, 4096, runtime::kNever) != Io::kOk) co_return;
    in.erase(0, end + 4 + body);
    std::string answer = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
    if (head.starts_with("POST")) {
      ++executed_;
      if (++ids_[Header(head, "X-Txn")] > 1) ++executed_twice_;
      co_await loop_.Sleep(work_);
      answer = "HTTP/1.1 200 OK\r\nChunks: 1\r\nElapsed-Work: 5\r\nHigh-Water: 1\r\nContent-Length: " +
               std::to_string(std::string(kRow).size()) + "\r\n\r\n" + kRow;
    } else if (head.starts_with("GET /healthz")) {
      answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }
    std::size_t written = 0;
    if (co_await socket->Write(answer, written, Now() + kWriteTimeout) != Io::kOk) co_return;
  }
}

void EmulatedControlFeed::Publish(const std::string& members) {
  const std::string number = std::to_string(events_.size() + 1);
  events_.push_back("{\"n\":" + number + ",\"members\":{\"revision\":" + number + ",\"complete\":" +
                    (events_.empty() ? "true" : "false") + ",\"members\":[" + members + "]}}");
}

std::string EmulatedControlFeed::EventsAfter(std::size_t number) const {
  std::string out = "{\"n\":" + std::to_string(events_.size()) + ",\"events\":[";
  for (std::size_t i = number; i < events_.size(); ++i) out += (i > number ? "," : "") + events_[i];
  return out + "]}";
}

std::string EmulatedControlFeed::KnownEvents() const { return EventsAfter(0); }

Task<> EmulatedControlFeed::Accept() {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    const Io io = co_await listener_.Accept(socket);
    if (io == Io::kCancelled) co_return;
    if (io == Io::kOk) loop_.Spawn(Serve(std::move(socket)));
    co_await loop_.NextTurn();
  }
}

Task<> EmulatedControlFeed::Serve(std::unique_ptr<runtime::Socket> socket) {
  for (std::string in;;) {
    std::size_t end = 0;
    while ((end = in.find("\r\n\r\n")) == std::string::npos)
      if (in.size() > kMaxHeadBytes || co_await socket->Read(in, 4096, runtime::kNever) != Io::kOk) co_return;
    const std::size_t since = in.find('=');
    const std::size_t number = std::strtoul(in.c_str() + std::min(end, since) + 1, nullptr, 10);
    in.erase(0, end + 4);
    const runtime::Time last = Now() + kFeedPollTimeout;
    while (events_.size() <= number && Now() < last) co_await loop_.Sleep(kFeedPollInterval);
    const std::string body = EventsAfter(std::min(number, events_.size()));
    std::size_t written = 0;
    if (co_await socket->Write(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, written,
            Now() + kWriteTimeout) != Io::kOk)
      co_return;
  }
}

std::string LoadClient::Request(std::uint32_t stream) {
  char id[17];
  std::snprintf(id, sizeof id, "%08x%08llx", number_, static_cast<unsigned long long>(++requests_));
  const std::pair<const char*, std::string> fields[] = {{"verb", "lookup"}, {"txn", id},    {"limit", "2000"},
                                                        {"team", "acme"},   {"cpu", "5.0"}, {"heap_mb", "1"}};
  std::string payload(1, static_cast<char>(std::size(fields)));
  for (const auto& [name, value] : fields) {
    payload += static_cast<char>(std::string(name).size());
    payload += name;
    payload += static_cast<char>(value.size());
    payload += '\0';
    payload += value;
  }
  std::string frame;
  codec::WriteFrame(frame, codec::kRequestFrame, stream, payload + "select 1");
  return frame;
}

Task<> LoadClient::SendRequests() {
  const auto beat = std::chrono::duration_cast<runtime::Span>(std::chrono::duration<double>(1 / per_second_));
  std::shared_ptr<runtime::Socket> socket;
  for (runtime::Time next = Now(); !stopped_; next = std::max(next + beat, Now())) {
    co_await loop_.SleepUntil(next);
    if (!connected_ || draining_) {
      std::unique_ptr<runtime::Socket> made;
      const Io io = co_await Connect(loop_, to_, Now() + kConnectTimeout, nullptr, made);
      if (io != Io::kOk) {
        ++counts_.connect_failures;
        co_await loop_.Sleep(kReconnectInterval);
        continue;
      }
      // What is open on the connection before is answered there.
      socket = std::move(made);
      connected_ = true;
      draining_ = false;
      loop_.Spawn(ReceiveResponses(socket, ++connection_));
    }
    if (open_requests_.size() >= kMaxOpenRequests) continue;
    const std::uint32_t stream = next_stream_++;
    open_requests_.emplace(connection_, stream);
    ++counts_.sent;
    std::size_t written = 0;
    co_await socket->Write(Request(stream), written, Now() + kWriteTimeout);
  }
}

Task<> LoadClient::ReceiveResponses(std::shared_ptr<runtime::Socket> socket, std::uint64_t connection) {
  codec::FrameReader reader;
  std::string in;
  for (;;) {
    codec::Frame frame;
    while (reader.Next(in, frame) == codec::FrameReader::Result::kFrame) {
      if (frame.type == codec::kDrainFrame && connection == connection_) draining_ = true;
      if (frame.type != codec::kAnswerFrame) continue;
      if (open_requests_.erase({connection, frame.stream}) == 0) {
        ++counts_.duplicate_responses;
        continue;
      }
      const auto code = static_cast<std::uint8_t>(frame.payload.empty() ? 255 : frame.payload[0]);
      ++(code == codec::kServedCode    ? counts_.served
         : code == codec::kRefusedCode ? counts_.rejected
                                       : counts_.failed);
    }
    reader.Compact(in);
    if (co_await socket->Read(in, 16384, runtime::kNever) != Io::kOk) break;
  }
  if (connection == connection_) connected_ = false;
  counts_.lost_with_connection +=
      std::erase_if(open_requests_, [&](const auto& one) { return one.first == connection; });
}

}  // namespace lemoncroft::fault_test
