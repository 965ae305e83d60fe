// One attempt of a request at one engine, and its result.
#ifndef LEMONCROFT_BACKEND_ATTEMPT_H_
#define LEMONCROFT_BACKEND_ATTEMPT_H_

#include <string>

#include "lemoncroft/gateway.h"
#include "request/client_request.h"
#include "runtime/loop.h"

namespace lemoncroft::backend {

struct Attempt {
  const request::ForwardedFields* forwarded = nullptr;  // outlives the attempt
  EngineId engine = 0;
  // The query is abandoned at this time at the latest. The end of an exclusive attempt may be reported later,
  // once its cancellation is confirmed.
  runtime::Time deadline{};
  // The statement must not be sent after this time. Set if an earlier attempt may have been executed: once
  // the repeat window has passed, the engine would execute the statement a second time.
  runtime::Time not_after = runtime::kNever;
  double grant_mb = 0;  // memory grant; 0: the engine chooses
  int priority = 1;
  bool may_have_run = false;  // an earlier attempt may have been executed, or may still be running
  // The attempt must not run concurrently with another attempt of its request, or with the next request that
  // has the same ordering key. It therefore ends only when the engine certainly no longer runs it.
  bool exclusive = false;
  // The time after which no attempt of the request follows. An exclusive attempt whose statement may still
  // arrive at the engine ends then.
  runtime::Time last_of_request_by{};
};

struct Result {
  Outcome outcome = Outcome::kReset;
  runtime::Duration work{};  // CPU time of the query; zero: unknown
  double memory_mb = 0;      // peak memory of the query; 0: unknown
  LoadReport load;           // the newest one received with a response; empty if there was none
  std::string rows;          // set if the outcome is kOk
};

// The result of one probe.
struct ProbeResult {
  Outcome outcome = Outcome::kConnectFailed;
  LoadReport load;
};

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_ATTEMPT_H_
