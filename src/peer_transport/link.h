// Connects a MembershipView to the network: datagrams carry probes and gossip, streams carry state sync and
// large application messages.
//
// Runs on one event loop and is owned by the code that assembles the proxy. Code waits for a peer only in a
// separate task with a deadline. Datagrams that cannot be sent at once are dropped, the number of streams is
// limited, and at most a fixed number of datagrams is read in one turn of the loop. Invalid input is counted
// in LinkMetrics. docs/gossip.md describes the protocol.
#ifndef LEMONCROFT_PEER_TRANSPORT_LINK_H_
#define LEMONCROFT_PEER_TRANSPORT_LINK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "gossip/membership_view.h"
#include "peer_transport/frame.h"
#include "runtime/datagram.h"

namespace lemoncroft::peer_transport {

struct LinkOptions {
  std::string fleet;
  std::string name, zone;
  // Of equal size. The first free address of `listen` is bound. advertise[i] is announced when listen[i] is
  // bound.
  std::vector<gossip::PeerAddress> listen, advertise;
  gossip::Settings membership;
};

// Counters since the start.
struct LinkMetrics {
  // Gossip datagrams, without application messages.
  std::uint64_t sent = 0, sent_bytes = 0, send_failures = 0;
  // Datagrams of any content, and the state syncs that this proxy initiated, by their outcome.
  std::uint64_t received = 0, syncs = 0, syncs_failed = 0;
  std::uint64_t sync_bytes = 0;                              // sent as initiator and as responder
  std::uint64_t app_messages = 0, app_messages_dropped = 0;  // passed to Send(); of these, not sent
  std::uint64_t app_message_bytes = 0;
  std::array<std::uint64_t, kFrameErrorCount> frame_errors{};
};

// Histogram of the time that the view occupies the event loop, in buckets of powers of two microseconds.
class LatencyHistogram {
 public:
  void Add(runtime::Duration duration);
  std::uint64_t Percentile(double fraction) const;  // upper end of the bucket, in microseconds

 private:
  std::array<std::uint64_t, 32> buckets_{};
  std::uint64_t count_ = 0;
};

// Conversions between the protocol's and the socket layer's addresses.
runtime::Address ToAddress(const gossip::PeerAddress& peer_address);
gossip::PeerAddress ToPeerAddress(const runtime::Address& address);
std::string ToString(const gossip::PeerAddress& peer_address);

// The reason for which no frame was read from a stream.
enum class StreamError : std::uint8_t {
  kClosed,  // the stream ended or failed, or the deadline passed
  // The frame's length exceeds kMaxStreamMessageBytes. For compatibility of the error metrics, this is also
  // the error if reading stops after exactly four bytes of the frame.
  kFrameTooLong,
};

// The reason for which a call to a peer has no response.
enum class CallError : std::uint8_t {
  kConnectFailed,
  kSendFailed,
  kNoResponse,       // the stream ended, or the deadline passed
  kInvalidResponse,  // the response was not an application message of this fleet
};

// A proxy's connection to its fleet. It must outlive the tasks that Start() spawns.
class Link {
 public:
  using EventHandler = std::function<void(const gossip::Event&)>;
  // Binds the sockets. `on_event` receives the events of the view in order.
  // Throws std::system_error if none of the addresses can be bound.
  Link(runtime::Loop& loop, const LinkOptions& options, std::uint64_t seed, EventHandler on_event);

  // Handlers of application messages and of operators' calls. Set both before Start().
  std::function<void(const AppMessage&)> on_app_message;
  std::function<runtime::Task<std::string>(std::string)> on_call;

  // Spawns the tasks that receive datagrams, accept streams and run the timer.
  void Start();
  void SetPhase(gossip::Phase phase);
  // See MembershipView::SetAttribute.
  bool SetAttribute(const std::string& key, const std::string& value);
  // Sends an application message once, as a datagram if it fits into one and over a separate stream
  // otherwise. The message may be lost.
  void Send(const gossip::PeerAddress& to, Subsystem subsystem, std::string bytes);
  // Announces that this process leaves and waits for two gossip rounds that disseminate the announcement.
  runtime::Task<> Leave();

  const gossip::MembershipView& view() const { return view_; }
  const LinkMetrics& metrics() const { return metrics_; }
  // The durations of single turns of the view.
  const LatencyHistogram& turn_durations() const { return turn_durations_; }
  // The address that was bound.
  const gossip::PeerAddress& listen_address() const { return listen_; }

 private:
  runtime::Task<> ReceiveDatagrams();
  runtime::Task<> RunTimer();
  runtime::Task<> AcceptStreams();
  runtime::Task<> ServeStream(std::unique_ptr<runtime::Socket> socket);
  runtime::Task<> ServeStateSync(runtime::Socket& socket, const gossip::SyncRequest& request,
                                 runtime::Time deadline);
  runtime::Task<> RunStateSync(gossip::PeerAddress to);
  // Returns true if the sync was completed.
  runtime::Task<bool> SyncWith(gossip::PeerAddress to, runtime::Time deadline);
  void HandleDatagram(const Message& message);
  void CountError(FrameError error) { ++metrics_.frame_errors[static_cast<std::size_t>(error)]; }
  runtime::Task<> SendOverStream(gossip::PeerAddress to, std::string frame);
  runtime::Task<> HandleCall(std::unique_ptr<runtime::Socket> socket, std::string bytes);
  runtime::Task<tl::expected<std::string, StreamError>> ReadFrameCounted(runtime::Socket& socket,
                                                                         runtime::Time deadline);
  tl::expected<Message, FrameError> DecodeCounted(std::string_view frame, std::size_t max_bytes);
  // Carries out the outputs of the view and reschedules its timer.
  void DispatchOutputs();

  runtime::Loop& loop_;
  std::string fleet_;
  gossip::PeerAddress listen_;
  std::unique_ptr<runtime::DatagramSocket> datagrams_;
  std::unique_ptr<runtime::Listener> streams_;
  gossip::MembershipView view_;
  EventHandler on_event_;
  LinkMetrics metrics_;
  LatencyHistogram turn_durations_;
  runtime::ConditionVariable wake_timer_;
  runtime::Time timer_deadline_ = runtime::kNever;
  std::size_t inbound_streams_ = 0, outbound_syncs_ = 0, outbound_messages_ = 0, active_calls_ = 0;
};

// Reads a frame and the length before it.
runtime::Task<tl::expected<std::string, StreamError>> ReadFrame(runtime::Socket& socket,
                                                                runtime::Time deadline);
// Writes a frame's length and the frame. Returns false if the frame is too long or was not written
// completely.
runtime::Task<bool> WriteFrame(runtime::Socket& socket, std::string_view frame, runtime::Time deadline);
// Sends an operator's call to a proxy of the fleet and returns its response.
runtime::Task<tl::expected<std::string, CallError>> CallPeer(
    runtime::Loop& loop, std::string fleet, runtime::Address to, std::string bytes, runtime::Time deadline,
    std::optional<runtime::Address> from = std::nullopt);

}  // namespace lemoncroft::peer_transport

#endif  // LEMONCROFT_PEER_TRANSPORT_LINK_H_
