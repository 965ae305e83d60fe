#include "http/connection.h"

#include <algorithm>

namespace lemoncroft::http {

using runtime::Io;

namespace {
using namespace std::chrono_literals;
constexpr std::size_t kReadAtOnce = 16 * 1024;
constexpr auto kRestWithin =
    150ms;  // of an answer that has begun: past this its length was wrong, or it hangs
}  // namespace

runtime::Task<Io> Connection::Call(const codec::HttpRequest& request, runtime::Time deadline,
                                   runtime::Cancellation* cancel, codec::HttpResponse& out) {
  const Io io = co_await Send(request, deadline, cancel);
  if (io != Io::kOk) co_return io;
  co_return co_await Receive(deadline, cancel, out);
}

runtime::Task<Io> Connection::Send(const codec::HttpRequest& request, runtime::Time deadline,
                                   runtime::Cancellation* cancel) {
  sent_any_ = false;
  auto bytes = codec::WriteHead(request, host_);
  if (!bytes) co_return Io::kClosed;
  bytes->append(request.body);
  pending_ = true;
  parser_ = codec::HttpParser(limits_);
  std::size_t written = 0;
  const Io io = co_await socket_->Write(*bytes, written, deadline, cancel);
  sent_any_ = written > 0;
  if (io != Io::kOk) keep_ = false;  // half a request has gone: nothing else may follow it
  co_return io;
}

runtime::Task<Io> Connection::Receive(runtime::Time deadline, runtime::Cancellation* cancel,
                                      codec::HttpResponse& out) {
  co_return co_await Receive(deadline, deadline, cancel, out);
}

runtime::Task<Io> Connection::Receive(runtime::Time begin_by, runtime::Time whole_by,
                                      runtime::Cancellation* cancel, codec::HttpResponse& out) {
  for (;;) {
    codec::HttpParser::State state = parser_.Feed(in_);
    if (state == codec::HttpParser::State::kNeedMore) {
      const bool begun = !in_.empty() || parser_.begun();  // and not after an interim answer alone
      const runtime::Time until = begun ? std::min(whole_by, runtime::Now() + kRestWithin) : begin_by;
      const Io io = co_await socket_->Read(in_, kReadAtOnce, until, cancel);
      if (io == Io::kOk) continue;
      if (io != Io::kClosed) co_return io;
      state = parser_.Finish();
    }
    pending_ = false;
    // An unreadable answer is as good as none: the connection is of no more use.
    if (state != codec::HttpParser::State::kDone) {
      keep_ = false;
      co_return Io::kClosed;
    }
    out = std::move(parser_.response());
    keep_ = keep_ && out.keep_alive;
    co_return Io::kOk;
  }
}

}  // namespace lemoncroft::http
