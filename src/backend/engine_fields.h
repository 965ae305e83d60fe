// The names in the engines' HTTP protocol, as constants named after the terms of this program. Only
// engine_protocol.cpp uses them.
#ifndef LEMONCROFT_BACKEND_ENGINE_FIELDS_H_
#define LEMONCROFT_BACKEND_ENGINE_FIELDS_H_

namespace lemoncroft::backend::engine_fields {

// Paths. The path of a query is kQueriesPath/REQUEST-ID; that of one page of its result is
// kQueriesPath/REQUEST-ID/NUMBER.
inline constexpr const char* kQueriesPath = "/v2/q";
inline constexpr const char* kHealthPath = "/healthz";
inline constexpr const char* kStatsPath = "/stats";  // like kHealthPath, with a load report

// Methods on queries.
inline constexpr const char* kSubmit = "POST";
inline constexpr const char* kPoll = "GET";
inline constexpr const char* kSetPriority = "PUT";  // the body is the priority
inline constexpr const char* kCancel = "DELETE";

// Headers of a submission.
inline constexpr const char* kRequestId = "X-Txn";
inline constexpr const char* kClassName = "X-Lane";
inline constexpr const char* kTimeoutMs = "X-Limit-Ms";
inline constexpr const char* kIdempotencyKey = "X-Dedupe";  // absent: no key
inline constexpr const char* kMemoryGrantMb = "Pool-Mb";    // absent: the engine chooses
inline constexpr const char* kPriority = "Pool-Rank";

// Headers of a response.
inline constexpr const char* kLoadReport = "X-Gauges";  // see load_report.h
inline constexpr const char* kNotExecuted = "X-Unrun";  // "1": the statement was not executed
inline constexpr const char* kPageCount = "Chunks";     // with the first page
inline constexpr const char* kPageNumber = "Chunk";     // with each further page; the first page is number 0
inline constexpr const char* kWorkMs = "Elapsed-Work";  // CPU time
inline constexpr const char* kPeakMemoryMb = "High-Water";

inline constexpr const char* kNotExecutedTrue = "1";

// Statuses of a response.
inline constexpr int kDone = 200;      // with the first page
inline constexpr int kRunning = 202;   // poll again
inline constexpr int kError = 500;     // the query failed, or the engine doesn't know it
inline constexpr int kRejected = 503;  // with kNotExecuted: no capacity; otherwise the query failed
inline constexpr int kTimedOut = 504;  // with kNotExecuted: before execution; otherwise the query failed

}  // namespace lemoncroft::backend::engine_fields

#endif  // LEMONCROFT_BACKEND_ENGINE_FIELDS_H_
