// Conversions between the program's durations and points in time and the module's Nanos. No other code
// converts between them.
//
// The module's clock is the Unix time at the start of this process plus the time on the steady clock since
// then. It never runs backwards, and the Unix times of the control feed need no further offset.
#ifndef LEMONCROFT_DECISION_MODULE_CLOCK_H_
#define LEMONCROFT_DECISION_MODULE_CLOCK_H_

#include <chrono>

#include "lemoncroft/types.h"
#include "runtime/loop.h"

namespace lemoncroft::decision {

constexpr runtime::Duration ToDuration(Nanos nanos) { return runtime::Duration(nanos); }
constexpr Nanos ToNanos(runtime::Duration span) { return span.count(); }

class ModuleClock {
 public:
  ModuleClock()
      : offset_(std::chrono::system_clock::now().time_since_epoch() - runtime::Now().time_since_epoch()) {}

  Nanos At(runtime::Time time) const { return ToNanos(time.time_since_epoch() + offset_); }
  runtime::Time ToTime(Nanos at) const {
    return at == kNoLimit ? runtime::kNever : runtime::Time(ToDuration(at) - offset_);
  }
  static Nanos AtUnix(std::chrono::milliseconds since_epoch) { return ToNanos(since_epoch); }

 private:
  runtime::Duration offset_;
};

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_MODULE_CLOCK_H_
