// The work that one gateway may send to an engine during its slow start, and the arithmetic of that budget.
//
// A gateway's part of the budget is often less than one request. A send therefore needs only a random share
// of its charge as credit, drawn again in each overload window, so that the budget holds on average. Credit
// accumulates over at most one window; otherwise all gateways would send at once to an engine that has
// received nothing for some time.
//
// The caller passes the current time, in nanoseconds of the decision module's clock, which never runs
// backwards. Budgets are in thread seconds, and rates in thread seconds per second.
#ifndef LEMONCROFT_LIMITS_SLOW_START_BUDGET_H_
#define LEMONCROFT_LIMITS_SLOW_START_BUDGET_H_

#include <algorithm>
#include <cmath>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::limits {

// Returns the share of its capacity that an engine has at least, `age` after its start.
inline double SlowStartCapacityShare(const Settings& settings, Nanos age) {
  constexpr Nanos kMinDuration = 100'000'000;
  const auto duration = static_cast<double>(std::max(kMinDuration, settings.slow_start_duration));
  const double grown = std::clamp(static_cast<double>(age) / duration, 0.0, 1.0);
  return settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * grown;
}

// Returns the charge of a request of `work`. It is larger than `work`, so that a budget filled with charges
// is exceeded only by random arrivals more than `deviations` standard deviations above the mean. The charge
// is work / x, where x is the share of the budget that may be used on average: x + deviations * sqrt(x * work
// / budget) = 1.
inline double ChargeWithMargin(double work, double budget, double deviations) {
  constexpr double kMinBudget = 1e-6;
  const double spread = deviations * deviations * work / std::max(kMinBudget, budget);
  const double root = (std::sqrt(spread + 4) - std::sqrt(spread)) / 2;
  return work / (root * root);
}

class SlowStartBudget {
 public:
  // Starts the accrual of credit at the time `from`.
  void AccrueFrom(Nanos from) { credited_at_ = from; }

  // Adds credit at `rate` for the time since the last call. Credit is limited to that of one `window`.
  void Accrue(double rate, Nanos window, Nanos now) {
    credit_ = std::min(credit_ + rate * Seconds(now - credited_at_), rate * Seconds(window));
    credited_at_ = now;
  }

  // Returns true if the random share of charges must be drawn again.
  bool ThresholdExpired(Nanos window, Nanos now) const { return now > threshold_drawn_at_ + window; }
  void SetThreshold(double share, Nanos now) {
    threshold_ = share;
    threshold_drawn_at_ = now;
  }

  bool Covers(double charge) const { return credit_ >= threshold_ * charge; }
  void Spend(double charge) { credit_ -= charge; }

 private:
  static double Seconds(Nanos nanos) { return static_cast<double>(nanos) / 1'000'000'000; }

  double credit_ = 0;
  double threshold_ = 1;  // share of a charge that is required as credit
  Nanos credited_at_ = 0;
  Nanos threshold_drawn_at_ = 0;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_SLOW_START_BUDGET_H_
