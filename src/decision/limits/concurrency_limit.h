// The limit on the threads that the requests of one gateway use at one engine. It is adjusted by feedback
// (Schroeder et al., "How to determine a good multi-programming level for external scheduling", 2006,
// section 4.3): it is raised by a step while requests are pending, the step is reverted if throughput doesn't
// increase, and the limit is lowered while it isn't needed.
//
// The caller passes the current time, in nanoseconds of the decision module's clock, which never runs
// backwards. Work is in thread seconds. Latency is relative to the best latency of the class.
#ifndef LEMONCROFT_LIMITS_CONCURRENCY_LIMIT_H_
#define LEMONCROFT_LIMITS_CONCURRENCY_LIMIT_H_

#include "lemoncroft/types.h"

namespace lemoncroft::limits {

// Signs that the engines together don't meet the demand, in the current interval of kPeriod.
struct UnmetDemand {
  bool had_pending = false;       // requests remained pending
  bool objective_missed = false;  // a pending request missed its latency objective
};

class ConcurrencyLimit {
 public:
  static constexpr double kSeedThreadsPerCore = 1.5;  // initial limit of an engine, for all gateways together
  static constexpr Nanos kPeriod = 2'000'000'000;     // observation period of 2 s, with requests pending

  // Starts the first observation period with a limit of `seed` threads.
  void Start(double seed, Nanos now);

  void RecordResponse(double work, double latency_ratio);
  // Records that the engine rejected a request as full.
  void RecordFull() { period_.full = true; }

  // Returns true if the observation period has enough data to adjust the limit.
  bool PeriodComplete(bool had_pending, Nanos now) const {
    const Nanos length = now - period_start_;
    const bool long_enough = had_pending && length >= period_length_;
    return length > 0 && (long_enough || period_.responses >= kMaxPeriodResponses);
  }
  // Adjusts the limit and starts the next period. `seed` sets the size of a step. Unless a raise is reverted,
  // it is also the lower bound of the limit while no latency objective is missed and the engine isn't full.
  // `uniform`, a random number from 0 to 1, varies the length of the next period, so that gateways don't
  // adjust in step.
  void Adjust(double seed, const UnmetDemand& unmet_demand, double uniform, Nanos now);

  double threads() const { return threads_; }

 private:
  struct Period {
    double work = 0;     // sum over the responses
    double latency = 0;  // sum of the latency ratios of the responses
    int responses = 0;
    bool full = false;
  };

  static constexpr int kMaxPeriodResponses = 100;  // this many responses also complete a period

  void Step(double seed, const UnmetDemand& unmet_demand, double seconds);

  double threads_ = 0;
  Nanos period_start_ = 0;
  Nanos period_length_ = kPeriod;
  Period period_;
  bool raised_ = false;  // the last adjustment raised the limit
  double last_throughput_ = 0;
  double last_latency_ = 0;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_CONCURRENCY_LIMIT_H_
