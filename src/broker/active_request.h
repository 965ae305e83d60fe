// The state of one request between its admission and the end of its last attempt.
//
// Broker::Submit creates it; the broker's table, the request's coroutine and the coroutines of its attempts
// share its ownership. It is not thread-safe and is used on the event loop's thread.
#ifndef LEMONCROFT_BROKER_ACTIVE_REQUEST_H_
#define LEMONCROFT_BROKER_ACTIVE_REQUEST_H_

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "admission_queue/types.h"
#include "backend/engines.h"
#include "lemoncroft/gateway.h"
#include "request/client_request.h"
#include "runtime/loop.h"

namespace lemoncroft::broker {

// An attempt of the request has ended.
struct AttemptFinished {
  int attempt = 0;  // index into ActiveRequest::attempts
  backend::Result result;
};

// The client has left or has cancelled the request.
struct CancelledByClient {};

// The deadline that the request's coroutine waited for has passed: first DecisionDeadline, then
// ResponseDeadline.
struct DeadlinePassed {};

// The admission queue has rejected the request after queueing it.
struct RejectedByQueue {
  runtime::Duration retry_after{};
};

// An event that a request's coroutine reacts to: an action of the decision module, a decision of the
// admission queue, the end of an attempt, a cancellation by the client, or a deadline. Events are handled in
// order of arrival.
using RequestEvent =
    std::variant<ResourceGrant, Send, Cancel, RejectRequest, FailRequest, AttemptFinished, CancelledByClient,
                 DeadlinePassed, admission_queue::Dispatch, RejectedByQueue, request::WaitNotice>;

// One attempt of a request. Its number is its index in ActiveRequest::attempts.
struct AttemptRecord {
  EngineId engine = 0;
  runtime::Time started{};
  bool running = true;
  bool may_have_run = false;  // set when the attempt ends
  runtime::Cancellation cancel;
};

struct ActiveRequest {
  RequestId id = 0;
  runtime::Time submitted{};
  request::ClientRequest client_request;
  std::unique_ptr<request::ResponseSink> sink;  // null once the request is complete
  ResourceGrant grant;                          // applies to further attempts
  std::vector<std::unique_ptr<AttemptRecord>> attempts;
  // The end of the pause of its ordering key, after an attempt of unknown outcome.
  runtime::Time ordering_key_paused_until{};
  bool deadline_reported = false;  // DeadlineReached was posted to the decision module
  std::deque<RequestEvent> inbox;
  runtime::ConditionVariable inbox_filled;

  const std::string& client_request_id() const { return client_request.forwarded.request_id; }
  const std::string& class_name() const { return client_request.forwarded.class_name; }
  AttemptRecord& attempt(int number) const { return *attempts[static_cast<std::size_t>(number)]; }

  // Queues an event and wakes the request's coroutine.
  void Post(RequestEvent event) {
    inbox.push_back(std::move(event));
    inbox_filled.Notify();
  }
  bool HasRunningAttempts() const;
  // Returns true if an engine may have executed the request, or may be executing it.
  bool MayHaveRun() const;

  // The time at which the decision module is notified that the deadline is reached: early enough for it to
  // decide before the client stops waiting. Attempts are abandoned at this time at the latest.
  runtime::Time DecisionDeadline() const;
  // The time at which the request fails, regardless of the decision module and of its attempts.
  runtime::Time ResponseDeadline() const;
};
using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

// See ActiveRequest::DecisionDeadline.
runtime::Time DecisionDeadlineOf(const request::ClientRequest& client_request);

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_ACTIVE_REQUEST_H_
