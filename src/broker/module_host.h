// Runs the decision module on the event loop: passes events to it and applies its actions.
//
// Events are collected and passed together in one step, with at most one step per tick of the settings. The
// host stores the timers that the module requests, and passes them back as events when they fire.
//
// The host owns the module, and the broker owns the host. It is not thread-safe and is used on the event
// loop's thread.
#ifndef LEMONCROFT_BROKER_MODULE_HOST_H_
#define LEMONCROFT_BROKER_MODULE_HOST_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "decision/module_clock.h"
#include "lemoncroft/gateway.h"
#include "runtime/loop.h"

namespace lemoncroft::broker {

class ModuleHost {
 public:
  // `apply_action` is called with every action except WakeAt, in order, within the step that produced it.
  ModuleHost(runtime::Loop& loop, const Settings& settings, std::uint64_t seed,
             std::function<void(const Action&)> apply_action)
      : loop_(loop),
        tick_(decision::ToDuration(settings.tick)),
        gateway_(settings, seed),
        apply_action_(std::move(apply_action)) {}

  // Steps the module until the loop stops.
  runtime::Task<> Run();
  // Queues an event for the next step.
  void Post(Event event);
  // Queues a change of settings. Their tick applies immediately.
  void ApplySettings(SettingsChanged change);

  // Converts a time of the module to the steady clock.
  runtime::Time ToTime(Nanos at) const { return clock_.ToTime(at); }
  std::vector<EngineId> EjectedEngines() const { return gateway_.EjectedEngines(clock_.At(runtime::Now())); }

 private:
  using Timer = std::pair<runtime::Time, std::uint64_t>;  // when it fires, and the module's token

  void Step();
  void CollectFiredTimers(runtime::Time now);

  runtime::Loop& loop_;
  runtime::Duration tick_;  // the minimum time between two steps
  decision::ModuleClock clock_;
  Gateway gateway_;
  std::function<void(const Action&)> apply_action_;
  std::vector<Event> events_;    // for the next step
  std::vector<Action> actions_;  // of the last step; a member so that its capacity is reused
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  runtime::ConditionVariable events_pending_;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_MODULE_HOST_H_
