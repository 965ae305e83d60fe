#include "peer_transport/link.h"

#include <arpa/inet.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <bit>
#include <random>
#include <system_error>

namespace lemoncroft::peer_transport {
namespace {

using namespace std::chrono_literals;
using runtime::IoResult;
using runtime::Now;
using runtime::Task;
using runtime::Time;

constexpr std::size_t kDatagramsPerTurn = 32;  // read before other tasks on the loop run
constexpr std::size_t kMaxInboundStreams = 16, kMaxOutboundSyncs = 2, kMaxOutboundMessages = 16,
                      kMaxCalls = 8;
constexpr std::size_t kLengthBytes = 4;      // length prefix of each frame on a stream
constexpr auto kStreamTimeout = 2000ms;      // of a complete state sync or message
constexpr auto kAcceptRetryInterval = 10ms;  // after a failed accept
constexpr int kLeaveGossipRounds = 2;        // that disseminate a leave

// Does not depend on the configured seed: ids must never repeat.
std::uint64_t GenerateInstanceId() {
  std::random_device device;
  return (std::uint64_t{device()} << 32 | device()) | 1;
}

struct BoundSockets {
  std::unique_ptr<runtime::DatagramSocket> datagrams;
  std::unique_ptr<runtime::Listener> streams;
  std::size_t index = 0;
};

// Binds the first address that is free for both sockets. Other processes of this proxy may use the earlier
// ones.
BoundSockets Bind(runtime::Loop& loop, const std::vector<gossip::PeerAddress>& listen) {
  for (std::size_t i = 0;; ++i) {
    try {
      const runtime::Address address = ToAddress(listen.at(i));
      return {std::make_unique<runtime::DatagramSocket>(loop, address),
              std::make_unique<runtime::Listener>(loop, address), i};
    } catch (const std::system_error& e) {
      if (i + 1 == listen.size())
        throw std::system_error(e.code(), "fleet: cannot listen on " + ToString(listen[i]));
    }
  }
}

gossip::MemberRecord SelfRecord(const LinkOptions& options, std::size_t index) {
  gossip::MemberRecord self;
  self.id = GenerateInstanceId();
  self.name = options.name;
  self.zone = options.zone;
  self.address = options.advertise.at(index);
  return self;
}

}  // namespace

void LatencyHistogram::Add(runtime::Duration duration) {
  const auto us = static_cast<std::uint64_t>(
      std::max<runtime::Duration::rep>(0, duration / std::chrono::microseconds(1)));
  ++buckets_[std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(us)), buckets_.size() - 1)];
  ++count_;
}

std::uint64_t LatencyHistogram::Percentile(double fraction) const {
  std::uint64_t counted = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    counted += buckets_[i];
    if (static_cast<double>(counted) >= fraction * static_cast<double>(count_)) return std::uint64_t{1} << i;
  }
  return 0;
}

runtime::Address ToAddress(const gossip::PeerAddress& peer_address) {
  runtime::Address address;
  address.raw.sin_family = AF_INET;
  address.raw.sin_addr.s_addr = htonl(peer_address.host);
  address.raw.sin_port = htons(peer_address.port);
  return address;
}

gossip::PeerAddress ToPeerAddress(const runtime::Address& address) {
  return {ntohl(address.raw.sin_addr.s_addr), ntohs(address.raw.sin_port)};
}

std::string ToString(const gossip::PeerAddress& peer_address) { return ToAddress(peer_address).ToString(); }

Link::Link(runtime::Loop& loop, const LinkOptions& options, std::uint64_t seed, EventHandler on_event)
    : loop_(loop),
      fleet_(options.fleet),
      view_([&] {
        BoundSockets sockets = Bind(loop, options.listen);
        datagrams_ = std::move(sockets.datagrams);
        streams_ = std::move(sockets.streams);
        listen_ = options.listen[sockets.index];
        return gossip::MembershipView(options.membership, SelfRecord(options, sockets.index),
                                      seed ^ GenerateInstanceId(), Now());
      }()),
      on_event_(std::move(on_event)) {}

