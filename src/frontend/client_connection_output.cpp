#include <chrono>
#include <string>

#include "frontend/client_connection.h"
#include "frontend/client_fields.h"

namespace lemoncroft::frontend {

using runtime::Duration;
using runtime::IoResult;
using runtime::Now;
using runtime::Task;
using namespace client_protocol;
using namespace std::chrono_literals;

namespace {

constexpr auto kWriteTimeout = 5s;

// Whole milliseconds, rounded up.
std::string MillisecondsText(Duration span) {
  return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(span).count());
}

codec::ResponseCode CodeOf(request::ResponseStatus status) {
  switch (status) {
    case request::ResponseStatus::kServed:
      return codec::kServedCode;
    case request::ResponseStatus::kRejected:
      return codec::kRejectedCode;
    case request::ResponseStatus::kFailed:
      break;
  }
  return codec::kFailedCode;
}

}  // namespace

void ClientConnection::SendResponse(std::uint32_t stream, const request::Response& response) {
  if (output_closed_) return;
  open_streams_.erase(stream);
  last_active_at_ = Now();
  std::string retry_after;
  codec::FieldViews fields;
  if (response.retry_after > Duration::zero()) {
    retry_after = MillisecondsText(response.retry_after);
    fields.emplace_back(kFieldRetryAfterMs, retry_after);
  }
  Append(codec::kResponseFrame, stream, CodeOf(response.status), fields, response.rows);
  if (open_streams_.empty() && discards_input_) stop_discarding_.Cancel();
}

void ClientConnection::SendWaitNotice(std::uint32_t stream, const request::WaitNotice& notice) {
  if (output_closed_) return;
  const std::string expected = MillisecondsText(notice.wait);
  const std::string max = MillisecondsText(notice.upper_bound);
  Append(codec::kWaitNoticeFrame, stream, codec::kServedCode,
         {{kFieldExpectedWaitMs, expected}, {kFieldMaxWaitMs, max}});
}

void ClientConnection::SendError(std::uint32_t stream, std::string_view text) {
  ++input_errors_;
  Append(codec::kResponseFrame, stream, codec::kFailedCode, {}, text);
}

void ClientConnection::Append(codec::FrameType type, std::uint32_t stream, codec::ResponseCode code,
                              const codec::FieldViews& fields, std::string_view body) {
  if (aborted_ || closing_) return;
  codec::WriteResponse(output_, type, stream, code, fields, body);
  output_appended_.Notify();
  AccountOutput();
  // Drops clients that leave responses unread, before their buffers exhaust the process's memory.
  if (output_.size() > context_.limits.max_unread_bytes) Abort();
  if (context_.total_unread_bytes > context_.limits.max_total_unread_bytes) context_.reclaim_output();
}

void ClientConnection::AccountOutput() {
  const std::size_t bytes = aborted_ ? 0 : output_.size() + writing_.size();
  context_.total_unread_bytes += bytes - accounted_output_bytes_;
  accounted_output_bytes_ = bytes;
}

// Writes all output that was appended within one turn of the loop at once.
Task<> ClientConnection::WriteOutput(std::shared_ptr<ClientConnection> self) {
  ClientConnection& c = *self;
  while (!c.aborted_ && (!c.output_.empty() || !c.output_closed_)) {
    if (c.output_.empty()) {
      co_await runtime::Waiter(c.context_.loop, &c.output_appended_, runtime::kNever);
      continue;
    }
    c.writing_.swap(c.output_);
    c.write_in_progress_ = true;
    std::size_t written = 0;
    const IoResult io =
        co_await c.socket_->Write(c.writing_, written, Now() + kWriteTimeout, &c.stop_writing_);
    std::string().swap(c.writing_);
    c.AccountOutput();
    c.write_in_progress_ = false;
    if (io != IoResult::kOk) c.Abort();
    c.output_flushed_.Notify();
  }
}

void ClientConnection::Abort() {
  aborted_ = true;
  std::string().swap(output_);
  AccountOutput();
  stop_writing_.Cancel();
  stop_reading_.Cancel();
  stop_discarding_.Cancel();
  output_appended_.Notify();
  output_flushed_.Notify();
}

}  // namespace lemoncroft::frontend
