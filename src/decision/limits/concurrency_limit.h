// The limit on threads that one gateway's requests run at one engine, adjusted by feedback: raised by a step
// while requests are pending, taken back if throughput didn't gain, lowered while it isn't needed.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. Units: threads; work in thread seconds; latency as the ratio to the best of the class. Owner:
// the decision module, one for each engine. Errors: none. Source: Schroeder et al., "How to determine a good
// multi-programming level for external scheduling" (2006), section 4.3.
#ifndef LEMONCROFT_LIMITS_CONCURRENCY_LIMIT_H_
#define LEMONCROFT_LIMITS_CONCURRENCY_LIMIT_H_

#include "lemoncroft/types.h"

namespace lemoncroft::limits {

// What the gateway has seen of all engines since its last review.
struct Pressure {
  bool had_pending = false;       // requests were left pending
  bool objective_missed = false;  // a pending request missed its latency objective
};

class ConcurrencyLimit {
 public:
  static constexpr double kSeedThreadsPerCore = 1.5;  // initial limit of one engine, of all gateways together
  static constexpr Nanos kPeriod = 2'000'000'000;     // observation period, with requests pending

  // Begins the first observation period with `seed` threads.
  void Start(double seed, Nanos now);

  void RecordResponse(double work, double latency_ratio);
  // The engine rejected a request as full.
  void RecordFull() { period_.full = true; }

  // Whether the observation period has seen enough to adjust the limit.
  bool PeriodComplete(bool had_pending, Nanos now) const {
    const Nanos length = now - period_start_;
    const bool long_enough = had_pending && length >= period_length_;
    return length > 0 && (long_enough || period_.responses >= kMaxPeriodResponses);
  }
  // Adjusts the limit and begins the next period. `seed` is the limit to fall back to. `uniform`, from 0 to
  // 1, varies the length of the next period, so that gateways don't adjust in step.
  void Adjust(double seed, const Pressure& pressure, double uniform, Nanos now);

  double threads() const { return threads_; }

 private:
  struct Period {
    double work = 0;     // sum over its responses
    double latency = 0;  // likewise
    int responses = 0;
    bool full = false;
  };

  static constexpr int kMaxPeriodResponses = 100;  // that complete a period as well

  void Step(double seed, const Pressure& pressure, double seconds);

  double threads_ = 0;
  Nanos period_start_ = 0;
  Nanos period_length_ = kPeriod;
  Period period_;
  bool raised_ = false;  // by the last adjustment
  double last_throughput_ = 0;
  double last_latency_ = 0;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_CONCURRENCY_LIMIT_H_
