// The engines' HTTP protocol: builds the HTTP requests of calls, and interprets the HTTP responses.
// engine_fields.h lists the names of the protocol; docs/requests.md describes the exchange.
//
// All functions are pure.
#ifndef LEMONCROFT_BACKEND_ENGINE_PROTOCOL_H_
#define LEMONCROFT_BACKEND_ENGINE_PROTOCOL_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "backend/attempt.h"
#include "codec/http.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::backend {

// An engine abandons a query that has not been polled for this long. The margin covers calls in flight.
inline constexpr std::chrono::milliseconds kEngineAbandonTimeout{2000}, kEngineAbandonMargin{100};

// ---- Calls ----

// Makes the call that submits the statement of an attempt. The call refers to the attempt's forwarded fields,
// which must outlive it.
codec::HttpRequest MakeSubmitCall(const Attempt& attempt, runtime::Duration remaining_time);
// Makes the call that polls for one page of a query's result. Until the query is done, the response to a poll
// for page 0 is the status of the query.
codec::HttpRequest MakePollCall(const std::string& request_id, int page);
// A probe requests the engine's health, and with kWithLoadReport also a load report.
enum class ProbeKind { kHealthOnly, kWithLoadReport };
codec::HttpRequest MakeProbeCall(ProbeKind kind);

// A call that changes a query and whose response has no content. Owns the request id and the body.
struct QueryCommand {
  std::string_view method;  // refers to a string literal
  std::string request_id;
  std::string body;
};
QueryCommand MakeCancelCommand(const std::string& request_id);
QueryCommand MakeSetPriorityCommand(const std::string& request_id, int priority);
// Makes the call that sends a command. The call refers to the command, which must outlive it.
codec::HttpRequest MakeCommandCall(const QueryCommand& command);

// ---- Responses ----

// The status of a query, according to a valid response to a poll for page 0.
enum class QueryStatus {
  kDone,  // the response contains the first page
  kRunning,
  kRejected,        // not executed: the engine has no capacity
  kExpired,         // not executed: its timeout expired
  kFailed,          // may have been executed
  kErrorOrUnknown,  // the query failed, or the engine doesn't know it
};
QueryStatus QueryStatusOf(const codec::HttpResponse& response);

// Returns true if this can be the engine's response to a poll for the page, and is neither damaged nor the
// response to another call.
bool IsValidResponse(const codec::HttpResponse& response, int page);
// Returns true if a valid response contains a page.
bool HasPage(const codec::HttpResponse& response);
// Returns the number of pages of a query that is done.
int PageCountOf(const codec::HttpResponse& response);
// Return the CPU time and the peak memory of a query that is done; zero if the engine doesn't report them.
runtime::Duration WorkOf(const codec::HttpResponse& response);
double PeakMemoryMbOf(const codec::HttpResponse& response);
// Returns the load report in a response; it is empty if there is none. `field_names` are the names for
// ParseLoadReport.
LoadReport LoadReportOf(const codec::HttpResponse& response, const std::vector<std::string>& field_names);
// Returns true if the response to a probe says that the engine is healthy.
bool IsHealthy(const codec::HttpResponse& response);

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_ENGINE_PROTOCOL_H_
