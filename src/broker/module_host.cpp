#include "broker/module_host.h"

#include <spdlog/spdlog.h>

namespace lemoncroft::broker {

namespace {

// What the module is told and what it says, a line each at log level trace: tests compare the sequence.
void Trace(const Event& event) {
  if (const auto* list = std::get_if<EngineList>(&event)) {
    spdlog::trace("told list {}", list->entries ? list->entries->size() : 0);
  } else if (const auto* request = std::get_if<Request>(&event)) {
    spdlog::trace("told request {} class {} tenant {} work {}", request->id, request->class_id,
                  request->tenant, request->est_work);
  } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    spdlog::trace("told ended {}.{} outcome {} finished {} work {}", ended->id, ended->attempt,
                  static_cast<int>(ended->outcome), ended->finished, ended->work);
  } else if (const auto* gone = std::get_if<ClientGone>(&event)) {
    spdlog::trace("told gone {}", gone->id);
  }
}

void Trace(const Action& action) {
  if (const auto* terms = std::get_if<ResourceGrant>(&action)) {
    spdlog::trace("says terms {} priority {}", terms->id, terms->priority);
  } else if (const auto* send = std::get_if<Send>(&action)) {
    spdlog::trace("says send {}", send->id);
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    spdlog::trace("says cancel {}.{}", cancel->id, cancel->attempt);
  } else if (const auto* refuse = std::get_if<RejectRequest>(&action)) {
    spdlog::trace("says refuse {} later {}", refuse->id, refuse->retry_after);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    spdlog::trace("says fail {}", fail->id);
  }
}

}  // namespace

void ModuleHost::Post(Event event) {
  events_.push_back(std::move(event));
  work_.Open();
}

void ModuleHost::ApplySettings(SettingsChanged retuned) {
  tick_ = decision::ToSpan(retuned.settings->tick);
  Post(std::move(retuned));
}

runtime::Task<> ModuleHost::Run() {
  for (;;) {
    while (events_.empty() && (timers_.empty() || timers_.top().first > runtime::Now())) {
      const runtime::Time due = timers_.empty() ? runtime::kNever : timers_.top().first;
      co_await runtime::Waiter(loop_, &work_, due);
    }
    const runtime::Time stepped = runtime::Now();
    Step();
    co_await loop_.SleepUntil(stepped + tick_);
  }
}

void ModuleHost::Step() {
  const runtime::Time now = runtime::Now();
  for (; !timers_.empty() && timers_.top().first <= now; timers_.pop()) {
    events_.emplace_back(TimerFired{timers_.top().second});
  }
  std::vector<Event> events;
  events.swap(events_);
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
      carry_out_(action);
    }
  }
}

}  // namespace lemoncroft::broker
