// One attempt of a request at one engine, and what came of it.
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
  // The query is given up by then. The end of an exclusive attempt may be reported later, once its
  // cancellation is confirmed.
  runtime::Time deadline{};
  // The statement must not be sent after this: past its window the engine would execute a repeat.
  runtime::Time not_after = runtime::kNever;
  double grant_mb = 0;  // memory; 0: the engine chooses
  int priority = 1;
  bool may_have_run = false;  // an earlier attempt may have been executed, or still be
  // Must not run beside another attempt, or beside the next request with its ordering key: the attempt ends
  // only once the engine surely no longer runs it.
  bool exclusive = false;
};

struct Result {
  Outcome outcome = Outcome::kReset;
  runtime::Duration work{};  // CPU time of the query; zero: unknown
  double memory_mb = 0;      // peak memory of the query; 0: unknown
  LoadReport load;           // the newest that came with a response; empty if none did
  std::string rows;          // if the outcome is kOk
};

// What one health check found.
struct ProbeResult {
  Outcome outcome = Outcome::kConnectFailed;
  LoadReport load;
};

}  // namespace lemoncroft::backend

#endif  // LEMONCROFT_BACKEND_ATTEMPT_H_
