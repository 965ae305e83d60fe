// The coroutine of a request: reacts to one event at a time until the request is complete, then waits for the
// attempts that still run.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "broker/broker.h"

namespace lemoncroft::broker {

using decision::ToDuration;
using decision::ToNanos;
using request::ResponseStatus;
using runtime::Duration;
using runtime::Now;
using runtime::Task;
using runtime::Time;

namespace {

// Returns the request in the form that is passed to the decision module.
Request DescribeForModule(const ActiveRequest& request) {
  const request::ClientRequest& client_request = request.client_request;
  Request described;
  described.id = request.id;
  described.class_id = client_request.class_id;
  described.tenant = client_request.tenant;
  described.ordering_key = client_request.ordering_key;
  described.client_timeout = std::max<Nanos>(0, ToNanos(client_request.deadline - Now()));
  described.estimated_work = ToNanos(client_request.estimated_work);
  described.estimated_memory_mb = client_request.estimated_memory_mb;
  described.table_group = client_request.table_group;
  return described;
}

// Cancelled requests are not counted here but where the client cancels.
metrics::RequestResult RequestResultOf(ResponseStatus status) {
  switch (status) {
    case ResponseStatus::kServed:
      return metrics::RequestResult::kServed;
    case ResponseStatus::kRejected:
      return metrics::RequestResult::kRejected;
    case ResponseStatus::kFailed:
      break;
  }
  return metrics::RequestResult::kFailed;
}

}  // namespace

void Broker::CancelRequest(RequestId id) { Deliver(id, CancelledByClient{}); }

void Broker::PassToModule(const ActiveRequest& request) {
  Request described = DescribeForModule(request);
  described.held = MustHoldForOrderingKey(request);
  module_host_.Post(described);
}

Task<> Broker::RunRequest(ActiveRequestPtr request) {
  if (!queue_) PassToModule(*request);
  co_await RunUntilCompleted(request);
  if (queue_) queue_->OnRequestCompleted(request->id);
  --open_requests_;
  open_bytes_ -= request->client_request.forwarded.bytes();
  request->sink.reset();
  co_await AwaitCancelledAttempts(*request);
  FinishOrderingKey(*request);
  ids_by_client_id_.erase(request->client_request_id());
  active_requests_.erase(request->id);
}

Task<> Broker::RunUntilCompleted(const ActiveRequestPtr& request) {
  for (Progress progress = Progress::kOpen; progress == Progress::kOpen;) {
    const Time deadline =
        request->deadline_reported ? request->ResponseDeadline() : request->DecisionDeadline();
    RequestEvent event = co_await NextEvent(*request, deadline);
    progress = std::visit([&](auto& received) { return OnEvent(request, received); }, event);
  }
}

Task<> Broker::AwaitCancelledAttempts(ActiveRequest& request) {
  for (const auto& attempt : request.attempts) attempt->cancel.Cancel();
  // The module may have decided on an attempt before it was notified of the completion. The Send of that
  // attempt is then handled here.
  while (request.HasRunningAttempts() || !request.inbox.empty()) {
    const RequestEvent event = co_await NextEvent(request, runtime::kNever);
    if (const auto* finished = std::get_if<AttemptFinished>(&event))
      ReportAttemptEnded(request, *finished, Progress::kCompleted);
    if (const auto* send = std::get_if<Send>(&event)) ReportNotSent(request, *send, Progress::kCompleted);
  }
}

Task<RequestEvent> Broker::NextEvent(ActiveRequest& request, Time deadline) {
  while (request.inbox.empty()) {
    const runtime::WakeReason wake = co_await runtime::Waiter(loop_, &request.inbox_filled, deadline);
    if (wake == runtime::WakeReason::kTimeout) co_return DeadlinePassed{};
  }
  RequestEvent event = std::move(request.inbox.front());
  request.inbox.pop_front();
  co_return event;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const ResourceGrant& grant) {
  ApplyGrant(*request, grant);
  return Progress::kOpen;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const Send& send) {
  if (!MustRejectForLease(*request, send)) {
    StartAttempt(request, send);
    return Progress::kOpen;
  }
  ReportNotSent(*request, send, Progress::kOpen);
  Respond(*request, {ResponseStatus::kRejected, MaxRetryAfter(), {}});
  module_host_.Post(RequestCancelled{request->id});
  return Progress::kCompleted;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const Cancel& cancel) {
  const auto number = static_cast<std::size_t>(cancel.attempt);
  if (number < request->attempts.size()) request->attempts[number]->cancel.Cancel();
  return Progress::kOpen;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const RejectRequest& reject) {
  Respond(*request, {ResponseStatus::kRejected, RetryAfter(*request, reject), {}});
  return Progress::kCompleted;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const FailRequest&) {
  Respond(*request, {ResponseStatus::kFailed, {}, {}});
  return Progress::kCompleted;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, AttemptFinished& finished) {
  const bool served = finished.result.outcome == Outcome::kOk;
  if (served) Respond(*request, {ResponseStatus::kServed, {}, std::move(finished.result.rows)});
  const Progress progress = served ? Progress::kCompleted : Progress::kOpen;
  ReportAttemptEnded(*request, finished, progress);
  return progress;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const CancelledByClient&) {
  counters_.CountEnded(request->class_name(), metrics::RequestResult::kCancelled);
  module_host_.Post(RequestCancelled{request->id});
  return Progress::kCompleted;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const DeadlinePassed&) {
  if (!std::exchange(request->deadline_reported, true)) {
    module_host_.Post(DeadlineReached{request->id});
    return Progress::kOpen;
  }
  spdlog::warn("request {}: failed after its deadline, because the decision module made no final decision",
               request->client_request_id());
  Respond(*request, {ResponseStatus::kFailed, {}, {}});
  module_host_.Post(RequestCancelled{request->id});
  return Progress::kCompleted;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const admission_queue::Dispatch&) {
  PassToModule(*request);
  return Progress::kOpen;
}

// The request has not run, and was not passed to the decision module.
Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const RejectedByQueue& rejected) {
  const Duration retry_after = site_->module.may_send_retry_after ? rejected.retry_after : Duration::zero();
  Respond(*request, {ResponseStatus::kRejected, retry_after, {}});
  return Progress::kCompleted;
}

Broker::Progress Broker::OnEvent(const ActiveRequestPtr& request, const request::WaitNotice& notice) {
  request->sink->NotifyWait(notice);
  return Progress::kOpen;
}

void Broker::Respond(const std::string& class_name, request::ResponseSink& sink,
                     const request::Response& response) {
  counters_.CountEnded(class_name, RequestResultOf(response.status));
  sink.Complete(response);
}

void Broker::Respond(ActiveRequest& request, const request::Response& response) {
  Respond(request.class_name(), *request.sink, response);
}

// The decision module sends either no retry-after (0), which is kept, or the longest that the settings allow.
// The admission queue, if enabled, replaces the latter by its estimate, which is more accurate.
Duration Broker::RetryAfter(const ActiveRequest& request, const RejectRequest& reject) {
  if (!queue_ || reject.retry_after <= 0) return ToDuration(reject.retry_after);
  return queue_->RetryAfter(request.client_request.tenant, request.client_request.class_id);
}

}  // namespace lemoncroft::broker
