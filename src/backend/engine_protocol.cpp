#include "backend/engine_protocol.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

#include "backend/engine_fields.h"
#include "backend/load_report.h"

namespace lemoncroft::backend {

namespace fields = engine_fields;

namespace {

constexpr int kMaxPages = 256;
constexpr std::size_t kMaxPageBytes = 6000;
constexpr std::size_t kColumns = 3;
// Reported values are clamped to these bounds; larger ones can't be measurements.
constexpr double kMaxWorkMs = 1e9;
constexpr double kMaxMemoryMb = 1e6;

std::string QueryPath(const std::string& request_id) {
  return std::string(fields::kQueriesPath) + "/" + request_id;
}

// Returns true if a page consists of complete rows of text. Detects pages that were truncated or overwritten.
bool HasCompleteRows(std::string_view page) {
  if (page.size() > kMaxPageBytes || (!page.empty() && page.back() != '\n')) return false;
  std::size_t columns = 1;
  for (const char c : page) {
    if (c == '\t') ++columns;
    if (c == '\n' && std::exchange(columns, 1) != kColumns) return false;
    if (static_cast<unsigned char>(c) < 0x20 && c != '\t' && c != '\n') return false;
  }
  return true;
}

bool IsValidPage(const codec::HttpResponse& response, int page) {
  return response.status == fields::kDone && response.Number(fields::kPageNumber) == page &&
         HasCompleteRows(response.body);
}

bool IsValidFirstPage(const codec::HttpResponse& response) {
  const std::optional<double> pages = response.Number(fields::kPageCount);
  const bool has_count = pages && *pages >= 1 && *pages <= kMaxPages && *pages == std::floor(*pages);
  return response.status == fields::kDone && has_count && !response.Number(fields::kPageNumber) &&
         HasCompleteRows(response.body);
}

bool WasNotExecuted(const codec::HttpResponse& response) {
  const std::string* value = response.Find(fields::kNotExecuted);
  return value != nullptr && *value == fields::kNotExecutedTrue;
}

}  // namespace

codec::HttpRequest MakeSubmitCall(const Attempt& attempt, runtime::Duration remaining_time) {
  const request::ForwardedFields& forwarded = *attempt.forwarded;
  const auto timeout_ms = std::chrono::ceil<std::chrono::milliseconds>(remaining_time).count();
  const auto grant_mb = static_cast<std::int64_t>(std::ceil(attempt.grant_mb));
  codec::HttpRequest call;
  call.method = fields::kSubmit;
  call.path = fields::kQueriesPath;
  call.headers.emplace_back(fields::kRequestId, forwarded.request_id);
  call.headers.emplace_back(fields::kClassName, forwarded.class_name);
  call.headers.emplace_back(fields::kTimeoutMs, std::to_string(timeout_ms));
  if (!forwarded.idempotency_key.empty())
    call.headers.emplace_back(fields::kIdempotencyKey, forwarded.idempotency_key);
  if (grant_mb > 0) call.headers.emplace_back(fields::kMemoryGrantMb, std::to_string(grant_mb));
  call.headers.emplace_back(fields::kPriority, std::to_string(attempt.priority));
  call.body = forwarded.statement;
  return call;
}

codec::HttpRequest MakePollCall(const std::string& request_id, int page) {
  codec::HttpRequest call;
  call.method = fields::kPoll;
  call.path = QueryPath(request_id) + "/" + std::to_string(page);
  return call;
}

codec::HttpRequest MakeProbeCall(ProbeKind kind) {
  codec::HttpRequest call;
  call.method = fields::kPoll;
  call.path = kind == ProbeKind::kWithLoadReport ? fields::kStatsPath : fields::kHealthPath;
  return call;
}

QueryCommand MakeCancelCommand(const std::string& request_id) { return {fields::kCancel, request_id, {}}; }

QueryCommand MakeSetPriorityCommand(const std::string& request_id, int priority) {
  return {fields::kSetPriority, request_id, std::to_string(priority)};
}

codec::HttpRequest MakeCommandCall(const QueryCommand& command) {
  codec::HttpRequest call;
  call.method = command.method;
  call.path = QueryPath(command.request_id);
  call.body = command.body;
  return call;
}

QueryStatus QueryStatusOf(const codec::HttpResponse& response) {
  const bool not_executed = WasNotExecuted(response);
  switch (response.status) {
    case fields::kDone:
      return QueryStatus::kDone;
    case fields::kRunning:
      return QueryStatus::kRunning;
    case fields::kRejected:
      return not_executed ? QueryStatus::kRejected : QueryStatus::kFailed;
    case fields::kTimedOut:
      return not_executed ? QueryStatus::kExpired : QueryStatus::kFailed;
    default:
      return QueryStatus::kErrorOrUnknown;
  }
}

bool IsValidResponse(const codec::HttpResponse& response, int page) {
  if (response.status == fields::kError) return true;
  if (page > 0) return IsValidPage(response, page);
  switch (response.status) {
    case fields::kRunning:
    case fields::kRejected:
    case fields::kTimedOut:
      return true;
    default:
      return IsValidFirstPage(response);
  }
}

bool HasPage(const codec::HttpResponse& response) { return response.status == fields::kDone; }

int PageCountOf(const codec::HttpResponse& response) {
  return static_cast<int>(response.Number(fields::kPageCount).value_or(1));
}

runtime::Duration WorkOf(const codec::HttpResponse& response) {
  const double work_ms = std::clamp(response.Number(fields::kWorkMs).value_or(0), 0.0, kMaxWorkMs);
  return std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double, std::milli>(work_ms));
}

double PeakMemoryMbOf(const codec::HttpResponse& response) {
  return std::clamp(response.Number(fields::kPeakMemoryMb).value_or(0), 0.0, kMaxMemoryMb);
}

LoadReport LoadReportOf(const codec::HttpResponse& response, const std::vector<std::string>& field_names) {
  const std::string* text = response.Find(fields::kLoadReport);
  return text == nullptr ? LoadReport() : ParseLoadReport(*text, field_names);
}

bool IsHealthy(const codec::HttpResponse& response) { return response.status == fields::kDone; }

}  // namespace lemoncroft::backend
