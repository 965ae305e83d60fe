// A circuit breaker for one engine (Nygard, "Release It!", 2007, chapter 5.2). The share of recent attempts
// that failed opens it. After a backoff, which doubles while attempts continue to fail, it is half open.
//
// The caller passes the current time, in nanoseconds of the decision module's clock, which never runs
// backwards. A weight, from 0 to 1, is that of the newest outcome in the share that failed.
#ifndef LEMONCROFT_LIMITS_CIRCUIT_BREAKER_H_
#define LEMONCROFT_LIMITS_CIRCUIT_BREAKER_H_

#include <algorithm>

#include "lemoncroft/types.h"

namespace lemoncroft::limits {

class CircuitBreaker {
 public:
  static constexpr double kFailureThreshold = 0.25;    // share of recent attempts that failed
  static constexpr Nanos kMinBackoff = 500'000'000;    // 500 ms, of the first opening
  static constexpr Nanos kMaxBackoff = 4'000'000'000;  // 4 s, of any opening

  void RecordSuccess(double weight) {
    failure_share_ -= weight * failure_share_;
    if (failure_share_ < kFailureThreshold / 2) backoff_ = kMinBackoff;
  }

  // Returns true if the circuit breaker should be opened now.
  bool RecordFailure(double weight, Nanos now) {
    failure_share_ += weight * (1 - failure_share_);
    return failure_share_ > kFailureThreshold && !IsOpen(now);
  }

  // `jitter` is a factor of the backoff, so that gateways don't retry at the same time.
  void Open(Nanos now, double jitter) {
    open_until_ = now + static_cast<Nanos>(static_cast<double>(backoff_) * jitter);
    backoff_ = std::min(kMaxBackoff, 2 * backoff_);
    failure_share_ = kFailureThreshold;
  }

  // Opens it without a failure, for example for an engine that reports itself full.
  void HoldOpenUntil(Nanos until) { open_until_ = std::max(open_until_, until); }

  bool IsOpen(Nanos now) const { return open_until_ > now; }
  // Returns true after a failure has opened it, until successes have reduced the share of failures. Once the
  // backoff is over, one attempt at a time is let through.
  bool IsHalfOpen() const { return failure_share_ >= kFailureThreshold && backoff_ > kMinBackoff; }

 private:
  double failure_share_ = 0;
  Nanos open_until_ = 0;
  Nanos backoff_ = kMinBackoff;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_CIRCUIT_BREAKER_H_
