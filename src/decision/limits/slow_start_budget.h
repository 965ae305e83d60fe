// The work that one gateway may send to an engine during its slow start, and the arithmetic of that budget.
//
// A gateway's part of the budget is often less than one request. A send therefore needs only a random part of
// its charge as credit, drawn anew in each overload window, so that on average the budget is kept. Credit is
// saved up for one window at most: all gateways would send at once to an engine that was left alone.
//
// Contract. No clock: each call is passed the time, in nanoseconds of the decision module, which never runs
// backwards. Units: thread seconds, and thread seconds a second. Owner: the decision module, one for each
// engine. Errors: none.
#ifndef LEMONCROFT_LIMITS_SLOW_START_BUDGET_H_
#define LEMONCROFT_LIMITS_SLOW_START_BUDGET_H_

#include <algorithm>
#include <cmath>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::limits {

// The share of its capacity that an engine has at least, `age` after its start.
inline double SlowStartCapacityShare(const Settings& settings, Nanos age) {
  constexpr Nanos kMinDuration = 100'000'000;
  const auto duration = static_cast<double>(std::max(kMinDuration, settings.slow_start_duration));
  const double grown = std::clamp(static_cast<double>(age) / duration, 0.0, 1.0);
  return settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * grown;
}

// What a request of `work` is charged, so that random arrivals exceed `budget` only beyond `deviations`
// standard deviations. Of a budget b, requests of work w may use x b, where x + z sqrt(x w / b) = 1.
inline double ChargeWithMargin(double work, double budget, double deviations) {
  constexpr double kMinBudget = 1e-6;
  const double spread = deviations * deviations * work / std::max(kMinBudget, budget);
  const double root = (std::sqrt(spread + 4) - std::sqrt(spread)) / 2;
  return work / (root * root);
}

class SlowStartBudget {
 public:
  // Credit accrues from this time on.
  void AccrueFrom(Nanos from) { credited_at_ = from; }

  // Credits the time since the last call at `rate`, up to one `window`.
  void Accrue(double rate, Nanos window, Nanos now) {
    credit_ = std::min(credit_ + rate * Seconds(now - credited_at_), rate * Seconds(window));
    credited_at_ = now;
  }

  // Whether the random part of a charge is to be drawn anew.
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
  double threshold_ = 1;  // share of a charge that must be there as credit
  Nanos credited_at_ = 0;
  Nanos threshold_drawn_at_ = 0;
};

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_SLOW_START_BUDGET_H_
