// The attempts of a request: starts and runs them, and reports them to the decision module and the admission
// queue.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "broker/broker.h"

namespace lemoncroft::broker {

using decision::ToDuration;
using decision::ToNanos;
using runtime::Now;
using runtime::Task;
using runtime::Time;

namespace {

std::int64_t Milliseconds(Nanos nanos) { return nanos / 1'000'000; }

void LogAttemptEnded(const ActiveRequest& request, const AttemptRecord& attempt, const AttemptEnded& event) {
  const request::ClientRequest& client_request = request.client_request;
  spdlog::debug(
      "request {} (class {}, table group {}): attempt {} at engine {} ended with outcome {} after {} ms; "
      "started {} ms after submission, work {} ms, estimated {} ms",
      request.client_request_id(), request.class_name(), client_request.table_group, event.attempt,
      event.engine, static_cast<int>(event.outcome), Milliseconds(event.elapsed),
      Milliseconds(ToNanos(attempt.started - request.submitted)), Milliseconds(event.work),
      Milliseconds(ToNanos(client_request.estimated_work)));
}

}  // namespace

void Broker::StartAttempt(const ActiveRequestPtr& request, const Send& send) {
  const bool may_have_run = request->MayHaveRun();
  const int number = AddAttempt(*request, send.engine);
  const Time started = request->attempt(number).started;
  const Time latest_end = request->DecisionDeadline();
  backend::Attempt attempt;
  attempt.forwarded = &request->client_request.forwarded;
  attempt.engine = send.engine;
  attempt.deadline = send.timeout > 0 ? std::min(latest_end, started + ToDuration(send.timeout)) : latest_end;
  attempt.not_after = module_host_.ToTime(send.not_after);
  attempt.grant_mb = request->grant.grant_mb;
  attempt.priority = request->grant.priority;
  attempt.exclusive = !site_->module.may_hedge || request->client_request.ordering_key != 0;
  attempt.last_of_request_by = request->ResponseDeadline();
  attempt.may_have_run = may_have_run;
  if (ordering_key_turns_ != nullptr) ordering_key_turns_->OnSent(request->id);
  loop_.Spawn(RunAttempt(request, number, attempt));
}

Task<> Broker::RunAttempt(ActiveRequestPtr request, int number, backend::Attempt attempt) {
  AttemptRecord& record = request->attempt(number);
  // The decision module must receive an outcome in every case. After an exception, the outcome is kReset, the
  // default of Result: the attempt may have run.
  AttemptFinished finished{number, {}};
  try {
    finished.result = co_await engines_.Run(attempt, record.cancel);
  } catch (const std::exception& e) {
    spdlog::error("request {}: attempt {} ended with an exception: {}", request->client_request_id(), number,
                  e.what());
  }
  record.may_have_run = MayHaveRun(finished.result.outcome);
  record.running = false;
  request->Post(std::move(finished));
}

int Broker::AddAttempt(ActiveRequest& request, EngineId engine) {
  const int number = static_cast<int>(request.attempts.size());
  auto record = std::make_unique<AttemptRecord>();
  record->engine = engine;
  record->started = Now();
  request.attempts.push_back(std::move(record));
  if (queue_) queue_->OnAttemptStarted(request.id, number, request.grant.priority);
  return number;
}

bool Broker::MustRejectForLease(const ActiveRequest& request, const Send& send) const {
  if (lease_fence_ == nullptr || request.MayHaveRun()) return false;
  return !lease_fence_->PermitsSend(request.class_name(), send.engine);
}

void Broker::ReportNotSent(ActiveRequest& request, const Send& send, Progress progress) {
  const int number = AddAttempt(request, send.engine);
  request.attempt(number).running = false;
  AttemptFinished finished{number, {}};
  finished.result.outcome = Outcome::kNotSent;
  ReportAttemptEnded(request, finished, progress);
}

void Broker::ReportAttemptEnded(ActiveRequest& request, const AttemptFinished& finished, Progress progress) {
  const AttemptRecord& record = request.attempt(finished.attempt);
  const backend::Result& result = finished.result;
  AttemptEnded event;
  event.id = request.id;
  event.attempt = finished.attempt;
  event.engine = record.engine;
  event.outcome = result.outcome;
  event.elapsed = ToNanos(Now() - record.started);
  event.request_finished = progress == Progress::kCompleted;
  event.work = ToNanos(result.work);
  event.memory_mb = result.memory_mb;
  event.load_report = result.load;
  LogAttemptEnded(request, record, event);
  if (MayStillRun(result.outcome)) PauseOrderingKey(request);
  module_host_.Post(event);
  if (queue_) queue_->OnAttemptEnded(request.id, finished.attempt, result.work, MayHaveRun(result.outcome));
}

void Broker::ApplyGrant(ActiveRequest& request, const ResourceGrant& grant) {
  const bool priority_changed = grant.priority != request.grant.priority;
  request.grant = grant;
  if (!priority_changed) return;
  for (const auto& attempt : request.attempts) {
    if (attempt->running)
      engines_.UpdatePriority(attempt->engine, request.client_request_id(), grant.priority);
  }
}

}  // namespace lemoncroft::broker
