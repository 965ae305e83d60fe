// One client's connection: reads request frames, hands requests to the broker and writes the responses.
//
// Two coroutines serve a connection. Serve() reads, and is the only place where the connection ends;
// WriteOutput() writes the output that has been appended. The broker appends responses through the
// StreamResponseSink of each open request.
//
// A connection ends in these steps: no more frames are read; input is discarded while responses are owed; the
// output is flushed; the socket is closed with a lingering close. An aborted connection, whose client doesn't
// read its responses, skips all of these steps.
//
// The two coroutines share ownership of a connection; FrameServer and the response sinks hold weak
// references. The ConnectionContext must outlive the connection. Not thread-safe; used on the event loop's
// thread.
//
// The implementation is in client_connection.cpp (lifecycle and closing), client_connection_input.cpp (frames
// and requests) and client_connection_output.cpp (responses and backpressure).
#ifndef LEMONCROFT_FRONTEND_CLIENT_CONNECTION_H_
#define LEMONCROFT_FRONTEND_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
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
  std::size_t max_connections = 400;
  // Of responses to one client that have not been handed to the socket yet.
  std::size_t max_unread_bytes = std::size_t{4} << 20;
  std::size_t max_total_unread_bytes = std::size_t{32} << 20;    // of all clients
  std::size_t max_total_unparsed_bytes = std::size_t{48} << 20;  // of input buffers of all clients
};

// State that all connections of a server share.
struct ConnectionContext {
  runtime::Loop& loop;
  const settings::ActiveSettings& settings;
  broker::Broker& broker;
  metrics::Counters& counters;
  ClientLimits limits;
  std::size_t total_unread_bytes = 0;    // of output that the kernel hasn't taken yet
  std::size_t total_unparsed_bytes = 0;  // of input buffers
  // Called when the total of unparsed bytes exceeds its limit, to release input buffers.
  std::function<void()> reclaim_input;
  // Called when the total of unread bytes exceeds its limit, to drop clients that leave output unread.
  std::function<void()> reclaim_output;
  bool is_ready = false;
  bool is_draining = false;
  bool sends_wait_notices = false;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(ConnectionContext& context, std::unique_ptr<runtime::Socket> socket);

  // Serves the connection until it has ended. The caller keeps the connection alive until then.
  runtime::Task<> Serve();

  // Sends the response to the request on `stream`. Does nothing if the output has been closed.
  void SendResponse(std::uint32_t stream, const request::Response& response);
  void SendWaitNotice(std::uint32_t stream, const request::WaitNotice& notice);
  // Asks the client to send no new requests on this connection. Has no effect after the first call.
  void AnnounceDrain();

  // Begins to close the connection. Returns false, and does nothing, if there is an open request, output to
  // write or unread input, or if the output has been closed.
  bool CloseIfIdle();
  // Releases the input buffer. The rest of a partial frame is skipped, and the request in it is rejected when
  // the frame has ended; a connection without open requests is closed instead.
  void ReleaseInput();
  // Drops the output and stops reading; Serve() then cancels the open requests. For a client that leaves too
  // much output unread.
  void Abort();
  // Ends a lingering close early.
  void StopLingering() { stop_lingering_.Cancel(); }

  bool IsClosing() const { return closing_; }
  // Returns true if a lingering close has lasted its minimum time and has not been stopped.
  bool MayStopLingering(runtime::Time now) const;
  // Returns true if there is no open request and no output to write, and the connection isn't closing.
  bool IsIdle() const;
  bool HasUnreadInput() const { return !socket_->IsIdle(); }
  bool HasPartialFrame() const { return !input_.empty() || frame_reader_.skips_frame(); }
  std::size_t unread_bytes() const { return accounted_output_bytes_; }
  std::size_t input_buffer_bytes() const { return accounted_input_bytes_; }
  // The arrival of the first part of the partial frame; runtime::kNever if there is none.
  runtime::Time partial_frame_since() const { return partial_frame_since_; }
  // Returns true once the client has sent a valid request or a readiness request.
  bool HasSentRequest() const { return has_sent_request_; }
  bool IsFlushed() const { return output_.empty() && !write_in_progress_; }
  runtime::Time opened_at() const { return opened_at_; }
  runtime::Time last_active_at() const { return last_active_at_; }

 private:
  enum class InputState { kReadable, kUnreadable };

  // Input.
  // Reads and handles frames until no more are to be read.
  runtime::Task<> ReadFrames();
  // Reads and drops the input that follows unparsable input, to notice that the client closes the connection
  // while responses are owed to it.
  runtime::Task<> DiscardInput();
  // Grows the input buffer for the next read, by no more than the partial frame needs. Returns the maximum
  // number of bytes to read.
  std::size_t PrepareRead();
  runtime::Time ReadDeadline() const;
  InputState HandleFrames();
  void HandleFrame(const codec::Frame& frame);
  void HandleRequest(const codec::Frame& frame);
  void HandleSkippedFrame(const codec::Frame& frame);
  void SubmitRequest(std::uint32_t stream, request::ClientRequest request);
  void HandleCancel(std::uint32_t stream);
  void CancelOpenRequests();
  // Updates this connection's part of the total of unparsed bytes.
  void AccountInput();
  // Counts a request that is answered without being submitted to the broker.
  void CountEnded(std::string_view class_name, metrics::RequestResult result);

  // Output.
  static runtime::Task<> WriteOutput(std::shared_ptr<ClientConnection> self);
  // Sends an error response to the request on `stream`. On stream 0 the error belongs to no request.
  void SendError(std::uint32_t stream, std::string_view text);
  void Append(codec::FrameType type, std::uint32_t stream, codec::ResponseCode code,
              const codec::FieldViews& fields = {}, std::string_view body = {});
  // Updates this connection's part of the total of unread bytes.
  void AccountOutput();

  ConnectionContext& context_;
  std::unique_ptr<runtime::Socket> socket_;

  std::string input_;
  std::size_t accounted_input_bytes_ = 0;  // of the buffer of `input_`, in the context's total
  codec::FrameReader frame_reader_;
  int input_errors_ = 0;  // frames, requests and read timeouts that were answered with an error
  runtime::Time opened_at_ = runtime::Now(), last_active_at_ = runtime::Now();
  runtime::Time partial_frame_since_ = runtime::kNever;
  bool has_sent_request_ = false;
  bool peer_closed_ = false;     // the client no longer waits for responses
  bool discards_input_ = false;  // further input is not parsed

  std::string output_;                      // not yet handed to WriteOutput
  std::string writing_;                     // handed to WriteOutput
  std::size_t accounted_output_bytes_ = 0;  // of `output_` and `writing_`, in the context's total
  bool write_in_progress_ = false;
  bool output_closed_ = false;  // nothing more is appended
  bool drain_announced_ = false;
  bool aborted_ = false;  // nothing more can be written
  bool closing_ = false;  // no more requests are read, and nothing more is written
  runtime::Time closing_since_{};

  std::unordered_map<std::uint32_t, RequestId> open_streams_;  // requests that are owed a response
  runtime::ConditionVariable output_appended_, output_flushed_;
  runtime::Cancellation stop_reading_;
  runtime::Cancellation stop_discarding_;
  runtime::Cancellation stop_lingering_;
  runtime::Cancellation stop_writing_;
};

}  // namespace lemoncroft::frontend

#endif  // LEMONCROFT_FRONTEND_CLIENT_CONNECTION_H_
