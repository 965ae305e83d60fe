// The way between proxies: a View on the loop's sockets. Datagrams carry probes and news, streams the
// exchanges.
//
// Contract. Nothing here waits for a peer but in a task of its own, with a deadline; datagrams that can't be
// sent at once are dropped (the newest news is told again), streams are few and bounded, and what comes is
// read in bounded turns. Everything that is wrong with a peer's bytes is counted, never thrown. Owner: the
// proxy's wiring; one loop. Units: spans of time, bytes. Errors: std::system_error from the constructor where
// none of the addresses can be bound. Source: docs/peers.md.
#ifndef LEMONCROFT_PEER_TRANSPORT_LINK_H_
#define LEMONCROFT_PEER_TRANSPORT_LINK_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gossip/membership_view.h"
#include "peer_transport/frame.h"
#include "runtime/datagram.h"

namespace lemoncroft::peer_transport {

struct LinkOptions {
  std::string fleet;
  std::string name, zone;
  std::vector<gossip::Endpoint> listen, advertise;  // as many of each; the first that is free is taken
  gossip::Settings membership;
};

struct LinkMetrics {
  std::uint64_t sent = 0, sent_bytes = 0, send_failures = 0;  // datagrams
  std::uint64_t received = 0, syncs = 0, syncs_failed = 0;
  std::uint64_t sync_bytes = 0;                              // sent in exchanges, at either side
  std::uint64_t app_messages = 0, app_messages_dropped = 0;  // sent; of these, that couldn't be
  std::uint64_t app_message_bytes = 0;
  std::array<std::uint64_t, kFrameErrorCount> frame_errors{};
};

// How long turns of the view keep the loop, in buckets of powers of two of microseconds.
class LatencyHistogram {
 public:
  void Add(runtime::Span duration);
  std::uint64_t Percentile(double fraction) const;  // the upper end of its bucket, in microseconds

 private:
  std::array<std::uint64_t, 32> buckets_{};
  std::uint64_t count_ = 0;
};

runtime::Address ToAddress(const gossip::Endpoint& endpoint);
gossip::Endpoint ToEndpoint(const runtime::Address& address);
std::string ToString(const gossip::Endpoint& endpoint);

class Link {
 public:
  using EventHandler = std::function<void(const gossip::Event&)>;
  // `heard` is told each event of the view, in order, outside of any call to this object.
  Link(runtime::Loop& loop, const LinkOptions& options, std::uint64_t seed, EventHandler on_event);

  // A parcel that came; and the answer to an operator's call. Before Start.
  std::function<void(const AppMessage&)> on_app_message;
  std::function<runtime::Task<std::string>(std::string)> on_call;

  void Start();
  void SetPhase(gossip::Phase phase);
  bool SetAttribute(const std::string& key, const std::string& value);
  // Sends it once, as a datagram where it fits and over a stream of its own where not. It may be lost.
  void Send(const gossip::Endpoint& to, Subsystem subsystem, std::string bytes);
  // Says that this process ends, and gives the word a moment to go out.
  runtime::Task<> Leave();

  const gossip::MembershipView& view() const { return view_; }
  const LinkMetrics& metrics() const { return metrics_; }
  const LatencyHistogram& turns() const { return turns_; }
  const gossip::Endpoint& listen_address() const { return listen_; }

 private:
  runtime::Task<> ReceiveDatagrams();
  runtime::Task<> RunTimer();
  runtime::Task<> AcceptStreams();
  runtime::Task<> ServeStream(std::unique_ptr<runtime::Socket> socket);
  runtime::Task<> RunStateSync(gossip::Endpoint to);
  runtime::Task<> SendOverStream(gossip::Endpoint to, std::string frame);
  runtime::Task<> HandleCall(std::unique_ptr<runtime::Socket> socket, std::string bytes);
  runtime::Task<bool> ReadFrameCounted(runtime::Socket& socket, std::string& frame, runtime::Time deadline);
  std::variant<Message, FrameError> DecodeCounted(std::string_view frame, std::size_t most);
  // Carries out what the view wants, and has the next step come in time.
  void DispatchOutputs();

  runtime::Loop& loop_;
  std::string fleet_;
  gossip::Endpoint listen_;
  std::unique_ptr<runtime::DatagramSocket> datagrams_;
  std::unique_ptr<runtime::Listener> streams_;
  gossip::MembershipView view_;
  EventHandler on_event_;
  LinkMetrics metrics_;
  LatencyHistogram turns_;
  runtime::Gate wake_timer_;
  runtime::Time timer_deadline_ = runtime::kNever;
  std::size_t inbound_streams_ = 0, outbound_syncs_ = 0, outbound_messages_ = 0, active_calls_ = 0;
};

// Frames on a stream, behind their length. False where the stream ends or the frame is too long.
runtime::Task<bool> ReadFrame(runtime::Socket& socket, std::string& frame, runtime::Time deadline);
runtime::Task<bool> WriteFrame(runtime::Socket& socket, std::string_view frame, runtime::Time deadline);
// One call to a proxy of the fleet, as an operator makes it: its answer, or nothing.
runtime::Task<std::optional<std::string>> CallPeer(runtime::Loop& loop, std::string fleet,
                                                   runtime::Address to, std::string bytes,
                                                   runtime::Time deadline,
                                                   std::optional<runtime::Address> from = std::nullopt);

}  // namespace lemoncroft::peer_transport

#endif  // LEMONCROFT_PEER_TRANSPORT_LINK_H_
