// Steps the decision module: on events and timers, no oftener than the site's tick.
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
  // `carry_out` is handed every action but timers, in order, at the time of its step.
  ModuleHost(runtime::Loop& loop, const Settings& settings, std::uint64_t seed,
             std::function<void(const Action&)> carry_out)
      : loop_(loop),
        tick_(decision::ToSpan(settings.tick)),
        gateway_(settings, seed),
        carry_out_(std::move(carry_out)) {}

  void Post(Event event);
  void ApplySettings(SettingsChanged retuned);
  runtime::Time ToTime(Nanos at) const { return clock_.ToTime(at); }
  std::vector<EngineId> Avoided() const { return gateway_.Avoided(clock_.At(runtime::Now())); }
  runtime::Task<> Run();

 private:
  using Timer = std::pair<runtime::Time, std::uint64_t>;

  void Step();

  runtime::Loop& loop_;
  runtime::Span tick_;
  decision::ModuleClock clock_;
  Gateway gateway_;
  std::function<void(const Action&)> carry_out_;
  std::vector<Event> events_;
  std::vector<Action> actions_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  runtime::Gate work_;
};

}  // namespace lemoncroft::broker

#endif  // LEMONCROFT_BROKER_MODULE_HOST_H_
