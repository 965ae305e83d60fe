// One client's connection: reads request frames, hands requests to the broker and writes the responses.
//
// Two coroutines serve a connection. Serve() reads, and is the one place where the connection ends;
// WriteOutput() writes what has been appended. Responses are appended by the broker, through a
// StreamResponseSink for each open request.
//
// A connection ends in these steps: no more frames are read; input is discarded while responses are owed; the
// output is flushed; the socket is closed with a lingering close. An aborted connection (a client that
// doesn't read) skips all of them.
//
// Owner: the two coroutines hold it; FrameServer and sinks refer to it weakly. Thread: the event loop's.
// ConnectionContext must outlive it.
//
// Source: client_connection.cpp (lifecycle and closing), client_connection_input.cpp (frames and requests),
// client_connection_output.cpp (responses and backpressure).
#ifndef LEMONCROFT_FRONTEND_CLIENT_CONNECTION_H_
#define LEMONCROFT_FRONTEND_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "broker/broker.h"
#include "codec/frame.h"
#include "metrics/counters.h"
#include "runtime/socket.h"
#include "settings/settings.h"

namespace lemoncroft::frontend {

struct ClientLimits {
  std::size_t connections = 400;
  std::size_t max_unread_bytes = std::size_t{4}
                                 << 20;  // of responses to one client, not yet handed to the socket
  std::size_t max_total_unread_bytes = std::size_t{32} << 20;    // of all clients
  std::size_t max_total_unparsed_bytes = std::size_t{48} << 20;  // of incomplete frames of all clients
};

// What all connections of a server share.
struct ConnectionContext {
  runtime::Loop& loop;
  const settings::ActiveSettings& settings;
  broker::Broker& broker;
  metrics::Counters& counters;
  ClientLimits limits;
  std::size_t total_unread_bytes = 0;    // being written, not yet taken by the kernel
  std::size_t total_unparsed_bytes = 0;  // read, not yet parsed
  bool is_ready = false;
  bool is_draining = false;
  bool sends_wait_notices = false;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ConnectionContext& context, std::unique_ptr<runtime::Socket> socket);

  // Serves the connection until it has ended. The caller holds the connection until then.
  runtime::Task<> Serve();

  // Sends the response to the request on `stream`; nothing if the output has been closed.
  void SendResponse(std::uint32_t stream, const request::Response& response);
  void SendWaitNotice(std::uint32_t stream, const request::WaitNotice& notice);
  // Asks the client, once, for no new request on this connection.
  void AnnounceDrain();

  // Begins to close a connection that neither owes a response nor has unread input; false if it is not idle.
  bool CloseIfIdle();
  // Ends a lingering close early.
  void StopLingering() { stop_lingering_.Cancel(); }

  bool IsClosing() const { return closing_; }
  // True once a lingering close has had its minimum time, until it is stopped.
  bool MayStopLingering(runtime::Time now) const;
  // Without open requests and output, and not closing.
  bool IsIdle() const;
  bool HasUnreadInput() const { return !socket_->IsIdle(); }
  bool HasPartialFrame() const { return !input_.empty(); }
  // True once a request or a readiness request was valid.
  bool HasSentRequest() const { return has_sent_request_; }
  bool IsFlushed() const { return output_.empty() && !write_in_progress_; }
  runtime::Time opened_at() const { return opened_at_; }
  runtime::Time last_active_at() const { return last_active_at_; }

 private:
  enum class InputState { kReadable, kUnreadable };

  // Input.
  runtime::Task<> ReadFrames();  // until no more frames are to be read
  // Reads on behind input that can't be parsed, to see the client close while it is owed responses.
  runtime::Task<> DiscardInput();
  runtime::Time ReadDeadline() const;
  InputState HandleFrames();
  void HandleFrame(const codec::Frame& frame);
  void HandleRequest(const codec::Frame& frame);
  void SubmitRequest(std::uint32_t stream, request::ClientRequest request);
  void HandleCancel(std::uint32_t stream);
  void CancelOpenRequests();
  void UpdatePartialFrameAge(std::size_t bytes_before);
  // Updates this connection's part of the total of unparsed bytes; false if the total exceeds its limit.
  bool AccountInput();
  // Counts a request that ends here, before the broker has seen it.
  void CountEnded(std::string_view class_name, metrics::End how);

  // Output.
  static runtime::Task<> WriteOutput(std::shared_ptr<ClientConnection> self);
  // Sends an error response to the request on `stream`, or on stream 0 to none.
  void SendError(std::uint32_t stream, std::string_view text);
  void Append(codec::FrameType type, std::uint32_t stream, codec::ResponseCode code,
              const codec::FieldViews& fields = {}, std::string_view body = {});
  // The client reads nothing: its output and its requests are given up.
  void Abort();

  ConnectionContext& context_;
  std::unique_ptr<runtime::Socket> socket_;

  std::string input_;
  std::size_t accounted_input_bytes_ = 0;  // of `input_`, in the context's total
  codec::FrameReader frame_reader_;
  int input_errors_ = 0;  // frames, requests and deadlines that were answered with an error
  runtime::Time opened_at_ = runtime::Now(), last_active_at_ = runtime::Now();
  runtime::Time partial_frame_since_ = runtime::kNever;
  bool has_sent_request_ = false;
  bool peer_closed_ = false;     // nobody waits for responses
  bool discards_input_ = false;  // further input is not parsed

  std::string output_;  // not yet handed to WriteOutput
  bool write_in_progress_ = false;
  bool output_closed_ = false;  // nothing more is appended
  bool drain_announced_ = false;
  bool aborted_ = false;  // nothing can be written any more
  bool closing_ = false;  // no request is read and nothing written any more
  runtime::Time closing_since_{};

  std::unordered_map<std::uint32_t, RequestId> open_streams_;  // requests that are owed a response
  runtime::ConditionVariable output_appended_, output_flushed_;
  runtime::Cancellation stop_reading_;
  runtime::Cancellation stop_discarding_;
  runtime::Cancellation stop_lingering_;
};

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_CLIENT_CONNECTION_H_
