#include "frontend/frame_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "codec/order_key.h"
#include "codec/statement.h"
#include "runtime/lingering_close.h"

namespace lemoncroft::frontend {

using codec::FrameReader;
using runtime::Io;
using runtime::Now;
using runtime::Span;
using runtime::Task;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kReadAtOnce = 16 * 1024;
constexpr std::size_t kMaxStreams = 32;  // requests open on a connection
constexpr auto kStalled = 5s;            // a client that takes nothing for so long is cut off
constexpr auto kNoDescriptorsPause = 20ms;
constexpr int kAcceptsATurn = 16;
// A client that says nothing, or leaves a frame half, is let go: by then it is owed an answer or a close.
constexpr auto kFrameWithin = 2000ms;
constexpr auto kNewFor = 30ms;  // too new to be called silent where descriptors are short
constexpr auto kRoomWithin = 500ms, kRoomPause = 10ms;  // of a newcomer that finds all connections busy
constexpr auto kTellEvery = 10s;                        // in the log, at the most
constexpr auto kLinger = 500ms;                         // for a client's own end, once its connection is shut
constexpr auto kMinLinger = 50ms;  // likewise where descriptors are short: a round trip and more
// One that goes on sending what can't be used is read this much more slowly, so that others are not.
constexpr int kErrorsFree = 8;
constexpr auto kErrorPause = 25ms;

constexpr double kMaxWorkFactor = 100;   // estimates past this many times the class's deadline are no figures
constexpr double kMaxMemoryFactor = 16;  // likewise, times the largest engine's memory
constexpr double kMaxTimeoutFactor = 10;  // likewise, a client's patience, times the class's deadline

std::optional<double> ReadNumber(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

// Ids become part of a path on the engines' side: 16 hex digits.
bool IsId(std::string_view text) {
  const auto fits = [](unsigned char c) { return std::isxdigit(c) != 0; };
  return text.size() == 16 && std::all_of(text.begin(), text.end(), fits);
}

// Keys become a header's value there.
bool IsKey(std::string_view text) {
  const auto fits = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; };
  return !text.empty() && text.size() <= 128 && std::all_of(text.begin(), text.end(), fits);
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
  runtime::Time opened = Now(), active = Now();
  runtime::Time half_since = runtime::kNever;  // a frame has begun and not come whole
  bool asked = false;                          // properly, at least once
  bool gone = false;                           // the client has ended it: nobody waits for answers
  bool broken = false;                         // nothing can be written any more
  bool unreadable = false;                     // what follows can't be told apart
  bool shut = false;                           // our end of it is over: nothing is taken, nor written
  runtime::Time shut_at{};
  int errors = 0;   // frames that could not be used
  std::string out;  // not yet handed to the writer
  bool writing = false;
  bool closed = false;  // nothing more is appended
  bool end_announced = false;
  std::unordered_map<std::uint32_t, RequestId> streams;  // requests that are owed an answer
  runtime::Gate appended, flushed;
  runtime::Cancellation stop_reading;
  runtime::Cancellation answered;  // nothing is owed on a connection that can't be read any more
  runtime::Cancellation cut;       // its lingering

  bool rests() const { return streams.empty() && out.empty() && !writing; }
};

// Where the answer to one stream's request goes; the connection may end before it.
class FrameServer::Sink : public request::ResponseSink {
 public:
  Sink(FrameServer& server, const ConnectionPtr& connection, std::uint32_t stream)
      : server_(server), connection_(connection), stream_(stream) {}

  void Complete(const request::Response& answer) override {
    const ConnectionPtr connection = connection_.lock();
    if (!connection || connection->closed) return;
    connection->streams.erase(stream_);
    connection->active = Now();
    std::string later;
    codec::FieldViews fields;
    if (answer.retry_after > Span::zero()) {
      later = std::to_string(std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after).count());
      fields.emplace_back("later", later);
    }
    const std::uint8_t code = answer.status == request::ResponseStatus::kServed     ? codec::kServedCode
                              : answer.status == request::ResponseStatus::kRejected ? codec::kRefusedCode
                                                                                    : codec::kFailedCode;
    server_.Append(*connection, codec::kAnswerFrame, stream_, code, fields, answer.rows);
    if (connection->streams.empty() && connection->unreadable) connection->answered.Cancel();
  }

  void NotifyWait(const request::WaitNotice& foretold) override {
    const ConnectionPtr connection = connection_.lock();
    if (!connection || connection->closed) return;
    const auto ms = [](Span span) {
      return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(span).count());
    };
    const std::string wait = ms(foretold.wait), most = ms(foretold.upper_bound);
    server_.Append(*connection, codec::kEstimateFrame, stream_, codec::kServedCode,
                   {{"wait", wait}, {"most", most}});
  }

 private:
  FrameServer& server_;
  std::weak_ptr<Connection> connection_;
  std::uint32_t stream_;
};

