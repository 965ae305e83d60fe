// A client's request and the response to it, in terms of no wire protocol. Front ends, the broker and the
// back end exchange these types; none of them depends on another one's protocol.
//
// Plain values without I/O. Thread safety: none; used on the event loop's thread.
#ifndef LEMONCROFT_REQUEST_CLIENT_REQUEST_H_
#define LEMONCROFT_REQUEST_CLIENT_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::request {

// The fields that an engine is sent with the bytes that the client sent.
struct ForwardedFields {
  std::string request_id;  // the client's; unique among the requests in flight
  std::string class_name;
  std::string idempotency_key;  // empty: none
  std::string statement;

  // Memory that the fields take, in bytes.
  std::size_t bytes() const {
    return request_id.size() + class_name.size() + idempotency_key.size() + statement.size();
  }
};

// A checked request of a client.
struct ClientRequest {
  ForwardedFields forwarded;
  std::uint16_t class_id = 0;
  std::uint16_t tenant = kNoTenant;
  std::uint64_t ordering_key = 0;      // requests with one key are executed in order; 0: none
  std::uint32_t table_group = 0;       // see codec::TableGroup; 0: none
  runtime::Time deadline{};            // when the client stops waiting
  runtime::Duration estimated_work{};  // zero: no estimate
  double estimated_memory_mb = 0;      // zero: no estimate
  bool wants_wait_notices = false;
};

// How a request ended.
enum class ResponseStatus {
  kServed,
  kRejected,  // not served; harmless to send again: not executed, or of a class whose repeats do no harm
  kFailed,    // may have been executed
};

// The final response to a request.
struct Response {
  ResponseStatus status = ResponseStatus::kFailed;
  runtime::Duration retry_after{};  // of a rejected request; zero: no advice
  std::string rows;                 // of a served request
};

// An estimate of the wait until the first attempt of a request starts. Sent only to clients that ask for it.
struct WaitNotice {
  runtime::Duration wait{};
  runtime::Duration upper_bound{};  // `wait` plus the recent estimation error
};

// Receives the response to one request. Implemented by front ends; owned by the request until it completes.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Delivers the final response. Called at most once, and never after the request was cancelled.
  virtual void Complete(const Response& response) = 0;
  // Delivers an estimate; called any number of times before Complete.
  virtual void NotifyWait(const WaitNotice&) {}
};

}  // namespace lemoncroft::request

#endif  // LEMONCROFT_REQUEST_CLIENT_REQUEST_H_