void Link::Start() {
  loop_.Spawn(ReceiveDatagrams());
  loop_.Spawn(RunTimer());
  loop_.Spawn(AcceptStreams());
}

void Link::SetPhase(gossip::Phase phase) {
  view_.SetPhase(Now(), phase);
  DispatchOutputs();
}

Task<> Link::Leave() {
  view_.Leave(Now());
  DispatchOutputs();
  for (int i = 0; i < kLeaveGossipRounds; ++i) {
    co_await loop_.Sleep(50ms);
    view_.Tick(Now());
    DispatchOutputs();
  }
}

void Link::DispatchOutputs() {
  for (const gossip::Output& output : view_.TakeOutputs()) {
    if (const auto* event = std::get_if<gossip::Event>(&output)) {
      on_event_(*event);
    } else if (const auto* transmit = std::get_if<gossip::Transmit>(&output)) {
      const std::string frame = Encode(fleet_, transmit->datagram);
      const bool sent = datagrams_->Send(frame, ToAddress(transmit->to));
      ++(sent ? metrics_.sent : metrics_.send_failures);
      if (sent) metrics_.sent_bytes += frame.size();
    } else if (const auto* sync = std::get_if<gossip::StateSync>(&output)) {
      if (outbound_syncs_ < kMaxOutboundSyncs) loop_.Spawn(RunStateSync(sync->to));
    }
  }
  if (view_.NextDeadline() < timer_deadline_) wake_timer_.Notify();
}

Task<> Link::RunTimer() {
  for (;;) {
    timer_deadline_ = view_.NextDeadline();
    if (timer_deadline_ > Now()) co_await runtime::Waiter(loop_, &wake_timer_, timer_deadline_);
    timer_deadline_ = runtime::kNever;
    const Time now = Now();
    if (view_.NextDeadline() > now) continue;
    view_.Tick(now);
    DispatchOutputs();
    turn_durations_.Add(Now() - now);
    co_await loop_.NextTurn();
  }
}

tl::expected<Message, FrameError> Link::DecodeCounted(std::string_view frame, std::size_t max_bytes) {
  auto message = Decode(fleet_, frame, max_bytes);
  if (!message) CountError(message.error());
  return message;
}

Task<> Link::ReceiveDatagrams() {
  for (std::size_t n = 1;; ++n) {
    const runtime::DatagramSocket::Received received = co_await datagrams_->Receive();
    if (received.result != IoResult::kOk) co_return;
    ++metrics_.received;
    const auto message = DecodeCounted(received.bytes, received.complete ? gossip::kMaxDatagramBytes : 0);
    if (message) HandleDatagram(*message);
    if (n % kDatagramsPerTurn == 0) co_await loop_.NextTurn();
  }
}

void Link::HandleDatagram(const Message& message) {
  if (const auto* datagram = std::get_if<gossip::Datagram>(&message)) {
    const Time start = Now();
    view_.Receive(start, *datagram);
    DispatchOutputs();
    turn_durations_.Add(Now() - start);
    return;
  }
  const auto* app_message = std::get_if<AppMessage>(&message);
  if (app_message != nullptr && on_app_message && app_message->subsystem != Subsystem::kOperatorCall)
    on_app_message(*app_message);
  else
    CountError(FrameError::kMalformed);
}

// ---- Streams: each frame has a length prefix of four bytes in little-endian order ----

Task<tl::expected<std::string, StreamError>> ReadFrame(runtime::Socket& socket, Time deadline) {
  std::string head;
  while (head.size() < kLengthBytes)
    if (co_await socket.Read(head, kLengthBytes - head.size(), deadline) != IoResult::kOk)
      co_return tl::make_unexpected(StreamError::kClosed);
  std::size_t size = 0;
  for (std::size_t i = kLengthBytes; i-- > 0;) size = size << 8 | static_cast<std::uint8_t>(head[i]);
  if (size > kMaxStreamMessageBytes) co_return tl::make_unexpected(StreamError::kFrameTooLong);
  std::string frame;
  while (frame.size() < size)
    if (co_await socket.Read(frame, size - frame.size(), deadline) != IoResult::kOk) {
      // Kept for compatibility of the error metrics: a frame of which exactly four bytes were read counts as
      // too long.
      const bool counts_as_too_long = frame.size() == kLengthBytes;
      co_return tl::make_unexpected(counts_as_too_long ? StreamError::kFrameTooLong : StreamError::kClosed);
    }
  co_return frame;
}

