#include "http/connection.h"

#include <algorithm>
#include <string_view>

namespace lemoncroft::http {

using runtime::IoResult;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxReadBytes = 16 * 1024;
// The longest time between two reads of a response that has begun. A response that stalls for longer has a
// wrong length, or its sender hangs.
constexpr auto kStallTimeout = 150ms;
constexpr std::string_view kResponseStart = "HTTP/1.";

}  // namespace

runtime::Task<IoResult> Connection::Call(const codec::HttpRequest& request, runtime::Time deadline,
                                         runtime::Cancellation* cancel, codec::HttpResponse& out) {
  const IoResult sent = co_await Send(request, deadline, cancel);
  if (sent != IoResult::kOk) co_return sent;
  co_return co_await Receive(deadline, cancel, out);
}

runtime::Task<IoResult> Connection::Send(const codec::HttpRequest& request, runtime::Time deadline,
                                         runtime::Cancellation* cancel) {
  sent_any_bytes_ = sent_whole_ = response_has_begun_ = false;
  auto bytes = codec::WriteHead(request, host_);
  if (!bytes) co_return IoResult::kClosed;
  bytes->append(request.body);
  pending_ = true;
  parser_ = codec::HttpParser(limits_);
  std::size_t written = 0;
  const IoResult io = co_await socket_->Write(*bytes, written, deadline, cancel);
  sent_any_bytes_ = written > 0;
  sent_whole_ = written == bytes->size();
  if (io != IoResult::kOk) keep_alive_ = false;  // no request can follow an incomplete one
  co_return io;
}

runtime::Task<IoResult> Connection::Receive(runtime::Time deadline, runtime::Cancellation* cancel,
                                            codec::HttpResponse& out) {
  co_return co_await Receive(deadline, deadline, cancel, out);
}

runtime::Task<IoResult> Connection::Receive(runtime::Time begin_by, runtime::Time complete_by,
                                            runtime::Cancellation* cancel, codec::HttpResponse& out) {
  co_return co_await ReceiveUntil(Until::kEnd, begin_by, complete_by, cancel, out);
}

runtime::Task<IoResult> Connection::CallForHead(const codec::HttpRequest& request, runtime::Time deadline,
                                                runtime::Cancellation* cancel, codec::HttpResponse& out) {
  const IoResult sent = co_await Send(request, deadline, cancel);
  if (sent != IoResult::kOk) co_return sent;
  const IoResult received = co_await ReceiveUntil(Until::kHead, deadline, deadline, cancel, out);
  keep_alive_ = false;
  co_return received;
}

runtime::Task<IoResult> Connection::ReceiveUntil(Until until, runtime::Time begin_by,
                                                 runtime::Time complete_by, runtime::Cancellation* cancel,
                                                 codec::HttpResponse& out) {
  for (;;) {
    codec::HttpParser::State state = parser_.Feed(received_);
    const bool has_head = state == codec::HttpParser::State::kNeedMore && parser_.head_parsed();
    if (until == Until::kHead && has_head) state = codec::HttpParser::State::kDone;
    if (state == codec::HttpParser::State::kNeedMore) {
      const bool has_begun = !received_.empty() || parser_.head_parsed();
      const runtime::Time read_deadline =
          has_begun ? std::min(complete_by, runtime::Now() + kStallTimeout) : begin_by;
      const IoResult io = co_await socket_->Read(received_, kMaxReadBytes, read_deadline, cancel);
      if (io == IoResult::kOk) response_has_begun_ = true;
      if (io == IoResult::kOk) continue;
      if (io == IoResult::kReset) pending_ = keep_alive_ = false;
      if (io != IoResult::kClosed) co_return io;
      state = parser_.Finish();
    }
    pending_ = false;
    if (state != codec::HttpParser::State::kDone) {
      keep_alive_ = false;
      co_return IoResult::kClosed;
    }
    out = std::move(parser_.response());
    keep_alive_ = keep_alive_ && out.keep_alive;
    co_return IoResult::kOk;
  }
}

bool Connection::HasExcessBytes() const {
  if (received_.empty()) return false;
  return !std::string_view(received_).starts_with(kResponseStart.substr(0, received_.size()));
}

}  // namespace lemoncroft::http