FrameServer::FrameServer(runtime::Loop& loop, std::unique_ptr<runtime::Listener> listener,
                         const settings::ActiveSettings& site, broker::Broker& broker,
                         metrics::Counters& counters, Limits limits)
    : loop_(loop),
      site_(site),
      broker_(broker),
      counters_(counters),
      limits_(limits),
      listener_(std::move(listener)) {}

void FrameServer::CountEnd(std::string_view class_id, metrics::End how) {
  if (!site_->ClassOf(class_id)) return;
  counters_.Taken(std::string(class_id));
  counters_.Ended(std::string(class_id), how);
}

FrameServer::~FrameServer() = default;

Task<> FrameServer::AcceptAll() {
  for (int accepted = 1;; ++accepted) {
    if (stop_accepting_.cancelled() && queue_ == Queue::kLeave) break;
    std::unique_ptr<runtime::Socket> socket;
    const Io io = co_await listener_->Accept(socket, &stop_accepting_);
    if (io == Io::kCancelled) break;
    if (io == Io::kNoDescriptors) {  // some will be closed again; the backlog holds the newcomers until then
      MakeRoom();
      co_await loop_.Sleep(kNoDescriptorsPause, &stop_accepting_);
      continue;
    }
    // Those who came first are heard first: a flood of newcomers must not hold up, or push out, who asks.
    if (accepted % kAcceptsATurn == 0) co_await loop_.NextTurn();
    // Past the limit the engines' share of descriptors would shrink. Room is made a little ahead, since what
    // is shut lingers; a newcomer that finds none waits a while for it.
    const runtime::Time until = Now() + kRoomWithin;
    if (connections() + Reserve() >= limits_.connections) MakeRoom();
    while (!HasRoom() && Now() < until && !stop_accepting_.cancelled()) {
      co_await runtime::Waiter(loop_, &room_, std::min(until, Now() + kRoomPause), &stop_accepting_);
      if (!HasRoom()) MakeRoom();
    }
    if (!HasRoom()) {
      TellTurnedAway();
      continue;
    }
    auto connection = std::make_shared<Connection>();
    connection->socket = std::move(socket);
    connections_.push_back(connection);
    loop_.Spawn(Serve(std::move(connection)));
  }
  listener_.reset();
}

bool FrameServer::HasRoom() { return connections() < limits_.connections; }

std::size_t FrameServer::Reserve() const { return limits_.connections / 16; }

std::size_t FrameServer::connections() {
  std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
  return connections_.size();
}

// First one that only lingers. Then the oldest of those that never asked properly, then the one that has been
// idle longest, however short that is: clients that open a connection for every request leave hundreds
// behind. Where nothing is open a proxy may close.
void FrameServer::MakeRoom() {
  const runtime::Time now = Now();
  ConnectionPtr lingers, silent, idle;
  std::size_t going = 0;
  for (const auto& weak : connections_) {
    const ConnectionPtr c = weak.lock();
    if (!c) continue;
    going += c->shut;
    if (c->shut && !c->cut.cancelled() && now - c->shut_at > kMinLinger && !lingers) lingers = c;
    if (c->closed || c->stop_reading.cancelled() || !c->rests()) continue;
    const bool first = c->asked ? c->in.empty() && (!idle || c->active < idle->active)
                                : now - c->opened > kNewFor && !silent;
    if (first && c->socket->Quiet()) (c->asked ? idle : silent) = c;
  }
  if (lingers) return lingers->cut.Cancel();
  if (going < std::max<std::size_t>(1, Reserve()) && (!silent || !Shut(*silent)) && idle) Shut(*idle);
}

// In the same breath as the look for unread bytes: what comes later has crossed the shutdown on its way, and
// its client sends it again.
bool FrameServer::Shut(Connection& c) {
  if (c.closed || !c.rests() || !c.socket->Quiet()) return false;
  c.socket->EndWriting();
  c.shut = c.closed = true;
  c.shut_at = Now();
  c.stop_reading.Cancel();
  return true;
}

void FrameServer::CloseResting() {
  for (const auto& weak : connections_) {
    const ConnectionPtr c = weak.lock();
    if (c && c->in.empty()) Shut(*c);  // half a frame is waited for: its client may believe it taken
  }
}

void FrameServer::TellTurnedAway() {
  ++turned_away_;
  if (Now() - told_turned_away_ < kTellEvery) return;
  spdlog::warn("clients: {} connections turned away so far, all {} are busy", turned_away_,
               limits_.connections);
  told_turned_away_ = Now();
}

