// A circuit breaker for one engine: opened by the share of its recent attempts that failed, half open after a
// backoff, which doubles while attempts go on failing.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. Weights, from 0 to 1, are those of the newest outcome in the share that failed. Owner: the
// decision module, one for each engine. Errors: none. Source: Nygard, "Release It!" (2007), chapter 5.2.
#ifndef LEMONCROFT_LIMITS_CIRCUIT_BREAKER_H_
#define LEMONCROFT_LIMITS_CIRCUIT_BREAKER_H_

#include <algorithm>

#include "lemoncroft/types.h"

namespace lemoncroft::limits {

class CircuitBreaker {
 public:
  static constexpr double kFailureThreshold = 0.25;    // share of recent attempts that failed
  static constexpr Nanos kMinBackoff = 500'000'000;    // of the first opening
  static constexpr Nanos kMaxBackoff = 4'000'000'000;  // of any opening

  void RecordSuccess(double weight) {
    failure_share_ -= weight * failure_share_;
    if (failure_share_ < kFailureThreshold / 2) backoff_ = kMinBackoff;
  }

  // Returns whether it should be opened now.
  bool RecordFailure(double weight, Nanos now) {
    failure_share_ += weight * (1 - failure_share_);
    return failure_share_ > kFailureThreshold && !IsOpen(now);
  }

  // `jitter` scales the backoff, so that callers don't try again together.
  void Open(Nanos now, double jitter) {
    open_until_ = now + static_cast<Nanos>(static_cast<double>(backoff_) * jitter);
    backoff_ = std::min(kMaxBackoff, 2 * backoff_);
    failure_share_ = kFailureThreshold;
  }

  // Opens without a failure, as for an engine that reports itself full.
  void HoldOpenUntil(Nanos until) { open_until_ = std::max(open_until_, until); }

  bool IsOpen(Nanos now) const { return open_until_ > now; }
  // After its backoff: one attempt at a time is let through until successes have brought the share down.
  bool IsHalfOpen() const { return failure_share_ >= kFailureThreshold && backoff_ > kMinBackoff; }

 private:
  double failure_share_ = 0;
  Nanos open_until_ = 0;
  Nanos backoff_ = kMinBackoff;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_CIRCUIT_BREAKER_H_
