// The arithmetic of the work that an engine bears while it is cold.
//
// Contract. Pure functions. Units: thread seconds, and thread seconds a second. Errors: none.
#ifndef LEMONCROFT_LIMITS_COLD_BUDGET_H_
#define LEMONCROFT_LIMITS_COLD_BUDGET_H_

#include <algorithm>
#include <cmath>

#include "lemoncroft/settings.h"
#include "lemoncroft/types.h"

namespace lemoncroft::limits {

// The share of its capacity that an engine has at least, `age` after its start.
inline double ColdShare(const Settings& settings, Nanos age) {
  constexpr Nanos kShortest = 100'000'000;
  const auto slow_start_duration = static_cast<double>(std::max(kShortest, settings.slow_start_duration));
  const double grown = std::clamp(static_cast<double>(age) / slow_start_duration, 0.0, 1.0);
  return settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * grown;
}

// What a query of `work` has to count as, so that queries which arrive by chance stay within `budget` with a
// margin of `deviations`. Of a budget b, queries of work w may use x b, where x + z sqrt(x w / b) = 1.
inline double ChanceCharge(double work, double budget, double deviations) {
  constexpr double kLeastBudget = 1e-6;
  const double spread = deviations * deviations * work / std::max(kLeastBudget, budget);
  const double root = (std::sqrt(spread + 4) - std::sqrt(spread)) / 2;
  return work / (root * root);
}

}  // namespace lemoncroft::limits

#endif  // LEMONCROFT_LIMITS_COLD_BUDGET_H_
