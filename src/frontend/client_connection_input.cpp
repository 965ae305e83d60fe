#include <algorithm>
#include <optional>
#include <utility>

#include "frontend/client_connection.h"
#include "frontend/client_fields.h"
#include "frontend/request_parser.h"
#include "frontend/stream_response_sink.h"
#include "runtime/lingering_close.h"

namespace lemoncroft::frontend {

using codec::FrameReader;
using runtime::IoResult;
using runtime::Now;
using runtime::Task;
using namespace client_protocol;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::size_t kMaxIdleInputCapacity = 4 * kReadBytes;  // larger empty buffers are released
constexpr std::size_t kMaxOpenStreams = 32;
// For a client's first request, and for the rest of a frame that has begun.
constexpr auto kFrameTimeout = 2000ms;
// Between two checks whether the responses that keep a connection open have been sent.
constexpr auto kDeadlineCheckInterval = 100ms;
// A client that keeps sending invalid frames is read with pauses, so that it doesn't slow down other clients.
constexpr int kInvalidFramesBeforePause = 8;
constexpr auto kInvalidFramePause = 25ms;

}  // namespace

Task<> ClientConnection::ReadFrames() {
  // Read notices a cancellation only while it waits, and it never waits if the client always has more to
  // read.
  while (!stop_reading_.cancelled()) {
    const std::size_t max_bytes = PrepareRead();
    const IoResult io = co_await socket_->Read(input_, max_bytes, ReadDeadline(), &stop_reading_);
    if (io == IoResult::kTimeout && Now() < ReadDeadline()) continue;
    if (io == IoResult::kTimeout) co_return SendError(0, kErrorRequestTimeout);
    if (io == IoResult::kCancelled) co_return;
    // Nobody waits for the requests of a client that has left, even if they were sent before.
    peer_closed_ = io != IoResult::kOk || socket_->PeerHasClosed();
    if (peer_closed_) co_return;
    const int input_errors_before = input_errors_;
    if (HandleFrames() == InputState::kUnreadable) co_return;
    AccountInput();
    // The process would run out of memory if the partial frames of all clients were kept.
    if (context_.total_unparsed_bytes > context_.limits.max_total_unparsed_bytes) context_.reclaim_input();
    if (input_errors_ > std::max(input_errors_before, kInvalidFramesBeforePause)) {
      co_await context_.loop.Sleep(kInvalidFramePause, &stop_reading_);
    } else {
      co_await context_.loop.NextTurn();  // other clients get their turn even if this one never pauses
    }
  }
}

std::size_t ClientConnection::PrepareRead() {
  const std::optional<std::size_t> missing_bytes = frame_reader_.MissingBytes(input_);
  if (input_.size() < kReadBytes || !missing_bytes) return kReadBytes;
  const std::size_t max_bytes = std::min(*missing_bytes, kReadBytes);
  if (input_.capacity() - input_.size() < max_bytes) {
    // A new string gets the capacity that it reserves; one that grows may get twice as much.
    std::string grown;
    grown.reserve(input_.size() + std::min(*missing_bytes, input_.size()));
    grown.append(input_);
    input_ = std::move(grown);
  }
  return max_bytes;
}

// While requests are open, a partial frame may take any time: the connection has to stay open for the
// responses, and a request that is written slowly must get one too.
runtime::Time ClientConnection::ReadDeadline() const {
  const runtime::Time first_request = has_sent_request_ ? runtime::kNever : opened_at_ + kFrameTimeout;
  if (!HasPartialFrame()) return first_request;
  const bool extends_after_response = !context_.is_draining;
  const runtime::Time since =
      extends_after_response ? std::max(partial_frame_since_, last_active_at_) : partial_frame_since_;
  const runtime::Time rest_of_frame = since + kFrameTimeout;
  if (!open_streams_.empty()) return std::max(rest_of_frame, Now() + kDeadlineCheckInterval);
  return std::min(first_request, rest_of_frame);
}

void ClientConnection::AccountInput() {
  if (input_.empty() && input_.capacity() > kMaxIdleInputCapacity)
    std::string().swap(input_);  // an assignment would keep the buffer
  const std::size_t buffer_bytes = input_.capacity() > std::string().capacity() ? input_.capacity() : 0;
  context_.total_unparsed_bytes += buffer_bytes - accounted_input_bytes_;
  accounted_input_bytes_ = buffer_bytes;
}

void ClientConnection::ReleaseInput() {
  const bool has_partial_frame = !input_.empty();
  const bool skips = has_partial_frame && !open_streams_.empty() && frame_reader_.SkipFrame(input_);
  std::string().swap(input_);  // an assignment would keep the buffer
  AccountInput();
  if (!has_partial_frame || skips) return;
  SendError(0, kErrorTooMuchUnparsed);
  stop_reading_.Cancel();
}

