// The engines' HTTP protocol: calls as HTTP requests, and the meaning of HTTP responses. engine_fields.h
// lists its words; docs/requests.md describes the exchange.
//
// Pure functions without I/O or state.
#ifndef LEMONCROFT_BACKEND_ENGINE_PROTOCOL_H_
#define LEMONCROFT_BACKEND_ENGINE_PROTOCOL_H_

#include <string>
#include <string_view>
#include <vector>

#include "backend/attempt.h"
#include "codec/http.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::backend {

// ---- Calls ----

// Submits the statement of an attempt. The call refers to the attempt's forwarded fields.
codec::HttpRequest SubmitCall(const Attempt& attempt, runtime::Duration remaining_time);
// Asks for one page of a query's result. Page 0 comes once the query is done; until then it is its status.
codec::HttpRequest PollCall(const std::string& request_id, int page);
// Asks for the engine's health, and with `kWithLoadReport` for a load report.
enum class ProbeKind { kHealthOnly, kWithLoadReport };
codec::HttpRequest ProbeCall(ProbeKind kind);

// A call that changes a query and whose response has no content. Owns its texts.
struct QueryCommand {
  std::string_view method;  // a literal
  std::string request_id;
  std::string body;
};
QueryCommand CancelCommand(const std::string& request_id);
QueryCommand SetPriorityCommand(const std::string& request_id, int priority);
// The call refers to the command.
codec::HttpRequest CommandCall(const QueryCommand& command);

// ---- Responses ----

// What a valid response to a poll of page 0 says of the query.
enum class QueryStatus {
  kDone,  // the response has the first page
  kRunning,
  kRejected,        // not executed: the engine has no capacity
  kExpired,         // not executed: its time ran out
  kFailed,          // may have been executed
  kErrorOrUnknown,  // failed, or the engine doesn't know the query
};
QueryStatus QueryStatusOf(const codec::HttpResponse& response);

// Whether a response can be the engine's answer to a poll of this page, and is no damaged or foreign one.
bool IsValidResponse(const codec::HttpResponse& response, int page);
// Whether a valid response has a page.
bool HasPage(const codec::HttpResponse& response);
// The number of pages of a query that is done.
int PageCountOf(const codec::HttpResponse& response);
// CPU time and peak memory of a query that is done; zero where the engine doesn't say.
runtime::Duration WorkOf(const codec::HttpResponse& response);
double PeakMemoryMbOf(const codec::HttpResponse& response);
// The load report in a response, empty if there is none. `field_names` as in ParseLoadReport.
LoadReport LoadReportOf(const codec::HttpResponse& response, const std::vector<std::string>& field_names);
// Whether the response to a probe says that the engine is healthy.
bool IsHealthy(const codec::HttpResponse& response);

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_ENGINE_PROTOCOL_H_
