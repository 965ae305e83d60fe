#include "frontend/frame_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>

#include "codec/statement.h"

namespace lemoncroft::frontend {

using codec::FrameReader;
using runtime::Io;
using runtime::Now;
using runtime::Span;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kReadAtOnce = 16 * 1024;
constexpr std::size_t kStreamsMost = 32;  // requests open on a connection
constexpr auto kStalled = 5s;             // a client that takes nothing for so long is cut off
constexpr auto kNoDescriptorsPause = 20ms;

std::optional<double> ReadNumber(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(value) || value < 0 || value > 1e9) return std::nullopt;
  return value;
}

// Ids become part of a path on the engines' side.
bool IsId(std::string_view text) {
  const auto fits = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; };
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), fits);
}

Span FromMs(double ms) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

struct FrameServer::Connection {
  std::unique_ptr<runtime::Socket> socket;
  std::string in;
  std::size_t counted = 0;  // of `in`, in the server's total
  FrameReader reader;
  std::string out;  // not yet handed to the writer
  bool writing = false;
  bool closed = false;
  bool end_announced = false;
  std::unordered_map<std::uint32_t, RequestId> streams;  // requests that are owed an answer
  runtime::Gate written, drained;
  runtime::Cancellation stop_reading;
};

// Where the answer to one stream's request goes; the connection may end before it.
class FrameServer::Sink : public broker::AnswerSink {
 public:
  Sink(FrameServer& server, const ConnectionPtr& connection, std::uint32_t stream)
      : server_(server), connection_(connection), stream_(stream) {}

  void Finish(const broker::Answer& answer) override {
    const ConnectionPtr connection = connection_.lock();
    if (!connection || connection->closed) return;
    connection->streams.erase(stream_);
    std::string later;
    codec::FieldViews fields;
    if (answer.come_back > Span::zero()) {
      later = std::to_string(std::chrono::ceil<std::chrono::milliseconds>(answer.come_back).count());
      fields.emplace_back("later", later);
    }
    const std::uint8_t code = answer.verdict == broker::Verdict::kServed    ? codec::kServedCode
                              : answer.verdict == broker::Verdict::kRefused ? codec::kRefusedCode
                                                                            : codec::kFailedCode;
    server_.Append(*connection, codec::kAnswerFrame, stream_, code, fields, answer.rows);
    if (connection->streams.empty()) connection->drained.Open();
  }

 private:
  FrameServer& server_;
  std::weak_ptr<Connection> connection_;
  std::uint32_t stream_;
};

FrameServer::FrameServer(runtime::Loop& loop, const runtime::Address& listen, const settings::Site& site,
                         broker::Broker& broker, Limits limits)
    : loop_(loop),
      site_(site),
      broker_(broker),
      limits_(limits),
      listener_(std::make_unique<runtime::Listener>(loop, listen)) {}

FrameServer::~FrameServer() = default;

Task<> FrameServer::AcceptAll() {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    const Io io = co_await listener_->Accept(socket, &stop_accepting_);
    if (io == Io::kCancelled) break;
    if (io == Io::kNoDescriptors) {  // some will be closed again; the backlog holds the newcomers until then
      co_await loop_.Sleep(kNoDescriptorsPause, &stop_accepting_);
      continue;
    }
    if (open_ >= limits_.connections) continue;  // closed at once: the engines' share of descriptors is kept
    auto connection = std::make_shared<Connection>();
    connection->socket = std::move(socket);
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    connections_.push_back(connection);
    loop_.Spawn(Serve(std::move(connection)));
  }
  listener_.reset();
}

Task<> FrameServer::Serve(ConnectionPtr connection) {
  Connection& c = *connection;
  ++open_;
  loop_.Spawn(WriteOut(connection));
  while (co_await c.socket->Read(c.in, kReadAtOnce, runtime::kNever, &c.stop_reading) == Io::kOk) {
    const bool readable = TakeFrames(connection);
    // Half frames of all clients together are bounded: the one that passes that is cut off, not the process.
    if (!Count(c)) break;
    if (readable) continue;
    // Frames can't be told apart any more. What was taken before is still answered, then the connection ends.
    while (!c.streams.empty() && !c.stop_reading.cancelled()) {
      co_await runtime::Waiter(loop_, &c.drained, runtime::kNever, &c.stop_reading);
    }
    break;
  }
  Abandon(c);
  c.in = std::string();
  Count(c);
  c.closed = true;
  c.written.Open();
  --open_;
}

bool FrameServer::Count(Connection& c) {
  if (c.in.empty() && c.in.capacity() > 4 * kReadAtOnce) c.in = std::string();
  unparsed_ += c.in.size() - c.counted;
  c.counted = c.in.size();
  return unparsed_ <= limits_.unparsed_of_all;
}

// Writes what has been appended, all that came within a round of the loop at once.
Task<> FrameServer::WriteOut(ConnectionPtr connection) {
  Connection& c = *connection;
  while (!c.out.empty() || !c.closed) {
    if (c.out.empty()) {
      co_await runtime::Waiter(loop_, &c.written, runtime::kNever);
      continue;
    }
    std::string bytes;
    bytes.swap(c.out);
    c.writing = true;
    unread_ += bytes.size();
    std::size_t written = 0;
    const Io io = co_await c.socket->Write(bytes, written, Now() + kStalled);
    unread_ -= bytes.size();
    c.writing = false;
    if (io == Io::kOk) continue;
    c.stop_reading.Cancel();
    co_return;
  }
}