Task<bool> WriteFrame(runtime::Socket& socket, std::string_view frame, Time deadline) {
  if (frame.size() > kMaxStreamMessageBytes) co_return false;
  std::string bytes;
  for (int shift = 0; shift < static_cast<int>(8 * kLengthBytes); shift += 8)
    bytes.push_back(static_cast<char>(frame.size() >> shift & 0xff));
  bytes += frame;
  std::size_t written = 0;
  co_return co_await socket.Write(bytes, written, deadline) == IoResult::kOk;
}

Task<tl::expected<std::string, CallError>> CallPeer(runtime::Loop& loop, std::string fleet,
                                                    runtime::Address to, std::string bytes, Time deadline,
                                                    std::optional<runtime::Address> from) {
  std::unique_ptr<runtime::Socket> socket;
  const std::string request =
      Encode(fleet, AppMessage{gossip::kNoInstance, Subsystem::kOperatorCall, std::move(bytes)});
  if (co_await Connect(loop, to, deadline, nullptr, socket, from) != IoResult::kOk)
    co_return tl::make_unexpected(CallError::kConnectFailed);
  if (!co_await WriteFrame(*socket, request, deadline)) co_return tl::make_unexpected(CallError::kSendFailed);
  const auto frame = co_await ReadFrame(*socket, deadline);
  if (!frame) co_return tl::make_unexpected(CallError::kNoResponse);
  auto message = Decode(fleet, *frame, kMaxStreamMessageBytes);
  auto* response = message ? std::get_if<AppMessage>(&*message) : nullptr;
  if (response == nullptr) co_return tl::make_unexpected(CallError::kInvalidResponse);
  co_return std::move(response->bytes);
}

Task<tl::expected<std::string, StreamError>> Link::ReadFrameCounted(runtime::Socket& socket, Time deadline) {
  auto frame = co_await ReadFrame(socket, deadline);
  if (!frame && frame.error() == StreamError::kFrameTooLong) CountError(FrameError::kTooLong);
  co_return frame;
}

// ---- Application messages ----

bool Link::SetAttribute(const std::string& key, const std::string& value) {
  const bool accepted = view_.SetAttribute(Now(), key, value);
  DispatchOutputs();
  return accepted;
}

void Link::Send(const gossip::PeerAddress& to, Subsystem subsystem, std::string bytes) {
  std::string frame = Encode(fleet_, AppMessage{view_.members().self(), subsystem, std::move(bytes)});
  ++metrics_.app_messages;
  metrics_.app_message_bytes += frame.size();
  if (frame.size() <= gossip::kMaxDatagramBytes) {
    if (!datagrams_->Send(frame, ToAddress(to))) ++metrics_.app_messages_dropped;
  } else if (outbound_messages_ < kMaxOutboundMessages) {
    loop_.Spawn(SendOverStream(to, std::move(frame)));
  } else {
    ++metrics_.app_messages_dropped;
  }
}

Task<> Link::SendOverStream(gossip::PeerAddress to, std::string frame) {
  ++outbound_messages_;
  const Time deadline = Now() + kStreamTimeout;
  std::unique_ptr<runtime::Socket> socket;
  std::string unused;
  bool sent =
      co_await Connect(loop_, ToAddress(to), deadline, nullptr, socket, ToAddress(listen_)) == IoResult::kOk;
  if (sent) sent = co_await WriteFrame(*socket, frame, deadline);
  if (sent)
    co_await socket->Read(unused, 1, deadline);  // until the peer has read the message and closes
  else
    ++metrics_.app_messages_dropped;
  --outbound_messages_;
}

Task<> Link::HandleCall(std::unique_ptr<runtime::Socket> socket, std::string bytes) {
  ++active_calls_;
  std::string response = co_await on_call(std::move(bytes));
  const std::string frame =
      Encode(fleet_, AppMessage{view_.members().self(), Subsystem::kOperatorCall, std::move(response)});
  co_await WriteFrame(*socket, frame, Now() + kStreamTimeout);
  --active_calls_;
}

