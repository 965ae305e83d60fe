// A client's request and the response to it, independent of any wire protocol. The front ends, the broker and
// the back end exchange these types, so that none of them depends on the protocol of another.
//
// Plain values without I/O. Not thread-safe; used on the event loop's thread.
#ifndef LEMONCROFT_REQUEST_CLIENT_REQUEST_H_
#define LEMONCROFT_REQUEST_CLIENT_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::request {

// The fields that are forwarded to an engine byte for byte as the client sent them.
struct ForwardedFields {
  std::string request_id;  // chosen by the client; unique among the requests in flight
  std::string class_name;
  std::string idempotency_key;  // empty: no key
  std::string statement;

  // Returns the total size of the fields.
  std::size_t bytes() const {
    return request_id.size() + class_name.size() + idempotency_key.size() + statement.size();
  }
};

// A validated request of a client.
struct ClientRequest {
  ForwardedFields forwarded;
  std::uint16_t class_id = 0;
  std::uint16_t tenant = kNoTenant;
  std::uint64_t ordering_key = 0;      // requests with the same key run in order; 0: no key
  std::uint32_t table_group = 0;       // see codec::TableGroup; 0: no table group
  runtime::Time deadline{};            // when the client stops waiting
  runtime::Duration estimated_work{};  // zero: no estimate
  double estimated_memory_mb = 0;      // zero: no estimate
  bool wants_wait_notices = false;
};

// The result of a request.
enum class ResponseStatus {
  kServed,
  kRejected,  // not served; safe to retry: not executed, or of a class whose repeats do no harm
  kFailed,    // may have been executed
};

// The final response to a request.
struct Response {
  ResponseStatus status = ResponseStatus::kFailed;
  runtime::Duration retry_after{};  // of a rejected request; zero: not specified
  std::string rows;                 // of a served request
};

// An estimate of the wait until the first attempt of a request starts. Sent only to clients that request it.
struct WaitNotice {
  runtime::Duration wait{};
  runtime::Duration upper_bound{};  // `wait` plus the recent estimation error
};

// Receives the response to one request. Front ends implement it; the broker's ActiveRequest owns it until
// the request completes.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Delivers the final response. Called at most once, and never after the request was cancelled.
  virtual void Complete(const Response& response) = 0;
  // Delivers an estimate. Called any number of times before Complete.
  virtual void NotifyWait(const WaitNotice&) {}
};

}  // namespace lemoncroft::request

#endif  // LEMONCROFT_REQUEST_CLIENT_REQUEST_H_