void FrameServer::Append(Connection& c, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
                         const codec::FieldViews& fields, std::string_view body) {
  codec::WriteAnswer(c.out, type, stream, code, fields, body);
  // A client that leaves its answers unread is cut off, before all of them together are too much.
  if (c.out.size() > limits_.unread || c.out.size() + unread_ > limits_.unread_by_all)
    c.stop_reading.Cancel();
  c.written.Open();
}

void FrameServer::Abandon(Connection& c) {
  for (const auto& [stream, id] : c.streams) broker_.Abandon(id);
  c.streams.clear();
}

bool FrameServer::TakeFrames(const ConnectionPtr& connection) {
  Connection& c = *connection;
  codec::Frame frame;
  FrameReader::Result result = FrameReader::Result::kNeedMore;
  while ((result = c.reader.Next(c.in, frame)) == FrameReader::Result::kFrame) TakeFrame(connection, frame);
  c.reader.Compact(c.in);
  if (result != FrameReader::Result::kBadLength) return true;
  Append(c, codec::kAnswerFrame, 0, codec::kFailedCode, {}, "frame length out of range");
  return false;
}

void FrameServer::TakeFrame(const ConnectionPtr& connection, const codec::Frame& frame) {
  Connection& c = *connection;
  switch (frame.type) {
    case codec::kRequestFrame:
      TakeRequest(connection, frame);
      break;
    case codec::kCancelFrame:
      if (const auto it = c.streams.find(frame.stream); it != c.streams.end()) {
        broker_.Abandon(it->second);
        c.streams.erase(it);
      }
      break;
    case codec::kReadyAskFrame:
      Append(c, codec::kReadyFrame, frame.stream,
             ready_ && !ending_ ? codec::kServedCode : codec::kRefusedCode);
      break;
    default:
      Append(c, codec::kAnswerFrame, 0, codec::kFailedCode, {}, "unknown frame type");
  }
}

void FrameServer::TakeRequest(const ConnectionPtr& connection, const codec::Frame& frame) {
  Connection& c = *connection;
  // On a stream that is in use an answer would be taken for the other request's.
  if (frame.stream == 0 || c.streams.contains(frame.stream)) {
    return Append(c, codec::kAnswerFrame, 0, codec::kFailedCode, {}, "stream number in use or 0");
  }
  broker::ClientRequest request;
  const auto fields = codec::ReadFields(frame.payload);
  const std::string wrong = fields ? Describe(*fields, request) : "malformed fields";
  if (!wrong.empty()) {
    return Append(c, codec::kAnswerFrame, frame.stream, codec::kFailedCode, {}, wrong);
  }
  if (c.streams.size() >= kStreamsMost) {
    return Append(c, codec::kAnswerFrame, frame.stream, codec::kRefusedCode, {}, "too many open requests");
  }
  c.streams.emplace(frame.stream, 0);
  const RequestId id =
      broker_.Take(std::move(request), std::make_unique<Sink>(*this, connection, frame.stream));
  // It may have been answered within the call.
  if (const auto it = c.streams.find(frame.stream); it != c.streams.end()) it->second = id;
}

std::string FrameServer::Describe(const codec::Fields& fields, broker::ClientRequest& out) const {
  const auto index = [](const std::vector<std::string>& names, std::string_view name) {
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
  };
  const std::string_view verb = fields.Get("verb");
  const std::size_t klass = index(site_.classes, verb);
  if (klass >= site_.classes.size()) return "unknown class";
  const std::string_view team = fields.Get("team");
  const std::size_t tenant = index(site_.tenants, team);
  if (!team.empty() && tenant >= site_.tenants.size()) return "unknown tenant";
  if (!IsId(fields.Get("txn"))) return "unusable txn";
  const auto limit = fields.Get("limit").empty()
                         ? std::optional(static_cast<double>(site_.module.classes[klass].deadline) / 1e6)
                         : ReadNumber(fields.Get("limit"));
  const auto cpu = fields.Get("cpu").empty() ? std::optional(0.0) : ReadNumber(fields.Get("cpu"));
  const auto heap = fields.Get("heap_mb").empty() ? std::optional(0.0) : ReadNumber(fields.Get("heap_mb"));
  if (!limit || !cpu || !heap) return "unreadable number";
  out.klass = static_cast<std::uint16_t>(klass);
  out.tenant = team.empty() ? 0 : static_cast<std::uint16_t>(tenant);
  out.deadline = Now() + FromMs(*limit);
  out.est_work = FromMs(*cpu);
  out.est_memory_mb = *heap;
  out.tables = codec::TableGroup(fields.body);
  out.passed.id = fields.Get("txn");
  out.passed.lane = verb;
  out.passed.dedupe = fields.Get("unique");
  out.passed.statement = fields.body;
  return {};
}

void FrameServer::AnnounceEnd() {
  ending_ = true;
  for (const auto& weak : connections_) {
    const ConnectionPtr connection = weak.lock();
    if (!connection || connection->closed || connection->end_announced) continue;
    connection->end_announced = true;
    codec::WriteFrame(connection->out, codec::kDrainFrame, 0);
    connection->written.Open();
  }
}

void FrameServer::StopAccepting() { stop_accepting_.Cancel(); }

bool FrameServer::flushed() const {
  return std::all_of(connections_.begin(), connections_.end(), [](const auto& weak) {
    const ConnectionPtr c = weak.lock();
    return !c || c->closed || (c->out.empty() && !c->writing);
  });
}

}  // namespace lemoncroft::frontend
