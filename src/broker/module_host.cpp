#include "broker/module_host.h"

#include <spdlog/spdlog.h>

#include "broker/overloaded.h"

namespace lemoncroft::broker {

namespace {

// Logs the main events and actions at level trace, one per line. A test compares these lines with a stored
// trace, so their texts must not change.
void Trace(const Event& event) {
  std::visit(Overloaded{
                 [](const EngineList& list) {
                   spdlog::trace("told list {}", list.entries ? list.entries->size() : 0);
                 },
                 [](const Request& request) {
                   spdlog::trace("told request {} class {} tenant {} work {}", request.id, request.class_id,
                                 request.tenant, request.estimated_work);
                 },
                 [](const AttemptEnded& ended) {
                   spdlog::trace("told ended {}.{} outcome {} finished {} work {}", ended.id, ended.attempt,
                                 static_cast<int>(ended.outcome), ended.request_finished, ended.work);
                 },
                 [](const RequestCancelled& cancelled) { spdlog::trace("told gone {}", cancelled.id); },
                 [](const auto&) {},
             },
             event);
}

void Trace(const Action& action) {
  std::visit(Overloaded{
                 [](const ResourceGrant& grant) {
                   spdlog::trace("says terms {} priority {}", grant.id, grant.priority);
                 },
                 [](const Send& send) { spdlog::trace("says send {}", send.id); },
                 [](const Cancel& cancel) { spdlog::trace("says cancel {}.{}", cancel.id, cancel.attempt); },
                 [](const RejectRequest& reject) {
                   spdlog::trace("says refuse {} later {}", reject.id, reject.retry_after);
                 },
                 [](const FailRequest& fail) { spdlog::trace("says fail {}", fail.id); },
                 [](const auto&) {},
             },
             action);
}

}  // namespace

void ModuleHost::Post(Event event) {
  events_.push_back(std::move(event));
  events_pending_.Notify();
}

void ModuleHost::ApplySettings(SettingsChanged change) {
  tick_ = decision::ToDuration(change.settings->tick);
  Post(std::move(change));
}

runtime::Task<> ModuleHost::Run() {
  for (;;) {
    while (events_.empty() && (timers_.empty() || timers_.top().first > runtime::Now())) {
      const runtime::Time next_timer = timers_.empty() ? runtime::kNever : timers_.top().first;
      co_await runtime::Waiter(loop_, &events_pending_, next_timer);
    }
    const runtime::Time step_time = runtime::Now();
    Step();
    co_await loop_.SleepUntil(step_time + tick_);
  }
}

void ModuleHost::CollectFiredTimers(runtime::Time now) {
  while (!timers_.empty() && timers_.top().first <= now) {
    events_.emplace_back(TimerFired{timers_.top().second});
    timers_.pop();
  }
}

void ModuleHost::Step() {
  const runtime::Time now = runtime::Now();
  CollectFiredTimers(now);
  std::vector<Event> events;
  events.swap(events_);  // applying the actions may post events for the next step
  actions_.clear();
  gateway_.Step(clock_.At(now), events, actions_);
  if (spdlog::should_log(spdlog::level::trace)) {
    for (const Event& event : events) Trace(event);
    for (const Action& action : actions_) Trace(action);
  }
  for (const Action& action : actions_) {
    if (const auto* wake = std::get_if<WakeAt>(&action)) {
      timers_.emplace(clock_.ToTime(wake->at), wake->token);
    } else {
      apply_action_(action);
    }
  }
}

}  // namespace lemoncroft::broker
