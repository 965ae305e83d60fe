// What the scheduler keeps about one request, from its arrival to its last outcome.
//
// Contract. Plain data, changed by the scheduler alone. Errors: none.
#ifndef LEMONCROFT_DECISION_REQUEST_STATE_H_
#define LEMONCROFT_DECISION_REQUEST_STATE_H_

#include <vector>

#include "decision/limits/sent_load.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft::decision {

enum class RequestPhase {
  kPending,                // may be sent to an engine
  kWaitingForOrderingKey,  // waits for an earlier request with its ordering key
  kInFlight,               // an attempt runs
  kDone,                   // has ended, but an attempt of it still runs
};

struct RequestState {
  Request spec;  // as it came
  RequestPhase phase = RequestPhase::kPending;
  Nanos objective_at = 0;  // end of its latency objective
  Nanos deadline = 0;
  double work = 0;  // expected, thread seconds
  double threads = 1;
  double priority_weight = 1;
  bool late = false;         // can no longer meet its latency objective
  bool exploratory = false;  // sent although the class's recent latency rules out its objective
  bool ordered = false;      // runs in turn with others of its ordering key
  Nanos next_check_at = 0;

  // Attempts.
  int attempts = 0;
  int runaway_cancels = 0;
  double projected_seconds = 0;     // duration that progress promised before a runaway cancel
  std::vector<EngineId> failed_on;  // engines that responded with an error
  Nanos may_have_run_at = -1;       // when the first attempt that may have run was sent; -1: none
  EngineEntry may_have_run_on;      // its engine

  // The last attempt.
  bool attempt_in_flight = false;
  bool attempt_cancelled = false;
  EngineId engine_id = 0;
  Nanos sent_at = 0;
  limits::AttemptCharge charge;
  double reserved_credit = 0;  // thread seconds
};

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_REQUEST_STATE_H_