Task<> Link::AcceptStreams() {
  for (;;) {
    std::unique_ptr<runtime::Socket> socket;
    const IoResult io = co_await streams_->Accept(socket);
    if (io == IoResult::kCancelled) co_return;
    if (io != IoResult::kOk) {
      co_await loop_.Sleep(kAcceptRetryInterval);
      continue;
    }
    if (inbound_streams_ < kMaxInboundStreams) loop_.Spawn(ServeStream(std::move(socket)));
    co_await loop_.NextTurn();
  }
}

Task<> Link::ServeStream(std::unique_ptr<runtime::Socket> socket) {
  ++inbound_streams_;
  const Time deadline = Now() + kStreamTimeout;
  const auto frame = co_await ReadFrameCounted(*socket, deadline);
  if (frame) {
    auto message = DecodeCounted(*frame, kMaxStreamMessageBytes);
    auto* request = message ? std::get_if<gossip::SyncRequest>(&*message) : nullptr;
    auto* app_message = message ? std::get_if<AppMessage>(&*message) : nullptr;
    if (request != nullptr) {
      co_await ServeStateSync(*socket, *request, deadline);
    } else if (app_message != nullptr && app_message->subsystem == Subsystem::kOperatorCall) {
      if (on_call && active_calls_ < kMaxCalls)
        loop_.Spawn(HandleCall(std::move(socket), std::move(app_message->bytes)));
    } else if (app_message != nullptr && on_app_message) {
      on_app_message(*app_message);
    }
  }
  --inbound_streams_;
}

Task<> Link::ServeStateSync(runtime::Socket& socket, const gossip::SyncRequest& request, Time deadline) {
  const std::string response = Encode(fleet_, view_.HandleSyncRequest(Now(), request));
  metrics_.sync_bytes += response.size();
  DispatchOutputs();
  if (!co_await WriteFrame(socket, response, deadline)) co_return;
  const auto frame = co_await ReadFrameCounted(socket, deadline);
  if (!frame) co_return;
  const auto message = DecodeCounted(*frame, kMaxStreamMessageBytes);
  const auto* closing = message ? std::get_if<gossip::SyncEntries>(&*message) : nullptr;
  if (closing == nullptr) co_return;
  view_.FinishSync(Now(), *closing);
  DispatchOutputs();
}

Task<> Link::RunStateSync(gossip::PeerAddress to) {
  ++outbound_syncs_;
  const bool completed = co_await SyncWith(to, Now() + kStreamTimeout);
  ++(completed ? metrics_.syncs : metrics_.syncs_failed);
  --outbound_syncs_;
}

Task<bool> Link::SyncWith(gossip::PeerAddress to, Time deadline) {
  std::unique_ptr<runtime::Socket> socket;
  if (co_await Connect(loop_, ToAddress(to), deadline, nullptr, socket, ToAddress(listen_)) != IoResult::kOk)
    co_return false;
  const std::string request = Encode(fleet_, view_.StartSync(Now()));
  metrics_.sync_bytes += request.size();
  if (!co_await WriteFrame(*socket, request, deadline)) co_return false;
  const auto frame = co_await ReadFrameCounted(*socket, deadline);
  if (!frame) co_return false;
  const auto message = DecodeCounted(*frame, kMaxStreamMessageBytes);
  const auto* entries = message ? std::get_if<gossip::SyncEntries>(&*message) : nullptr;
  if (entries == nullptr) co_return false;
  const std::string closing = Encode(fleet_, view_.HandleSyncResponse(Now(), *entries));
  metrics_.sync_bytes += closing.size();
  DispatchOutputs();
  if (!co_await WriteFrame(*socket, closing, deadline)) co_return false;
  // Waits until the peer has read the entries and closes; closing earlier could discard unread bytes.
  std::string unused;
  co_await socket->Read(unused, 1, deadline);
  co_return true;
}

}  // namespace lemoncroft::peer_transport
