#include "broker/module_host.h"

namespace lemoncroft::broker {

void ModuleHost::Post(Event event) {
  events_.push_back(std::move(event));
  work_.Open();
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
  for (const Action& action : actions_) {
    if (const auto* wake = std::get_if<WakeAt>(&action)) {
      timers_.emplace(clock_.ToTime(wake->at), wake->token);
    } else {
      carry_out_(action);
    }
  }
}

}  // namespace lemoncroft::broker