// The one place where a client's connection ends.
Task<> FrameServer::Serve(ConnectionPtr connection) {
  Connection& c = *connection;
  loop_.Spawn(WriteOut(connection));
  co_await ReadIn(connection);
  // Nothing more can be taken. What was taken before is still answered, unless nobody is there to hear it.
  if (!c.gone && !c.broken && !c.streams.empty()) co_await DropRest(connection);
  CancelRequest(c);
  c.in = std::string();
  Count(c);
  c.closed = true;
  c.appended.Open();
  while (!c.broken && (!c.out.empty() || c.writing)) {  // the writer gives up where nothing is taken
    co_await runtime::Waiter(loop_, &c.flushed, runtime::kNever);
  }
  if (!c.gone && !c.broken) {
    if (!std::exchange(c.shut, true)) c.shut_at = Now();
    co_await runtime::LingeringClose(loop_, *c.socket, kLinger, &c.cut);
  }
  room_.Open();
}

Task<> FrameServer::DropRest(ConnectionPtr connection) {
  Connection& c = *connection;
  c.unreadable = true;
  std::string dropped;
  for (std::size_t bytes = 0; !c.answered.cancelled(); bytes += dropped.size()) {
    dropped.clear();
    const Io io = co_await c.socket->Read(dropped, kReadAtOnce, runtime::kNever, &c.answered);
    c.gone = io == Io::kClosed;
    if (io != Io::kOk) co_return;
    if (bytes < runtime::kLingerBytes) {
      co_await loop_.NextTurn();
    } else {
      co_await loop_.Sleep(kErrorPause, &c.answered);  // a flood for nothing
    }
  }
}

Task<> FrameServer::ReadIn(ConnectionPtr connection) {
  Connection& c = *connection;
  while (!c.stop_reading.cancelled()) {  // where there is always something to read, nothing else would tell
    const runtime::Time silent = c.asked ? runtime::kNever : c.opened + kFrameWithin;
    const runtime::Time half = c.half_since == runtime::kNever ? c.half_since : c.half_since + kFrameWithin;
    const Io io = co_await c.socket->Read(c.in, kReadAtOnce, std::min(silent, half), &c.stop_reading);
    if (io == Io::kTimeout) co_return Reject(c, 0, "no whole request in time");
    if (io == Io::kCancelled) co_return;
    c.gone = io != Io::kOk;
    if (c.gone) co_return;
    const int errors = c.errors;
    const std::size_t before = c.in.size();
    if (!TakeFrames(connection)) co_return;
    const bool begun = c.half_since == runtime::kNever || c.in.size() < before;
    c.half_since = c.in.empty() ? runtime::kNever : begun ? Now() : c.half_since;
    // Half frames of all clients together are bounded: the one that passes that is cut off, not the process.
    if (!Count(c)) co_return Reject(c, 0, "too much that is not whole");
    if (c.errors > std::max(errors, kErrorsFree)) {
      co_await loop_.Sleep(kErrorPause, &c.stop_reading);
    } else {
      co_await loop_.NextTurn();  // a client that sends without a pause gets a turn like all others
    }
  }
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
  while (!c.broken && (!c.out.empty() || !c.closed)) {
    if (c.out.empty()) {
      co_await runtime::Waiter(loop_, &c.appended, runtime::kNever);
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
    if (io != Io::kOk) CutOff(c);
    c.flushed.Open();
  }
}

// Nobody takes what is written: nothing more is, and what was asked for is given up.
void FrameServer::CutOff(Connection& c) {
  c.broken = true;
  c.out.clear();
  c.stop_reading.Cancel();
  c.answered.Cancel();
  c.appended.Open();
  c.flushed.Open();
}

void FrameServer::Reject(Connection& c, std::uint32_t stream, std::string_view why) {
  ++c.errors;
  Append(c, codec::kAnswerFrame, stream, codec::kFailedCode, {}, why);
}

void FrameServer::Append(Connection& c, std::uint8_t type, std::uint32_t stream, std::uint8_t code,
                         const codec::FieldViews& fields, std::string_view body) {
  if (c.broken || c.shut) return;
  codec::WriteAnswer(c.out, type, stream, code, fields, body);
  c.appended.Open();
  // A client that leaves its answers unread is cut off, before all of them together are too much.
  if (c.out.size() > limits_.unread || c.out.size() + unread_ > limits_.unread_by_all) CutOff(c);
}

void FrameServer::CancelRequest(Connection& c) {
  for (const auto& [stream, id] : c.streams) broker_.CancelRequest(id);
  c.streams.clear();
}

bool FrameServer::TakeFrames(const ConnectionPtr& connection) {
  Connection& c = *connection;
  codec::Frame frame;
  FrameReader::Result result = FrameReader::Result::kNeedMore;
  while ((result = c.reader.Next(c.in, frame)) == FrameReader::Result::kFrame) TakeFrame(connection, frame);
  c.reader.Compact(c.in);
  if (result != FrameReader::Result::kBadLength) return true;
  Reject(c, 0, "frame length out of range");
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
        broker_.CancelRequest(it->second);
        c.streams.erase(it);
      }
      break;
    case codec::kReadyAskFrame:
      c.asked = true;
      Append(c, codec::kReadyFrame, frame.stream,
             ready_ && !ending_ ? codec::kServedCode : codec::kRefusedCode);
      break;
    default:
      Reject(c, 0, "unknown frame type");
  }
}