Task<> ClientConnection::DiscardInput() {
  discards_input_ = true;
  std::string discarded;
  for (std::size_t bytes = 0; !stop_discarding_.cancelled(); bytes += discarded.size()) {
    discarded.clear();
    const IoResult io = co_await socket_->Read(discarded, kReadBytes, runtime::kNever, &stop_discarding_);
    peer_closed_ = io == IoResult::kClosed || io == IoResult::kReset;
    if (io != IoResult::kOk) co_return;
    if (bytes < runtime::kMaxLingerBytes) {
      co_await context_.loop.NextTurn();
    } else {
      co_await context_.loop.Sleep(kInvalidFramePause, &stop_discarding_);
    }
  }
}

ClientConnection::InputState ClientConnection::HandleFrames() {
  codec::Frame frame;
  FrameReader::Result result = FrameReader::Result::kNeedMore;
  bool frame_ended = false;
  for (;;) {
    result = frame_reader_.Next(input_, frame);
    if (result == FrameReader::Result::kFrame) {
      HandleFrame(frame);
    } else if (result == FrameReader::Result::kSkippedFrame) {
      HandleSkippedFrame(frame);
    } else {
      break;
    }
    frame_ended = true;
  }
  frame_reader_.Compact(input_);
  if (!HasPartialFrame()) {
    partial_frame_since_ = runtime::kNever;
  } else if (frame_ended || partial_frame_since_ == runtime::kNever) {
    partial_frame_since_ = Now();
  }
  if (result != FrameReader::Result::kBadLength) return InputState::kReadable;
  SendError(0, kErrorInvalidFrameLength);
  return InputState::kUnreadable;
}

void ClientConnection::HandleFrame(const codec::Frame& frame) {
  switch (frame.type) {
    case codec::kRequestFrame:
      HandleRequest(frame);
      break;
    case codec::kCancelFrame:
      HandleCancel(frame.stream);
      break;
    case codec::kReadinessRequestFrame: {
      has_sent_request_ = true;
      const bool is_ready = context_.is_ready && !context_.is_draining;
      Append(codec::kReadinessResponseFrame, frame.stream,
             is_ready ? codec::kServedCode : codec::kRejectedCode);
      break;
    }
    default:
      SendError(0, kErrorUnknownFrameType);
  }
}

void ClientConnection::HandleRequest(const codec::Frame& frame) {
  // On a stream in use, the client would take the error for the response to the other request.
  if (frame.stream == 0 || open_streams_.contains(frame.stream)) return SendError(0, kErrorInvalidStream);
  const auto fields = codec::ReadFields(frame.payload);
  if (!fields) return SendError(frame.stream, kErrorMalformedFields);
  auto request = ParseRequest(*fields, *context_.settings);
  if (!request) {
    CountEnded(fields->Get(kFieldClassName), metrics::RequestResult::kFailed);
    return SendError(frame.stream, ErrorText(request.error()));
  }
  request->wants_wait_notices = request->wants_wait_notices && context_.sends_wait_notices;
  has_sent_request_ = true;
  last_active_at_ = Now();
  if (open_streams_.size() >= kMaxOpenStreams) {
    ++input_errors_;
    CountEnded(request->forwarded.class_name, metrics::RequestResult::kRejected);
    return Append(codec::kResponseFrame, frame.stream, codec::kRejectedCode, {}, kErrorTooManyStreams);
  }
  SubmitRequest(frame.stream, std::move(*request));
}

void ClientConnection::HandleSkippedFrame(const codec::Frame& frame) {
  if (frame.type != codec::kRequestFrame) return HandleFrame(frame);
  if (frame.stream == 0 || open_streams_.contains(frame.stream)) return SendError(0, kErrorInvalidStream);
  last_active_at_ = Now();
  Append(codec::kResponseFrame, frame.stream, codec::kRejectedCode, {}, kErrorTooMuchUnparsed);
}

void ClientConnection::SubmitRequest(std::uint32_t stream, request::ClientRequest request) {
  open_streams_.emplace(stream, 0);
  const RequestId id = context_.broker.Submit(std::move(request),
                                              std::make_unique<StreamResponseSink>(weak_from_this(), stream));
  // The broker may have completed the request within the call.
  if (const auto it = open_streams_.find(stream); it != open_streams_.end()) it->second = id;
}

void ClientConnection::HandleCancel(std::uint32_t stream) {
  const auto it = open_streams_.find(stream);
  if (it == open_streams_.end()) return;
  context_.broker.CancelRequest(it->second);
  open_streams_.erase(it);
}

void ClientConnection::CancelOpenRequests() {
  for (const auto& [stream, id] : open_streams_) context_.broker.CancelRequest(id);
  open_streams_.clear();
}

void ClientConnection::CountEnded(std::string_view class_name, metrics::RequestResult result) {
  if (!context_.settings->ClassOf(class_name)) return;
  context_.counters.CountReceived(std::string(class_name));
  context_.counters.CountEnded(std::string(class_name), result);
}

}  // namespace lemoncroft::frontend
