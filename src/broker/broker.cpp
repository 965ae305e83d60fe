#include "broker/broker.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace lemoncroft::broker {

using decision::ToNanos;
using decision::ToSpan;
using runtime::Now;
using runtime::Span;
using runtime::Task;
using runtime::Time;
using namespace std::chrono_literals;

namespace {

// An attempt ends this long before its client gives up: time for the module to say the last word.
constexpr auto kLastWord = 12ms;
// Past the client's deadline the guard answers, whatever the module or an engine is doing.
constexpr auto kGuard = 8ms;

template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace

Broker::Broker(runtime::Loop& loop, const settings::ActiveSettings& site, std::uint64_t seed,
               backend::Engines& engines, metrics::Counters& counters, Limits limits)
    : loop_(loop),
      site_(site),
      engines_(engines),
      counters_(counters),
      limits_(limits),
      host_(loop, site->module, seed, [this](const Action& action) { CarryOut(action); }) {}

void Broker::EnableAdmissionQueue(admission_queue::Settings settings) {
  queue_ = std::make_unique<AdmissionQueueHost>(
      loop_, std::move(settings), site_->module.kinds,
      [this](const admission_queue::Decision& decision) { CarryOut(decision); });
}

void Broker::Start() {
  loop_.Spawn(host_.Run());
  if (queue_) loop_.Spawn(queue_->Run());
}

void Broker::UpdateEndpoints(EngineList list) {
  if (queue_) queue_->UpdateEndpoints(list);
  host_.Post(std::move(list));
}

void Broker::ApplySettings(std::vector<int> inherits_estimates_from, std::size_t requests) {
  limits_.max_requests = requests;
  const auto site = site_.snapshot();
  if (queue_) queue_->set_kinds(site->module.kinds);
  host_.ApplySettings(
      {std::shared_ptr<const Settings>(site, &site->module), std::move(inherits_estimates_from)});
}

void Broker::SetFleetSize(int serving, int place) {
  if (queue_) queue_->SetProxyCount(serving);
  host_.Post(FleetSize{serving, place});
}

settings::ReferencedNumbers Broker::NumbersInUse() const {
  settings::ReferencedNumbers used;
  for (const auto& [id, life] : lives_) {
    used.classes.insert(life->client_request.class_id);
    used.tenants.insert(life->client_request.tenant);
  }
  return used;
}

void Broker::Finish(const std::string& lane, request::ResponseSink& sink, const request::Response& answer) {
  using metrics::End;
  counters_.Ended(lane, answer.status == request::ResponseStatus::kServed     ? End::kOk
                        : answer.status == request::ResponseStatus::kRejected ? End::kShed
                                                                              : End::kError);
  sink.Complete(answer);
}

RequestId Broker::Submit(request::ClientRequest request, std::unique_ptr<request::ResponseSink> sink) {
  const std::string& lane = request.forwarded.class_name;
  counters_.Taken(lane);
  const std::size_t bytes = request.forwarded.bytes();
  // Refused before the module hears of it: nothing ran, and the process lives.
  const bool allowed = lease_fence_ == nullptr || lease_fence_->AdmitsClass(lane);
  if (closed_ || !allowed || lives_.size() >= limits_.max_requests || bytes_ + bytes > limits_.max_bytes) {
    Finish(lane, *sink, {request::ResponseStatus::kRejected, ComeBackMost(), {}});
    return 0;
  }
  // An engine knows a query by the client's id alone: under one id two would be taken for each other there. A
  // second one is no request; one behind an end that the engine is still being told may come again.
  if (const auto it = ids_.find(request.forwarded.request_id); it != ids_.end()) {
    const bool open = lives_.at(it->second)->sink != nullptr;
    Finish(lane, *sink,
           {open ? request::ResponseStatus::kFailed : request::ResponseStatus::kRejected, {}, {}});
    return 0;
  }
  const RequestId id = next_id_++;
  if (queue_) {
    const auto taken = queue_->Submit({id, request.tenant, request.class_id, request.estimated_work,
                                       request.deadline - kLastWord, request.wants_wait_notices});
    if (taken.rejected) {
      Finish(lane, *sink,
             {request::ResponseStatus::kRejected,
              site_->module.may_send_retry_after ? taken.rejected->retry_after : Span::zero(),
              {}});
      return 0;
    }
    if (request.wants_wait_notices) sink->NotifyWait({taken.estimate.wait, taken.estimate.upper_bound});
  }
  auto life = std::make_shared<ActiveRequest>();
  life->id = id;
  life->taken = Now();
  life->client_request = std::move(request);
  life->sink = std::move(sink);
  lives_.emplace(life->id, life);
  ids_.emplace(life->client_request.forwarded.request_id, life->id);
  ++open_;
  bytes_ += bytes;
  loop_.Spawn(RunRequest(std::move(life)));
  return id;
}

void Broker::CancelRequest(RequestId id) { Deliver(id, Abandoned{}); }

// The life of a request. Until it is answered: what the module decides is done, what attempts bring is told.
// After that, what still runs is given up and its end is told too, since the module waits for it.
// One loop over all events of a request; not split yet.
// NOLINTNEXTLINE(readability-function-size)
Task<> Broker::RunRequest(ActiveRequestPtr life) {
  if (!queue_) host_.Post(Described(*life));
  const Time last_word = life->client_request.deadline - kLastWord,
             guard = life->client_request.deadline + kGuard;
  bool deadline_told = false;
  const std::string& lane = life->client_request.forwarded.class_name;
  for (bool answered = false; !answered;) {
    News news = co_await Next(*life, deadline_told ? guard : last_word);
    answered = std::visit(
        Overloaded{
            [&](const ResourceGrant& terms) {
              ApplyTerms(*life, terms);
              return false;
            },
            [&](const Send& send) {
              if (!Forbidden(*life, send)) {
                StartAttempt(life, send);
                return false;
              }
              ReportNotSent(*life, send, false);
              Finish(lane, *life->sink, {request::ResponseStatus::kRejected, ComeBackMost(), {}});
              host_.Post(ClientGone{life->id});
              return true;
            },
            [&](const Cancel& cancel) {
              const auto number = static_cast<std::size_t>(cancel.attempt);
              if (number < life->attempts.size()) life->attempts[number]->cancel.Cancel();
              return false;
            },
            [&](const RejectRequest& refuse) {
              Finish(lane, *life->sink, {request::ResponseStatus::kRejected, Advice(*life, refuse), {}});
              return true;
            },
            [&](const admission_queue::Dispatch&) {
              host_.Post(Described(*life));
              return false;
            },
            [&](const TurnedAway& turned) {  // never ran, and the module never heard of it
              const Span later = site_->module.may_send_retry_after ? turned.later : Span::zero();
              Finish(lane, *life->sink, {request::ResponseStatus::kRejected, later, {}});
              return true;
            },
            [&](const request::WaitNotice& foretold) {
              life->sink->NotifyWait(foretold);
              return false;
            },
            [&](const Fail&) {
              Finish(lane, *life->sink, {request::ResponseStatus::kFailed, {}, {}});
              return true;
            },
            [&](Ended& ended) {
              const bool served = ended.result.outcome == Outcome::kOk;
              if (served)
                Finish(lane, *life->sink,
                       {request::ResponseStatus::kServed, {}, std::move(ended.result.rows)});
              ReportAttemptEnded(*life, ended, served);
              return served;
            },
            [&](const Abandoned&) {
              counters_.Ended(lane, metrics::End::kWithdrawn);
              host_.Post(ClientGone{life->id});
              return true;
            },
            [&](const Overdue&) {
              if (!std::exchange(deadline_told, true)) {
                host_.Post(DeadlineReached{life->id});
                return false;
              }
              spdlog::warn("request {}: answered by the guard", life->client_request.forwarded.request_id);
              Finish(lane, *life->sink, {request::ResponseStatus::kFailed, {}, {}});
              host_.Post(ClientGone{life->id});
              return true;
            },
        },
        news);
  }
  if (queue_) queue_->OnRequestCompleted(life->id);
  --open_;
  bytes_ -= life->client_request.forwarded.bytes();
  life->sink.reset();
  for (const auto& running : life->attempts) running->cancel.Cancel();
  const auto out = [&] {
    return std::any_of(life->attempts.begin(), life->attempts.end(), [](const auto& a) { return a->out; });
  };
  // Among what is left may be an attempt that the module decided on before it heard of the end.
  while (out() || !life->inbox.empty()) {
    const News news = co_await Next(*life, runtime::kNever);
    if (const auto* ended = std::get_if<Ended>(&news)) ReportAttemptEnded(*life, *ended, true);
    if (const auto* send = std::get_if<Send>(&news)) ReportNotSent(*life, *send, true);
  }
  ids_.erase(life->client_request.forwarded.request_id);
  lives_.erase(life->id);
}

Task<Broker::News> Broker::Next(ActiveRequest& life, Time guard) {
  while (life.inbox.empty()) {
    const runtime::Wake wake = co_await runtime::Waiter(loop_, &life.arrived, guard);
    if (wake == runtime::Wake::kTimeout) co_return Overdue{};
  }
  News news = std::move(life.inbox.front());
  life.inbox.pop_front();
  co_return news;
}

void Broker::StartAttempt(const ActiveRequestPtr& life, const Send& send) {
  const Time now = Now();
  const Time last = life->client_request.deadline - kLastWord;
  auto running = std::make_unique<Running>();
  running->engine = send.engine;
  running->started = now;
  const int number = static_cast<int>(life->attempts.size());
  life->attempts.push_back(std::move(running));
  if (queue_) queue_->OnAttemptStarted(life->id, number, life->terms.priority);
  backend::Attempt attempt;
  attempt.forwarded = &life->client_request.forwarded;
  attempt.engine = send.engine;
  attempt.deadline = send.timeout > 0 ? std::min(last, now + ToSpan(send.timeout)) : last;
  attempt.not_after = host_.ToTime(send.not_after);
  attempt.grant_mb = life->terms.grant_mb;
  attempt.priority = life->terms.priority;
  attempt.exclusive = !site_->module.may_hedge || life->client_request.ordering_key != 0;
  attempt.again = std::any_of(life->attempts.begin(), std::prev(life->attempts.end()),
                              [](const auto& a) { return a->ran || a->out; });
  loop_.Spawn(RunAttempt(life, number, attempt));
}

// Whether an isolated proxy has to reject the request at once: no attempt of it can have been executed.
bool Broker::Forbidden(const ActiveRequest& life, const Send& send) const {
  if (lease_fence_ == nullptr) return false;
  const bool again =
      std::any_of(life.attempts.begin(), life.attempts.end(), [](const auto& a) { return a->out || a->ran; });
  return !again && !lease_fence_->PermitsSend(life.client_request.forwarded.class_name, send.engine);
}

// An attempt that the module counts and that was never made.
void Broker::ReportNotSent(ActiveRequest& life, const Send& send, bool finished) {
  auto running = std::make_unique<Running>();
  running->engine = send.engine;
  running->started = Now();
  running->out = false;
  const int number = static_cast<int>(life.attempts.size());
  life.attempts.push_back(std::move(running));
  if (queue_) queue_->OnAttemptStarted(life.id, number, life.terms.priority);
  Ended ended{number, {}};
  ended.result.outcome = Outcome::kNotSent;
  ReportAttemptEnded(life, ended, finished);
}

Span Broker::ComeBackMost() const {
  return site_->module.may_send_retry_after ? ToSpan(site_->module.max_retry_after) : Span::zero();
}

Task<> Broker::RunAttempt(ActiveRequestPtr life, int number, backend::Attempt attempt) {
  Ended ended{number, {}};
  // Whatever goes wrong in here, the module is owed an outcome; that it never ran can't be claimed then.
  try {
    ended.result = co_await engines_.Run(attempt, life->attempts[static_cast<std::size_t>(number)]->cancel);
  } catch (const std::exception& e) {
    spdlog::error("request {}: attempt {} broke off: {}", life->client_request.forwarded.request_id, number,
                  e.what());
  }
  const Outcome how = ended.result.outcome;
  Running& running = *life->attempts[static_cast<std::size_t>(number)];
  running.ran = how != Outcome::kFull && how != Outcome::kConnectFailed && how != Outcome::kNotSent;
  running.out = false;
  life->inbox.push_back(std::move(ended));
  life->arrived.Open();
}

void Broker::ApplyTerms(ActiveRequest& life, const ResourceGrant& terms) {
  const bool changed = terms.priority != life.terms.priority;
  life.terms = terms;
  if (!changed) return;
  for (const auto& running : life.attempts) {
    if (running->out)
      engines_.UpdatePriority(running->engine, life.client_request.forwarded.request_id, terms.priority);
  }
}

void Broker::ReportAttemptEnded(const ActiveRequest& life, const Ended& ended, bool finished) {
  const Running& running = *life.attempts[static_cast<std::size_t>(ended.attempt)];
  AttemptEnded event;
  event.id = life.id;
  event.attempt = ended.attempt;
  event.engine = running.engine;
  event.outcome = ended.result.outcome;
  event.waited = ToNanos(Now() - running.started);
  event.finished = finished;
  event.work = ToNanos(ended.result.work);
  event.memory_mb = ended.result.memory_mb;
  event.load = ended.result.load;
  const request::ClientRequest& request = life.client_request;
  spdlog::debug("request {} {} group {}: attempt {} at {} ended {} after {} ms, held {} ms, work {} of {} ms",
                request.forwarded.request_id, request.forwarded.class_name, request.table_group,
                ended.attempt, running.engine, static_cast<int>(event.outcome), event.waited / 1'000'000,
                ToNanos(running.started - life.taken) / 1'000'000, event.work / 1'000'000,
                ToNanos(request.estimated_work) / 1'000'000);
  host_.Post(event);
  if (!queue_) return;
  const bool ran = event.outcome != Outcome::kFull && event.outcome != Outcome::kConnectFailed &&
                   event.outcome != Outcome::kNotSent;
  queue_->OnAttemptEnded(life.id, ended.attempt, ended.result.work, ran);
}

// What the line foresees, where there is one, is more honest than the longest wait that the settings allow.
Span Broker::Advice(const ActiveRequest& life, const RejectRequest& refuse) {
  if (!queue_ || refuse.retry_after <= 0) return ToSpan(refuse.retry_after);
  return queue_->RetryAfter(life.client_request.tenant, life.client_request.class_id);
}

Event Broker::Described(const ActiveRequest& life) const {
  const request::ClientRequest& from = life.client_request;
  Request request;
  request.id = life.id;
  request.class_id = from.class_id;
  request.tenant = from.tenant;
  request.key = from.ordering_key;
  request.client_timeout = std::max<Nanos>(0, ToNanos(from.deadline - Now()));
  request.est_work = ToNanos(from.estimated_work);
  request.est_memory_mb = from.estimated_memory_mb;
  request.tables = from.table_group;
  return request;
}

void Broker::CarryOut(const Action& action) {
  std::visit(Overloaded{
                 [&](const Probe& probe) { loop_.Spawn(RunProbe(probe.engine)); },
                 [](const LogLine& line) { spdlog::info("module: {}", line.text); },
                 [](const WakeAt&) {},     // the host's own
                 [](const WatchList&) {},  // the control feed is always followed
                 [&](const auto& about) { Deliver(about.id, about); },
             },
             action);
}

void Broker::CarryOut(const admission_queue::Decision& decision) {
  std::visit(
      Overloaded{
          [&](const admission_queue::Dispatch& hand) { Deliver(hand.id, hand); },
          [&](const admission_queue::Reject& refuse) { Deliver(refuse.id, TurnedAway{refuse.retry_after}); },
          [&](const admission_queue::EstimateUpdate& tell) {
            Deliver(tell.id, request::WaitNotice{tell.estimate.wait, tell.estimate.upper_bound});
          },
          [](const admission_queue::LogEvent&) {},  // the host's own
      },
      decision);
}

Task<> Broker::RunProbe(EngineId engine) {
  const Time started = Now();
  Probed probed;
  probed.engine = engine;
  const backend::ProbeResult result = co_await engines_.Probe(engine);
  probed.outcome = result.outcome;
  probed.load = result.load;
  probed.waited = ToNanos(Now() - started);
  host_.Post(probed);
}

void Broker::Deliver(RequestId id, News news) {
  const auto it = lives_.find(id);
  if (it == lives_.end()) return;
  it->second->inbox.push_back(std::move(news));
  it->second->arrived.Open();
}

}  // namespace lemoncroft::broker
