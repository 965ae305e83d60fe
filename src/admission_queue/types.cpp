#include "admission_queue/types.h"

#include <algorithm>

namespace lemoncroft::admission_queue {

Duration FromSeconds(double seconds) {
  constexpr double kMaxSeconds = 4e6;
  if (!(seconds == seconds)) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(seconds, -kMaxSeconds, kMaxSeconds)));
}

const char* Description(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNone:
      return "none";
    case RejectReason::kNoBudget:
      return "the tenant or class is unknown, or the tenant has no budget";
    case RejectReason::kClassBarred:
      return "the tenant may not use the class";
    case RejectReason::kTenantQueueFull:
      return "the tenant has too many requests waiting";
    case RejectReason::kQueueFull:
      return "too many requests are waiting";
    case RejectReason::kTooLate:
      return "the request could not start in time";
  }
  return "?";
}

}  // namespace lemoncroft::admission_queue
