// The scheduler's state of one request, from its arrival to its last outcome. Only the scheduler changes it.
#ifndef LEMONCROFT_DECISION_REQUEST_STATE_H_
#define LEMONCROFT_DECISION_REQUEST_STATE_H_

#include <vector>

#include "decision/limits/sent_load.h"
#include "decision/pending_requests.h"
#include "lemoncroft/gateway.h"

namespace lemoncroft::decision {

enum class RequestPhase {
  kPending,                // may be sent to an engine
  kWaitingForOrderingKey,  // waits for an earlier request with its ordering key
  kInFlight,               // an attempt is in flight
  kDone,                   // has ended, but an attempt of it is still in flight
};

struct RequestState {
  Request spec;  // the request as received
  RequestPhase phase = RequestPhase::kPending;
  PendingRequests::GroupKey pending_group;  // in which it was last pending
  Nanos objective_at = 0;                   // end of its latency objective
  Nanos deadline = 0;
  double work = 0;  // expected work, in thread seconds
  double threads = 1;
  double priority_weight = 1;
  bool late = false;         // can no longer meet its latency objective
  bool exploratory = false;  // sent although the class's recent latency rules out its objective
  bool ordered = false;      // runs one at a time with other requests of its ordering key
  Nanos next_check_at = 0;

  // Attempts.
  int attempts = 0;
  int runaway_cancels = 0;
  double projected_seconds = 0;     // duration projected from progress before the last runaway cancel
  std::vector<EngineId> failed_on;  // engine of each attempt that ended with an error; may repeat
  Nanos may_have_run_at = -1;       // send time of the first attempt that may have run; -1 = none
  EngineEntry may_have_run_on;      // the engine of that attempt

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
