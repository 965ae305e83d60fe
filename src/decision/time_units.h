// Units of time, and conversions between the module's nanoseconds and the seconds that it computes with.
#ifndef LEMONCROFT_DECISION_TIME_UNITS_H_
#define LEMONCROFT_DECISION_TIME_UNITS_H_

#include <algorithm>

#include "lemoncroft/types.h"

namespace lemoncroft::decision {

inline constexpr Nanos kMillisecond = 1'000'000;
inline constexpr Nanos kSecond = 1000 * kMillisecond;

inline double ToSeconds(Nanos nanos) { return static_cast<double>(nanos) / kSecond; }

// Negative durations become 0. Durations are limited to 1e8 seconds, which is more than three years.
inline Nanos FromSeconds(double seconds) {
  constexpr double kMaxSeconds = 1e8;
  return static_cast<Nanos>(std::clamp(seconds, 0.0, kMaxSeconds) * kSecond);
}

}  // namespace lemoncroft::decision

#endif  // LEMONCROFT_DECISION_TIME_UNITS_H_
