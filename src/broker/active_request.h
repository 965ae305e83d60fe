// The state of one request between its admission and the end of its last attempt.
//
// Created by Broker::Submit. Shared by the broker's table, the request's coroutine and the coroutines of its
// attempts. Thread safety: none; used on the event loop's thread.
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

// The client no longer waits for a response.
struct CancelledByClient {};

// The time that the request's coroutine waited for has come: first DecisionDeadline, then ResponseDeadline.
struct DeadlinePassed {};

// The admission queue has rejected the request after queueing it.
struct RejectedByQueue {
  runtime::Duration retry_after{};
};

// What a request's coroutine reacts to, in order of arrival: actions of the decision module, decisions of the
// admission queue, ends of attempts, the client and the clock.
using RequestEvent =
    std::variant<ResourceGrant, Send, Cancel, RejectRequest, FailRequest, AttemptFinished, CancelledByClient,
                 DeadlinePassed, admission_queue::Dispatch, RejectedByQueue, request::WaitNotice>;

// One attempt of a request. Its number is its index in ActiveRequest::attempts.
struct AttemptRecord {
  EngineId engine = 0;
  runtime::Time started{};
  bool running = true;
  bool may_have_run = false;  // set when it ends
  runtime::Cancellation cancel;
};

struct ActiveRequest {
  RequestId id = 0;
  runtime::Time submitted{};
  request::ClientRequest client_request;
  std::unique_ptr<request::ResponseSink> sink;  // null once the request is complete
  ResourceGrant grant;                          // for further attempts
  std::vector<std::unique_ptr<AttemptRecord>> attempts;
  bool deadline_reported = false;  // to the decision module
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
  // Whether an engine may have executed the request, or may be executing it.
  bool MayHaveRun() const;

  // When the decision module is told that time is up: early enough for it to decide before the client stops
  // waiting. Attempts are given up by then.
  runtime::Time DecisionDeadline() const;
  // When the request fails whatever the decision module and its attempts do.
  runtime::Time ResponseDeadline() const;
};
using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

// See ActiveRequest::DecisionDeadline.
runtime::Time DecisionDeadlineOf(const request::ClientRequest& client_request);

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_ACTIVE_REQUEST_H_