void FrameServer::TakeRequest(const ConnectionPtr& connection, const codec::Frame& frame) {
  Connection& c = *connection;
  // On a stream that is in use an answer would be taken for the other request's.
  if (frame.stream == 0 || c.streams.contains(frame.stream)) {
    return Reject(c, 0, "stream number in use or 0");
  }
  request::ClientRequest request;
  const auto fields = codec::ReadFields(frame.payload);
  const std::string wrong = fields ? Describe(*fields, request) : "malformed fields";
  if (!wrong.empty()) {
    if (fields) CountEnd(fields->Get("verb"), metrics::End::kError);
    return Reject(c, frame.stream, wrong);
  }
  c.asked = true;
  c.active = Now();
  if (c.streams.size() >= kMaxStreams) {
    ++c.errors;
    CountEnd(request.forwarded.class_name, metrics::End::kShed);
    return Append(c, codec::kAnswerFrame, frame.stream, codec::kRefusedCode, {}, "too many open requests");
  }
  c.streams.emplace(frame.stream, 0);
  const RequestId id =
      broker_.Submit(std::move(request), std::make_unique<Sink>(*this, connection, frame.stream));
  // It may have been answered within the call.
  if (const auto it = c.streams.find(frame.stream); it != c.streams.end()) it->second = id;
}

std::string FrameServer::Describe(const codec::Fields& fields, request::ClientRequest& out) const {
  const std::string_view verb = fields.Get("verb");
  const auto class_id = site_->ClassOf(verb);
  if (!class_id) return "unknown class";
  const std::string_view team = fields.Get("team");
  const auto tenant = site_->TenantOf(team);
  if (!tenant) return "unknown tenant";
  if (!IsId(fields.Get("txn"))) return "unusable txn";
  const ClassSettings& rules = site_->module.classes[*class_id];
  const std::string_view key = fields.Get("unique");
  if ((!key.empty() || rules.effect == Effect::kKeyed) && !IsKey(key)) return "unusable unique";
  const std::string_view item = fields.Get("item");
  if (!item.empty() && !codec::IsOrderKey(item)) return "unusable item";
  if (fields.body.empty()) return "no statement";
  // Absent figures have a default; a figure out of all proportion would pass for a load that no engine has.
  const auto figure = [&fields](std::string_view name, double absent, double most) {
    const auto value = fields.Get(name).empty() ? std::optional(absent) : ReadNumber(fields.Get(name));
    return most > 0 && value > most ? std::nullopt : value;
  };
  const double deadline_ms = static_cast<double>(rules.deadline) / 1e6;
  double memory = 0;
  for (const KindSettings& kind : site_->module.kinds) memory = std::max(memory, kind.memory_mb);
  const auto limit = figure("limit", deadline_ms, kMaxTimeoutFactor * deadline_ms);
  const auto cpu = figure("cpu", 0, kMaxWorkFactor * deadline_ms);
  const auto heap = figure("heap_mb", 0, kMaxMemoryFactor * memory);
  if (!limit || !cpu || !heap) return "figure unreadable or out of range";
  out.class_id = *class_id;
  out.tenant = *tenant;
  out.ordering_key = item.empty() ? 0 : codec::OrderKeyNumber(item);
  out.deadline = Now() + FromMs(*limit);
  out.estimated_work = FromMs(*cpu);
  out.estimated_memory_mb = *heap;
  out.table_group = codec::TableGroup(fields.body);
  out.wants_wait_notices = foretells_ && !fields.Get("foretell").empty();
  out.forwarded.request_id = fields.Get("txn");
  out.forwarded.class_name = verb;
  out.forwarded.idempotency_key = key;
  out.forwarded.statement = fields.body;
  return {};
}

void FrameServer::AnnounceEnd() {
  ending_ = true;
  for (const auto& weak : connections_) {
    const ConnectionPtr connection = weak.lock();
    if (!connection || connection->closed || connection->broken || connection->end_announced) continue;
    connection->end_announced = true;
    codec::WriteFrame(connection->out, codec::kDrainFrame, 0);
    connection->appended.Open();
  }
}

void FrameServer::StopAccepting(Queue queue) {
  queue_ = queue;
  stop_accepting_.Cancel();
}

bool FrameServer::flushed() const {
  return std::all_of(connections_.begin(), connections_.end(), [](const auto& weak) {
    const ConnectionPtr c = weak.lock();
    return !c || (c->out.empty() && !c->writing);
  });
}

}  // namespace lemoncroft::frontend
